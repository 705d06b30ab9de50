// The fault sweep: combinations of faults and the order of all events, drawn by seed.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "simulated_cluster.h"

namespace magpie::testing {

// What the run of a seed did.
struct SeedResult {
  std::set<std::string> violations;  // names of the invariants that were violated
  std::set<std::string> faults;      // kinds of fault that the seed drew
  std::string fault_log;             // what was injected and when, for failure messages
  std::size_t event_count = 0;
};

// Runs one seed: a minute and a half of faults, then a quiet time after which all must be well.
// What controllers send is recorded in `decisions`, if there is one.
SeedResult RunSeed(std::uint64_t seed, BrokenBroadcast broken_broadcast = BrokenBroadcast::kNone,
                   DecisionDigest* decisions = nullptr);

}  // namespace magpie::testing
