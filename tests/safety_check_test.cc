// With a safety check disabled, some seed of the fault sweep must violate an invariant. Built with
// separately compiled sources in which checks can be disabled (model/safety_checks.h).
//
// Manual runs: MAGPIE_GUARDS="NUMBER..." disables these checks together, and MAGPIE_SEEDS=FROM..TO
// selects the seeds. Prints the number of seeds that violate an invariant, and the first three.
// MAGPIE_FIRST=1 stops at the first one; MAGPIE_FAULT_LOG=1 prints the injected faults.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "fault_sweep.h"
#include "model/safety_checks.h"

namespace magpie::testing {
namespace {

using SafetyChecks = std::vector<SafetyCheck>;

// Runs a seed with `checks` disabled and returns the violated invariants.
std::set<std::string> ViolationsWithout(const SafetyChecks& checks, std::uint64_t seed) {
  disabled_safety_checks.reset();
  for (const SafetyCheck check : checks)
    disabled_safety_checks.set(static_cast<std::size_t>(check));
  SeedResult result = RunSeed(seed);
  disabled_safety_checks.reset();
  result.violations.erase("stale");  // not a safety invariant
  if (std::getenv("MAGPIE_FAULT_LOG") != nullptr && !result.violations.empty())
    std::cout << "seed " << seed << "\n" << result.fault_log;
  return result.violations;
}

// For manual runs only.
TEST(SafetyCheckTableTest, CountsSeedsThatDetectDisabledChecks) {
  const char* seeds = std::getenv("MAGPIE_SEEDS");
  const char* numbers = std::getenv("MAGPIE_GUARDS");
  if (seeds == nullptr || numbers == nullptr)
    GTEST_SKIP() << "manual run: set MAGPIE_SEEDS and MAGPIE_GUARDS";
  const std::string text = seeds;
  const auto dots = text.find("..");
  const std::uint64_t from = std::stoull(text.substr(0, dots));
  const std::uint64_t to = std::stoull(text.substr(dots + 2));
  SafetyChecks checks;
  std::istringstream list(numbers);
  for (int number = 0; list >> number;) checks.push_back(static_cast<SafetyCheck>(number));
  std::map<std::string, int> violations;
  std::vector<std::uint64_t> found;
  std::uint64_t seeds_run = 0;
  const bool stop_at_first = std::getenv("MAGPIE_FIRST") != nullptr;
  for (std::uint64_t seed = from; seed <= to && !(stop_at_first && !found.empty()); ++seed) {
    ++seeds_run;
    const auto violated = ViolationsWithout(checks, seed);
    for (const std::string& invariant : violated) ++violations[invariant];
    if (!violated.empty()) found.push_back(seed);
  }
  std::cout << "without " << numbers << ": " << found.size() << " of " << seeds_run
            << " seeds from " << from << ", first";
  for (std::size_t i = 0; i < std::min<std::size_t>(found.size(), 3); ++i)
    std::cout << " " << found[i];
  for (const auto& [invariant, n] : violations) std::cout << " " << invariant << "=" << n;
  std::cout << "\n";
}

struct DisabledCheck {
  const char* name;
  SafetyCheck check;
  SafetyChecks covered_by{};  // disabled too, since they make up for `check`
  std::uint64_t first_seed = 1;
};

// Whether the seed violates an invariant because the row's check is disabled.
bool IsDetected(const DisabledCheck& row, std::uint64_t seed) {
  SafetyChecks checks = row.covered_by;
  checks.push_back(row.check);
  return (row.covered_by.empty() || ViolationsWithout(row.covered_by, seed).empty()) &&
         !ViolationsWithout(checks, seed).empty();
}

std::ostream& operator<<(std::ostream& out, const DisabledCheck& row) { return out << row.name; }

class DisabledSafetyCheckTest : public ::testing::TestWithParam<DisabledCheck> {};

// docs/notes/fault-combinations.md lists the first detecting seed of each check.
TEST_P(DisabledSafetyCheckTest, IsDetectedByFixedSeeds) {
  constexpr std::uint64_t kSeeds = 60;
  const std::uint64_t first_seed = GetParam().first_seed;
  bool found = false;
  for (std::uint64_t seed = first_seed; seed < first_seed + kSeeds && !found; ++seed)
    found = IsDetected(GetParam(), seed);
  EXPECT_TRUE(found);
}

INSTANTIATE_TEST_SUITE_P(
    Checks, DisabledSafetyCheckTest,
    ::testing::Values(
        DisabledCheck{"PageCondition", SafetyCheck::kPageCondition},
        DisabledCheck{"SubmitCondition", SafetyCheck::kSubmitCondition},
        DisabledCheck{"FinalAfterUnbound", SafetyCheck::kFinalAfterUnbound},
        DisabledCheck{"ResultOnlyIfUnbound", SafetyCheck::kResultOnlyIfUnbound},
        DisabledCheck{
            "AllControllersAcknowledged", SafetyCheck::kAllControllersAcknowledged, {}, 601},
        DisabledCheck{"CancelCondition", SafetyCheck::kCancelCondition},
        DisabledCheck{"ReadAfterRequest", SafetyCheck::kReadAfterRequest},
        DisabledCheck{"LiveBeforeFinal", SafetyCheck::kLiveBeforeFinal},
        DisabledCheck{"StartOnlyDurable", SafetyCheck::kStartOnlyDurable},
        DisabledCheck{"QuotaBeforeStart", SafetyCheck::kQuotaBeforeStart},
        DisabledCheck{"ReadLatestRecord", SafetyCheck::kReadLatestRecord},
        DisabledCheck{"FencingTokenSeen",
                      SafetyCheck::kFencingTokenSeen,
                      {SafetyCheck::kStartOnlyInResponse}},
        DisabledCheck{"StartOnlyInResponse", SafetyCheck::kStartOnlyInResponse},
        DisabledCheck{"RaiseAfterNoAnswer",
                      SafetyCheck::kRaiseAfterNoAnswer,
                      {SafetyCheck::kStartOnlyInResponse, SafetyCheck::kRaiseWhenUnbound}},
        DisabledCheck{"RaiseWhenUnbound",
                      SafetyCheck::kRaiseWhenUnbound,
                      {SafetyCheck::kStartOnlyInResponse}},
        DisabledCheck{
            "HeartbeatOrder", SafetyCheck::kHeartbeatOrder, {SafetyCheck::kStartOnlyInResponse}},
        DisabledCheck{"EndBeforeThisEpoch", SafetyCheck::kEndBeforeThisEpoch}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace magpie::testing
