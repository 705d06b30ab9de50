// The capacity that machines offer to array jobs, as of the last planning round.
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
  Resources without_services;  // not used by services, on machines of the plan
};

// Measured while the plan of a round is built; used to order jobs in the next round.
struct ClusterCapacity {
  std::vector<KindCapacity> by_kind;  // indexed by kind number; empty before the first round
  // By priority: the time in which all array capacity would complete the running array tasks.
  std::array<Seconds, kPriorityCount> remaining_run_time{};
  double array_cpus = 0;  // CPUs not used by services
};

}  // namespace magpie
