// Runs tests with SafetyCheck::kStartOnlyInResponse disabled, so that direct commands start tasks.
// The other conditions that keep a late or repeated command from starting a task must hold by
// themselves: a leader of an earlier version sends such commands.
#include <gtest/gtest.h>

#include "model/safety_checks.h"

int main(int argc, char** argv) {
  using magpie::SafetyCheck;
  ::testing::InitGoogleTest(&argc, argv);
  magpie::disabled_safety_checks.set(static_cast<std::size_t>(SafetyCheck::kStartOnlyInResponse));
  return RUN_ALL_TESTS();
}
