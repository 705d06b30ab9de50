// decision_digest: prints a digest of the decisions of controllers in each seeded scenario. Two
// builds that make the same decisions print the same lines; tools/same-decisions compares them.
#include <CLI/CLI.hpp>
#include <array>
#include <iomanip>
#include <iostream>
#include <string>

#include "binding_world.h"
#include "decision_digest.h"
#include "fault_sweep.h"
#include "stepped_fault_sweep.h"

namespace magpie::testing {
namespace {

// Number of seeds that the tests run.
constexpr std::uint64_t kSweepSeeds = 400;
constexpr std::uint64_t kSteppedSeeds = 300;

struct ChurnScenario {
  const char* name;
  bench::ChurnOptions options;
};

// Churn scenarios with tasks of about 30 s: unlimited writes; a low write limit, so that the leader
// must prioritize its writes; large jobs with slow writes.
std::array<ChurnScenario, 3> ChurnScenarios() {
  bench::ChurnOptions steady;
  steady.machines = 300;
  steady.tasks_per_machine = 10;
  steady.starts_per_s = 100;
  steady.tasks_per_job = 5;
  steady.warm_up_time = {30};
  steady.measured_time = {90};
  bench::ChurnOptions few_writes = steady;
  few_writes.writes_per_s = 5;
  bench::ChurnOptions slow_writes = steady;
  slow_writes.tasks_per_job = 500;
  slow_writes.write_latency = {0.5};
  return {{{"steady", steady}, {"few_writes", few_writes}, {"slow_writes", slow_writes}}};
}

void PrintLine(const std::string& kind, const std::string& name, const DecisionDigest& digest) {
  std::cout << kind << " " << name << " " << std::hex << std::setw(16) << std::setfill('0')
            << digest.value() << std::dec << std::endl;
}

void PrintSweepDigests(std::uint64_t first_seed, std::uint64_t last_seed) {
  for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
    DecisionDigest digest;
    RunSeed(seed, BrokenBroadcast::kNone, &digest);
    PrintLine("sweep", std::to_string(seed), digest);
  }
}

void PrintSteppedDigests(std::uint64_t first_seed, std::uint64_t last_seed) {
  for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
    DecisionDigest digest;
    RunSteppedSeed(seed, BrokenBroadcast::kNone, &digest);
    PrintLine("stepped", std::to_string(seed), digest);
  }
}

void RunChurn(bench::ChurnOptions options, DecisionDigest& digest) {
  options.decisions = &digest;
  bench::ChurnSimulation(options).Run();
}

void PrintChurnDigests() {
  for (const ChurnScenario& churn : ChurnScenarios()) {
    DecisionDigest digest;
    RunChurn(churn.options, digest);
    PrintLine("churn", churn.name, digest);
  }
}

struct Arguments {
  std::string only_kind;  // the only kind of scenario to run; empty: all
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 0;  // 0: as many seeds as the tests run
  std::uint64_t trace_sweep = 0;
  std::uint64_t trace_stepped = 0;
  std::string trace_churn;
};

// Prints every decision of the scenario to be traced; returns false if no trace is requested.
bool PrintTrace(const Arguments& arguments) {
  DecisionDigest digest(&std::cout);
  if (arguments.trace_sweep > 0) {
    RunSeed(arguments.trace_sweep, BrokenBroadcast::kNone, &digest);
    return true;
  }
  if (arguments.trace_stepped > 0) {
    RunSteppedSeed(arguments.trace_stepped, BrokenBroadcast::kNone, &digest);
    return true;
  }
  for (const ChurnScenario& churn : ChurnScenarios()) {
    if (churn.name != arguments.trace_churn) continue;
    RunChurn(churn.options, digest);
    return true;
  }
  return false;
}

void PrintDigests(const Arguments& arguments) {
  const auto selected = [&](const char* kind) {
    return arguments.only_kind.empty() || arguments.only_kind == kind;
  };
  const auto last_seed_or = [&](std::uint64_t default_seed) {
    return arguments.last_seed > 0 ? arguments.last_seed : default_seed;
  };
  if (selected("sweep")) PrintSweepDigests(arguments.first_seed, last_seed_or(kSweepSeeds));
  if (selected("stepped")) PrintSteppedDigests(arguments.first_seed, last_seed_or(kSteppedSeeds));
  if (selected("churn")) PrintChurnDigests();
}

int Main(int argc, char** argv) {
  std::vector<std::string> churn_names;
  for (const ChurnScenario& churn : ChurnScenarios()) churn_names.emplace_back(churn.name);
  Arguments arguments;
  CLI::App app{"prints a digest of the decisions of controllers for each seeded test scenario"};
  app.add_option("--only", arguments.only_kind, "run only this kind of scenario")
      ->check(CLI::IsMember({"sweep", "stepped", "churn"}));
  app.add_option("--from", arguments.first_seed, "first seed")->check(CLI::PositiveNumber);
  app.add_option("--to", arguments.last_seed, "last seed")->check(CLI::PositiveNumber);
  app.add_option("--trace", arguments.trace_sweep,
                 "print each decision of this seed of the fault sweep")
      ->check(CLI::PositiveNumber);
  app.add_option("--trace-stepped", arguments.trace_stepped,
                 "print each decision of this seed of the stepped fault sweep")
      ->check(CLI::PositiveNumber);
  app.add_option("--trace-churn", arguments.trace_churn,
                 "print each decision of this churn scenario")
      ->check(CLI::IsMember(churn_names));
  CLI11_PARSE(app, argc, argv);
  if (!PrintTrace(arguments)) PrintDigests(arguments);
  return 0;
}

}  // namespace
}  // namespace magpie::testing

int main(int argc, char** argv) { return magpie::testing::Main(argc, argv); }
