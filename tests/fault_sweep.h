// Fault sweep: the seed determines the injected faults and the order of all events.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "simulated_cluster.h"

namespace magpie::testing {

// Outcome of one seed.
struct SeedResult {
  std::set<std::string> violations;  // names of violated invariants
  std::set<std::string> faults;      // kinds of injected fault
  std::string fault_log;             // injected faults with their times, for failure messages
  std::size_t event_count = 0;
};

// Runs one seed: a phase with faults, then a recovery phase, after which all controllers must
// report all accepted jobs. Records the controllers' decisions in `decisions` unless it is null.
SeedResult RunSeed(std::uint64_t seed, BrokenBroadcast broken_broadcast = BrokenBroadcast::kNone,
                   DecisionDigest* decisions = nullptr);

}  // namespace magpie::testing
