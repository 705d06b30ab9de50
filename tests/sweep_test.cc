// No rule breaks in any seed of the sweep. In CI some hundred fixed seeds, in rows of which
// ctest runs several at a time; by hand MAGPIE_SEEDS=FROM..TO plays others (row 0 alone).
#include "sweep.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace magpie::testing {
namespace {

constexpr std::uint64_t kSeedsInARow = 50;
constexpr std::uint64_t kRows = 8;

class Meetings : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Meetings, NoRuleBreaks) {
  std::uint64_t from = GetParam() * kSeedsInARow + 1;
  std::uint64_t to = from + kSeedsInARow - 1;
  const char* by_hand = std::getenv("MAGPIE_SEEDS");
  if (by_hand != nullptr) {
    const std::string text = by_hand;
    const auto dots = text.find("..");
    from = std::stoull(text.substr(0, dots));
    to = std::stoull(text.substr(dots + 2));
  }
  std::map<std::string, int> troubles;
  std::size_t most_events = 0;
  for (std::uint64_t seed = from; seed <= to; ++seed) {
    const Play play = PlaySeed(seed);
    std::string rules;
    for (const std::string& rule : play.broken) rules += " " + rule;
    EXPECT_TRUE(play.broken.empty()) << "seed " << seed << ":" << rules << "\n" << play.story;
    for (const std::string& trouble : play.troubles) ++troubles[trouble];
    most_events = std::max(most_events, play.events);
  }
  if (by_hand == nullptr) return;
  std::cout << "most events of a seed: " << most_events << "\n";
  for (const auto& [trouble, seeds] : troubles)
    std::cout << "seeds with " << trouble << ": " << seeds << "\n";
}
// The verdict is the same every time: nothing depends on addresses or real clocks.
TEST(MeetingsSweep, ASeedIsPlayedTheSameAgain) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Play once = PlaySeed(seed);
    const Play again = PlaySeed(seed);
    EXPECT_EQ(once.story, again.story);
    EXPECT_EQ(once.events, again.events);
    EXPECT_EQ(once.broken, again.broken);
  }
}

INSTANTIATE_TEST_SUITE_P(Rows, Meetings, ::testing::Range<std::uint64_t>(0, kRows));

}  // namespace
}  // namespace magpie::testing
