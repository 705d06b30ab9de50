// load_test: runs deployed controller programs with thousands of simulated workers.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "load_test/run.h"
#include "load_test/scenario.h"

namespace {

constexpr int kExitRunFailed = 1;
constexpr int kExitInvalidInput = 2;

// Rewrites one progress line; prints nothing unless standard error is a terminal.
void ShowProgress(double fraction, const std::string& status) {
  static const bool is_terminal = isatty(STDERR_FILENO) != 0;
  if (!is_terminal) return;
  constexpr int kWidth = 40;
  const int done_width = static_cast<int>(fraction * kWidth);
  std::cerr << "\r[" << std::string(static_cast<std::size_t>(done_width), '#')
            << std::string(static_cast<std::size_t>(kWidth - done_width), '.') << "] " << status
            << "   " << std::flush;
}

int RunScenario(magpie::load_test::Scenario scenario, const std::string& file,
                const std::string& out) {
  magpie::load_test::Run run(std::move(scenario), file, out, ShowProgress);
  const nlohmann::json result = run.Execute();
  const std::filesystem::path path = std::filesystem::path(out) / "result.json";
  std::ofstream output(path);
  output << result.dump(2) << "\n";
  output.close();
  if (!output) {
    std::cerr << path.string() << ": cannot write the result file\n";
    return kExitInvalidInput;
  }
  std::cerr << "\n";
  for (const auto& failure : result["why"]) std::cerr << failure.get<std::string>() << "\n";
  std::cout << path.string() << "\n";
  return result["ok"].get<bool>() ? 0 : kExitRunFailed;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_default_logger(spdlog::stderr_logger_mt("load_test"));
  CLI::App app{"runs controllers with thousands of simulated workers"};
  app.require_subcommand(1);
  CLI::App* run = app.add_subcommand("run", "runs one scenario and writes its results");
  std::string file;
  std::string out = "scale-out";
  std::string binary;
  std::uint32_t workers = 0;
  double starts = 0;
  double seconds = 60;
  run->add_option("scenario", file, "scenario file (TOML)")->required();
  run->add_option("--workers", workers, "number of simulated workers")->required();
  run->add_option("--starts", starts, "task starts per second that users request")->required();
  run->add_option("--for", seconds, "seconds to measure, after the warm-up");
  run->add_option("--out", out, "directory for results, settings and logs");
  run->add_option("--binary", binary, "controller program, instead of the one in the scenario");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kExitInvalidInput;
  }
  try {
    magpie::load_test::Scenario scenario = magpie::load_test::LoadScenario(file);
    scenario.workers = workers;
    scenario.starts_per_second = starts;
    scenario.measured_duration = {seconds};
    if (!binary.empty()) scenario.binary = binary;
    magpie::load_test::CheckCommandLine(scenario, file);
    return RunScenario(std::move(scenario), file, out);
  } catch (const magpie::load_test::InvalidScenario& e) {
    std::cerr << e.what() << "\n";
  } catch (const magpie::load_test::RunSetupError& e) {
    std::cerr << e.what() << "\n";
  } catch (const std::filesystem::filesystem_error& e) {
    std::cerr << out << ": " << e.code().message() << "\n";
  }
  return kExitInvalidInput;
}
