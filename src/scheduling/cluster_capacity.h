// What the machines offer to arrays, as of the last planning round.
#pragma once

#include <array>
#include <vector>

#include "model/resources.h"
#include "model/time.h"
#include "scheduling/cluster_state.h"

namespace magpie {

// The capacity of all machines of one kind.
struct KindCapacity {
  int machines = 0;
  Resources without_services;  // of those in the plan: what services leave to arrays
};

// The plan of a round measures it; the order of jobs in the next round is based on it.
struct ClusterCapacity {
  std::vector<KindCapacity> by_kind;  // by number of the kind; empty before the first round
  // Until the arrays that run now would be done if they had all the capacity, by priority.
  std::array<Seconds, kPriorityCount> remaining_run_time{};
  double array_cpus = 0;  // CPUs that services leave to arrays
};

}  // namespace magpie
