// The platform's settings file (TOML) and the operators' properties file (see DEPLOY).
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

// The settings can't be read or are invalid. The message is one line that names the file or key.
class InvalidSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The settings of another controller.
struct PeerSettings {
  std::string label;
  std::string zone;
  Address peer_address;
};

// The settings of a controller.
struct Settings {
  std::string label;
  std::string zone;
  Address api_address;   // for users and workers
  Address peer_address;  // for other controllers
  std::vector<PeerSettings> peers;
  Address cloud_address;
  Address store_address;  // of the key-value store
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  Seconds heartbeat_interval;  // between the heartbeats of a worker
  Seconds lease;               // duration of a worker's lease
  Seconds cancel_deadline;     // time limit for the tasks of a cancelled job to end
  std::uint32_t max_transaction_operations = 16;  // puts and deletes
  double max_value_kib = 16;
  double store_requests_per_s = 0;
  double store_writes_per_s = 0;  // puts and deletes
  double cloud_requests_per_s = 0;
  Seconds list_lag;  // maximum age of the cloud's machine list
  std::uint32_t max_sockets = 0;
  double max_memory_mb = 0;  // 0: not configured

  // --- The operators' properties and their defaults
  Seconds leader_lease{4};
  PlacementWeights weights;
  Seconds idle_timeout{20};       // after which an idle machine is released
  Seconds heartbeat_timeout{12};  // time without a heartbeat after which a machine is suspected
  Seconds list_interval{3};       // between reads of the cloud's machine list
  // A machine is given up after this multiple of the usual boot time.
  double boot_timeout_factor = 4;
  std::uint32_t headroom = 1;          // spare replicas of each recent service image
  Seconds headroom_duration{600};      // time after the last arrival for which they are reserved
  Seconds provision_retry_delay{90};   // after the cloud had no capacity for a kind of machine
  std::uint32_t max_per_request = 50;  // machines provisioned per request
};

// Each function throws InvalidSettings. LoadProperties changes only the settings that the file
// names.
Settings LoadSettings(const std::string& toml_path);
void LoadProperties(const std::string& path, Settings& settings);
// For tests: reads the text of a settings file as LoadSettings does.
Settings ParseSettings(const std::string& toml_text);

}  // namespace magpie
