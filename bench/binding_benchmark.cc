// binding_benchmark: measures the CPU cost of a leader's scheduler core and the volume of its
// record writes under a steady churn of tasks. Prints one line of JSON, used in
// docs/notes/target-scale.md.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "binding_world.h"

namespace magpie::bench {
namespace {

nlohmann::json ToJson(const ChurnOptions& options, const ChurnResult& result) {
  const double seconds = options.measured_time.value;
  nlohmann::json steps = nlohmann::json::object();
  double leader_cores = 0;
  for (const auto& [name, cost] : result.steps) {
    const double calls = static_cast<double>(std::max<std::uint64_t>(1, cost.calls));
    steps[name] = {{"a_second", static_cast<double>(cost.calls) / seconds},
                   {"us_each", 1e6 * cost.seconds / calls},
                   {"worst_ms", 1e3 * cost.max_seconds},
                   {"cores", cost.seconds / seconds},
                   {"bytes_each", static_cast<double>(cost.bytes) / calls}};
    if (name != "worker's report") leader_cores += cost.seconds / seconds;
  }
  const double puts = static_cast<double>(std::max<std::uint64_t>(1, result.page_puts));
  const double new_bytes = static_cast<double>(std::max<std::uint64_t>(1, result.new_record_bytes));
  double load = 0;
  getloadavg(&load, 1);
  return {{"machines", options.machines},
          {"array", options.tasks_per_job},
          {"write_latency_s", options.write_latency.value},
          {"writes_per_s", options.writes_per_s},
          {"starts_a_second", static_cast<double>(result.tasks_started) / seconds},
          {"ends_a_second", static_cast<double>(result.tasks_ended) / seconds},
          {"running", result.tasks_running},
          {"leader_cores", leader_cores},
          {"transactions_a_second", static_cast<double>(result.transactions) / seconds},
          {"changes_a_second", static_cast<double>(result.written_keys) / seconds},
          {"records_a_put", static_cast<double>(result.new_records) / puts},
          {"carried_a_put", static_cast<double>(result.rewritten_records) / puts},
          {"bytes_written_for_each_new", static_cast<double>(result.page_bytes) / new_bytes},
          {"page_bytes_a_second", static_cast<double>(result.page_bytes) / seconds},
          {"pages", result.pages},
          {"jobs", result.jobs},
          {"stored_mb", static_cast<double>(result.stored_bytes) / 1e6},
          {"machines_that_wait_for_commands", result.waiting_machines},
          {"takeover_s", result.takeover_seconds},
          {"start_median_s", result.median_start_latency_s},
          {"start_99_s", result.p99_start_latency_s},
          {"load", load},
          {"steps", steps}};
}

}  // namespace
}  // namespace magpie::bench

int main(int argc, char** argv) {
  magpie::bench::ChurnOptions options;
  CLI::App app{
      "measures CPU cost and record writes of a leader's scheduler core under a steady churn of "
      "tasks"};
  app.add_option("--machines", options.machines)->check(CLI::Range(1, 100000));
  app.add_option("--tasks-each", options.tasks_per_machine,
                 "mean number of running tasks on each machine")
      ->check(CLI::Range(1, 1000));
  app.add_option("--starts", options.starts_per_s, "task starts per second")
      ->check(CLI::Range(0.1, 1e5));
  app.add_option("--array", options.tasks_per_job, "tasks per job")->check(CLI::Range(1, 100000));
  app.add_option("--write-latency", options.write_latency.value,
                 "latency of the key-value store, in virtual seconds")
      ->check(CLI::Range(0.0, 10.0));
  app.add_option("--writes", options.writes_per_s,
                 "page puts and deletions per second that the leader may write")
      ->check(CLI::Range(1.0, 1e9));
  app.add_option("--tick", options.planning_interval.value, "planning interval, in virtual seconds")
      ->check(CLI::Range(0.05, 10.0));
  app.add_option("--warm-up", options.warm_up_time.value,
                 "time before measuring, in virtual seconds")
      ->check(CLI::Range(1.0, 3600.0));
  app.add_option("--for", options.measured_time.value, "measured time, in virtual seconds")
      ->check(CLI::Range(1.0, 3600.0));
  CLI11_PARSE(app, argc, argv);
  const magpie::bench::ChurnResult result = magpie::bench::ChurnSimulation(options).Run();
  std::cout << magpie::bench::ToJson(options, result).dump() << "\n";
  return 0;
}
