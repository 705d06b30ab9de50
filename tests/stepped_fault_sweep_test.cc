// Stepped fault sweep: the seed determines the faults, and all controllers act once a second in a
// fixed order. The invariants are checked after each second.
//
// MAGPIE_SEEDS=FROM..TO replaces the default seeds.
#include "stepped_fault_sweep.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace magpie::testing {
namespace {

std::pair<std::uint64_t, std::uint64_t> SeedRange(std::uint64_t from, std::uint64_t to) {
  const char* manual_range = std::getenv("MAGPIE_SEEDS");
  if (manual_range == nullptr) return {from, to};
  const std::string text = manual_range;
  const auto dots = text.find("..");
  return {std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2))};
}

TEST(SteppedFaultSweepTest, NoInvariantIsViolated) {
  const auto [from, to] = SeedRange(1, 300);
  std::map<std::pair<std::string, std::string>, int> pairs;
  for (std::uint64_t seed = from; seed <= to; ++seed) {
    const SeedResult result = RunSteppedSeed(seed, BrokenBroadcast::kNone);
    std::string violations;
    for (const std::string& violation : result.violations) violations += " " + violation;
    ASSERT_TRUE(result.violations.empty()) << "seed " << seed << ":" << violations << "\n"
                                           << result.fault_log;
    for (const std::string& a : result.faults)
      for (const std::string& b : result.faults) pairs[{a, b}] += a <= b ? 1 : 0;
  }
  // Manual runs print in how many seeds each pair of faults occurred.
  if (std::getenv("MAGPIE_SEEDS") != nullptr)
    for (const auto& [pair, seeds] : pairs)
      if (seeds > 0)
        std::cout << "pair " << pair.first << " | " << pair.second << " | " << seeds << "\n";
}

// Each injected defect of the cancellation broadcast must violate an invariant in some seed.
TEST(SteppedFaultSweepTest, BrokenCancellationBroadcastIsDetected) {
  for (const BrokenBroadcast defect :
       {BrokenBroadcast::kNotifiesNoPeer, BrokenBroadcast::kNotifiesOnePeer,
        BrokenBroadcast::kAcknowledgesWithoutRecording}) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 300 && !found; ++seed)
      found = RunSteppedSeed(seed, defect).violations.contains("ran_cancelled");
    EXPECT_TRUE(found) << static_cast<int>(defect);
  }
}

}  // namespace
}  // namespace magpie::testing
