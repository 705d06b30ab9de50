// Runs the fault sweep over fixed seeds, in shards that ctest runs in parallel.
// MAGPIE_SEEDS=FROM..TO replaces the seeds for manual runs (run shard 0 only).
#include "fault_sweep.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace magpie::testing {
namespace {

constexpr std::uint64_t kSeedsPerShard = 50;
constexpr std::uint64_t kShards = 8;

class FaultSweepTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(FaultSweepTest, NoInvariantIsViolated) {
  std::uint64_t from = GetParam() * kSeedsPerShard + 1;
  std::uint64_t to = from + kSeedsPerShard - 1;
  const char* manual_range = std::getenv("MAGPIE_SEEDS");
  if (manual_range != nullptr) {
    const std::string text = manual_range;
    const auto dots = text.find("..");
    from = std::stoull(text.substr(0, dots));
    to = std::stoull(text.substr(dots + 2));
  }
  std::map<std::string, int> faults;
  std::size_t max_events = 0;
  for (std::uint64_t seed = from; seed <= to; ++seed) {
    const SeedResult result = RunSeed(seed);
    std::string violations;
    for (const std::string& violation : result.violations) violations += " " + violation;
    EXPECT_TRUE(result.violations.empty()) << "seed " << seed << ":" << violations << "\n"
                                           << result.fault_log;
    for (const std::string& fault : result.faults) ++faults[fault];
    max_events = std::max(max_events, result.event_count);
  }
  if (manual_range == nullptr) return;
  std::cout << "maximum events per seed: " << max_events << "\n";
  for (const auto& [fault, seeds] : faults)
    std::cout << "seeds with " << fault << ": " << seeds << "\n";
}

// Fails if results depend on memory addresses or on real time.
TEST(FaultSweepDeterminismTest, SameSeedGivesSameResult) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    DecisionDigest decisions_once;
    DecisionDigest decisions_again;
    const SeedResult once = RunSeed(seed, BrokenBroadcast::kNone, &decisions_once);
    const SeedResult again = RunSeed(seed, BrokenBroadcast::kNone, &decisions_again);
    EXPECT_EQ(once.fault_log, again.fault_log);
    EXPECT_EQ(once.event_count, again.event_count);
    EXPECT_EQ(once.violations, again.violations);
    EXPECT_EQ(decisions_once.value(), decisions_again.value());
  }
}

TEST(FaultSweepDeterminismTest, RecordingDecisionsDoesNotChangeResult) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    DecisionDigest decisions;
    const SeedResult with = RunSeed(seed, BrokenBroadcast::kNone, &decisions);
    const SeedResult without = RunSeed(seed);
    EXPECT_EQ(with.fault_log, without.fault_log);
    EXPECT_EQ(with.event_count, without.event_count);
    EXPECT_EQ(with.violations, without.violations);
  }
}

// The digest detects changes only in decisions that are recorded.
TEST(FaultSweepDeterminismTest, TraceContainsEveryDecisionKind) {
  std::ostringstream trace;
  DecisionDigest decisions(&trace);
  RunSeed(1, BrokenBroadcast::kNone, &decisions);
  for (const DecisionKind kind :
       {DecisionKind::kTransaction, DecisionKind::kCommand, DecisionKind::kHeartbeatResponse,
        DecisionKind::kCloudCall, DecisionKind::kUserResponse, DecisionKind::kPeerMessage})
    EXPECT_NE(trace.str().find(std::string(" ") + ToText(kind) + " "), std::string::npos)
        << ToText(kind);
}

TEST(DecisionDigestTest, DigestDependsOnEachFieldAndOrder) {
  const Decision first{DecisionKind::kCommand, {1}, "n0", "m-1", "{}"};
  std::vector<Decision> variants(5, first);
  variants[0].kind = DecisionKind::kPeerMessage;
  variants[1].at = {1.0000000000000002};
  variants[2].sender = "n1";
  variants[3].receiver = "m-2";
  variants[4].body = "[]";
  const auto digest_of = [](const std::vector<Decision>& decisions) {
    DecisionDigest digest;
    for (const Decision& decision : decisions) digest.Add(decision);
    return digest.value();
  };
  EXPECT_EQ(digest_of({first}), digest_of({first}));
  EXPECT_NE(digest_of({first}), digest_of({first, first}));
  for (const Decision& other : variants) {
    EXPECT_NE(digest_of({first}), digest_of({other}));
    EXPECT_NE(digest_of({first, other}), digest_of({other, first}));
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultSweepTest, ::testing::Range<std::uint64_t>(0, kShards));

}  // namespace
}  // namespace magpie::testing
