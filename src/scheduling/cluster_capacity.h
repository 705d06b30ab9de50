// The capacity of the machines that array jobs can use, as measured in the last planning round.
#pragma once

#include <array>
#include <vector>

#include "model/resources.h"
#include "model/time.h"
#include "scheduling/cluster_state.h"

namespace magpie {

// The total capacity of the machines of one kind.
struct KindCapacity {
  int machines = 0;
  // Capacity not used by services. Counts only machines on which the plan may place tasks.
  Resources without_services;
};

// Measured while the plan of a round is built; used to order jobs in the next round.
struct ClusterCapacity {
  std::vector<KindCapacity> by_kind;  // indexed by kind number; empty before the first round
  // By priority: the time in which the running array tasks would complete if they used all of
  // array_cpus.
  std::array<Seconds, kPriorityCount> remaining_run_time{};
  // CPUs not used by services. Counts only machines on which the plan may place tasks.
  double array_cpus = 0;
};

}  // namespace magpie
