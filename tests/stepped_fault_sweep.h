// Stepped fault sweep: the seed determines the injected faults, and all controllers act once a
// second in a fixed order. In fault_sweep.h the seed also determines the order.
#pragma once

#include <cstdint>

#include "fault_sweep.h"

namespace magpie::testing {

// Runs one seed: a phase with faults, then a recovery phase, after which all controllers must
// report all accepted jobs. Records the controllers' decisions in `decisions` unless it is null.
SeedResult RunSteppedSeed(std::uint64_t seed, BrokenBroadcast broken_broadcast,
                          DecisionDigest* decisions = nullptr);

}  // namespace magpie::testing
