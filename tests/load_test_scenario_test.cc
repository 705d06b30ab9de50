// Tests of load test scenarios: defaults, and errors of one line that name the file and the key.
#include <gtest/gtest.h>

#include <string>

#include "load_test/scenario.h"

namespace magpie::load_test {
namespace {

constexpr char kValidScenario[] = R"(
zones = ["a", "b"]
[[cloud.types]]
name = "plain"
[[teams]]
name = "red"
[[classes]]
name = "sums"
share = 1.0
)";

std::string ParseError(const std::string& text) {
  try {
    ParseScenario(text, "play.toml");
  } catch (const InvalidScenario& e) {
    return e.what();
  }
  return "none";
}

std::string Append(const char* suffix, const char* text = kValidScenario) {
  std::string all = text;
  return all.append(suffix);
}

TEST(ScenarioTest, MissingSettingsHaveDefaults) {
  const Scenario scenario = ParseScenario(kValidScenario, "play.toml");
  EXPECT_EQ(scenario.controllers.count, 3U);
  ASSERT_EQ(scenario.classes.size(), 1U);
  EXPECT_EQ(scenario.classes[0].teams, std::vector<std::string>{"red"});
  EXPECT_EQ(scenario.cloud.types[0].zones, scenario.zones);
}

TEST(ScenarioTest, EachErrorNamesFileAndKey) {
  struct Row {
    const char* suffix;
    const char* error;
  };
  for (const Row& row : {
           Row{"colour = 1\n", "play.toml: classes[0].colour: is not a known key"},
           Row{"[state]\nrpm = 5\n", "play.toml: state.rpm: is not a known key"},
           Row{"[state]\nrps = \"x\"\n", "play.toml: state.rps: must be a number"},
           Row{"[state]\nrps = 0\n", "play.toml: state.rps: is out of range"},
           Row{"[controllers]\ncount = 0\n", "play.toml: controllers.count: is out of range"},
           Row{"[controllers]\ncount = 1.5\n", "play.toml: controllers.count: must be a count"},
           Row{"[[classes]]\nname = \"more\"\nshare = 0.5\n",
               "play.toml: classes: the shares must add up to 1"},
           Row{"[[classes]]\nshare = 0.5\n", "play.toml: classes[1].name: is missing"},
           Row{"teams = [\"blue\"]\n",
               "play.toml: classes[0].teams: blue is not a team of the scenario"},
           Row{"priority = \"urgent\"\n",
               "play.toml: classes[0].priority: must be production, high, standard or low"},
           Row{"[[faults]]\nkind = \"flood\"\n",
               "play.toml: faults[0].kind: is not a known kind of fault"},
           Row{"[[faults]]\nkind = \"zone\"\nzone = \"c\"\n",
               "play.toml: faults[0].zone: c is not a zone of the scenario"},
           Row{"[[teams]]\n", "play.toml: teams[1].name: is missing"},
       })
    EXPECT_EQ(ParseError(Append(row.suffix)), row.error);
  EXPECT_EQ(ParseError(""), "play.toml: zones: is missing");
  EXPECT_EQ(ParseError("zones = [\"a\"]\n"), "play.toml: cloud.types: is missing");
  EXPECT_TRUE(ParseError("zones = [").starts_with("play.toml: "));
  EXPECT_THROW(LoadScenario("no such file.toml"), InvalidScenario);
}

TEST(ScenarioTest, CommandLineIsValidated) {
  const auto error = [](std::uint32_t workers, double starts, double seconds) -> std::string {
    Scenario scenario = ParseScenario(kValidScenario, "play.toml");
    scenario.workers = workers;
    scenario.starts_per_second = starts;
    scenario.measured_duration = {seconds};
    try {
      CheckCommandLine(scenario, "play.toml");
    } catch (const InvalidScenario& e) {
      return e.what();
    }
    return "none";
  };
  EXPECT_EQ(error(1, 1, 1), "none");
  EXPECT_EQ(error(0, 1, 1), "play.toml: --workers: must be at least 1");
  EXPECT_EQ(error(1, 0, 1), "play.toml: --starts: is out of range");
  EXPECT_EQ(error(1, 1, -1), "play.toml: --for: is out of range");
}

}  // namespace
}  // namespace magpie::load_test
