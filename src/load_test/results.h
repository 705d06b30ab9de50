// The measurements of a run, and its result file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load_test/cloud_server.h"
#include "load_test/controller_group.h"
#include "load_test/event_loop.h"
#include "load_test/recorder.h"
#include "load_test/scenario.h"
#include "load_test/state_server.h"
#include "load_test/users.h"

namespace magpie::load_test {

// Sums of the traffic of several endpoints.
struct TrafficTotals {
  std::uint64_t messages_in = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t messages_out = 0;
  std::uint64_t bytes_out = 0;
};
TrafficTotals SumOf(const std::vector<const Traffic*>& all);

// The counters of a run at one instant.
struct Sample {
  Instant at;
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  StateServer::Counts state;
  CloudServer::Counts cloud;
  Users::Counts users;
  ControllerUsage controllers;
  double own_cpu_s = 0;
  TrafficTotals heartbeats;
  TrafficTotals commands;
  TrafficTotals user_requests;
  TrafficTotals state_requests;
};

// The input of a run's result file.
struct Measurements {
  std::string scenario_file;
  Sample begin;
  Sample end;
  Recorder::Statistics statistics;
  // The following values are taken at the end of the run. With a limit on jobs, the run ends when
  // all jobs have ended or after the drain timeout; without one, it ends with the measurement.
  Users::Counts users;
  std::size_t open_jobs = 0;
  std::size_t keys = 0;
  std::size_t tasks_on_machines = 0;
  ControllerUsage controllers;
  std::size_t controller_count = 0;
  std::uint32_t unexpected_exits = 0;
  std::uint64_t redirects = 0;
  std::uint64_t refused_commands = 0;
  std::uint64_t failed_heartbeats = 0;
  std::uint64_t accepted_copies = 0;
  double load_average = 0;
  double own_peak_mb = 0;
  nlohmann::json takeovers;
};

// The content of the result file. "ok" is true if no rule was violated and the run met the
// requirements of the scenario; "why" lists the failures.
nlohmann::json ResultsToJson(const Scenario& scenario, const Measurements& measured);

}  // namespace magpie::load_test
