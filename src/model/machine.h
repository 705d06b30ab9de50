// Machine types and machines as the cloud describes them (PROTOCOL, "Controller nodes ->
// cloud").
#pragma once

#include <string>
#include <vector>

#include "model/ids.h"
#include "model/resources.h"
#include "model/time.h"

namespace magpie {

// A type of machines that the cloud rents.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0;  // for images
  double fetch_gb_per_s = 0;
  double price = 0;       // per hour
  double spot_price = 0;  // per hour, at present
  Seconds boot_time;      // nominal time from the request until the worker reports
  std::vector<std::string> zones;
};

// An entry of the cloud's machine list, which lags behind what the cloud has done.
struct ListedMachine {
  enum class State { kStarting, kRunning, kFailed };

  MachineId id;
  std::string addr;  // of its worker; empty: not known yet
  std::string type;
  std::string zone;
  bool spot = false;
  State state = State::kStarting;
  Seconds age;  // since it was requested, as of the moment the list describes
};

}  // namespace magpie
