// Scenarios of load tests, their faults, and the functions that read and validate them.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "load_test/cloud.h"
#include "load_test/state_server.h"
#include "load_test/users.h"
#include "model/objective.h"
#include "model/team.h"
#include "model/time.h"

namespace magpie::load_test {

// Thrown if a scenario is invalid. The message is one line that names the file and the key.
class InvalidScenario : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A fault that is injected at a fixed time.
struct Fault {
  enum class Kind : std::uint8_t {
    kKillLeader,      // kills the leader's process and restarts it after `duration`
    kKillController,  // kills a follower's process and restarts it after `duration`
    kRack,            // `count` machines of a zone are unreachable for `duration`
    kZone,            // all machines of a zone are unreachable for `duration`
    kMachines,        // `count` machines of a zone are restarted, spread over `duration`
    kOutage,          // the key-value service rejects all requests for `duration`
  };
  Kind kind = Kind::kKillLeader;
  Seconds at;  // from the start of the measurement
  Seconds duration{5};
  std::string zone;
  std::uint32_t count = 1;  // number of machines, for kRack and kMachines
};

// The number of controllers in a scenario, the resources that their settings files state, and
// their properties file. If `memory_mb` is 0, the settings files state no memory size.
struct ControllerSettings {
  std::uint32_t count = 3;
  double memory_mb = 0;
  std::uint32_t sockets = 1000;
  std::string properties;  // path of a properties file; empty: generate one
};

// The controllers, simulated cluster, jobs and faults of a load test, read from a TOML file in
// which unknown keys are rejected, and the scale and duration from the command line.
struct Scenario {
  std::string binary = "target/magpieswitch";
  ControllerSettings controllers;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  Seconds heartbeat_interval{3};
  Seconds lease{45};
  Seconds cancel_timeout{75};
  // The fraction of answered direct commands of which a copy arrives at the worker later.
  double repeated_commands = 0;
  StateServer::Options state;
  Cloud::Options cloud;
  std::vector<JobClass> classes;
  Seconds poll_interval{5};
  std::uint64_t max_jobs = 0;
  std::uint64_t min_starts = 0;  // the run fails with fewer task starts
  Seconds warm_up{10};
  std::uint32_t threads = 2;  // for the simulated workers
  std::vector<Fault> faults;

  // Set from the command line.
  std::uint32_t workers = 0;
  double starts_per_second = 0;
  Seconds measured_duration;
};

// Throws InvalidScenario.
Scenario LoadScenario(const std::string& path);
// Validates the command-line settings. Throws InvalidScenario.
void CheckCommandLine(const Scenario& scenario, const std::string& file);
// For tests: parses a scenario from text. `name` replaces the file name in errors.
Scenario ParseScenario(const std::string& text, const std::string& name);

}  // namespace magpie::load_test
