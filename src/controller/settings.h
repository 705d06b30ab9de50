// The platform's settings file (TOML) and the operators' properties (DEPLOY).
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "model/objective.h"
#include "model/team.h"
#include "model/time.h"
#include "net/address.h"
#include "scheduling/scheduler_options.h"

namespace magpie {

// The settings can't be read or used; the text is one line that names the key at fault.
class InvalidSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Another controller.
struct Member {
  std::string label;
  std::string zone;
  Address peer_address;
};

// What a controller is told of itself and its surroundings.
struct Settings {
  std::string label;  // of this controller
  std::string zone;
  Address api;           // where users and workers reach it
  Address peer_address;  // where other controllers reach it
  std::vector<Member> others;
  Address cloud;
  Address state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  Seconds heartbeat_interval;  // of workers
  Seconds lease;               // of workers
  Seconds cancel;              // until the tasks of a cancelled job must be gone
  std::uint32_t txn_ops = 16;  // puts and deletes in a transaction
  double value_kb = 16;        // KiB of a value in the state service
  double state_rps = 0;        // requests per second to the state service
  double write_rps = 0;        // puts and deletes per second
  double cloud_rps = 0;        // requests per second to the cloud
  Seconds list_lag;            // of the cloud's machine list
  std::uint32_t sockets = 0;   // that this controller may have open
  double memory_mb = 0;        // that it may use; 0: not given

  // The operators' properties, with their defaults.
  Seconds leader_lease{4};
  PlacementWeights weights;
  Seconds idle{20};                // before an idle machine is released
  Seconds heartbeat_timeout{12};   // before a silent machine is suspected
  Seconds list_interval{3};        // interval of reading the cloud's machine list
  double boot_timeout_factor = 4;  // multiple of the usual boot time to wait for a machine
  std::uint32_t headroom = 1;
  Seconds headroom_duration{600};
  Seconds provision_retry_delay{90};  // after the cloud has refused a request for a kind of machine
  std::uint32_t max_per_request = 50;  // machines in one request
};

// Each raises InvalidSettings. LoadProperties changes the settings that the file names.
Settings LoadSettings(const std::string& toml_path);
void LoadProperties(const std::string& path, Settings& settings);
// For tests: the same from text.
Settings ParseSettings(const std::string& toml_text);

}  // namespace magpie
