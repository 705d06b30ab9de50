// Machine types and machines as the cloud describes them
// (PROTOCOL, "Controller nodes -> cloud").
#pragma once

#include <string>
#include <vector>

#include "model/ids.h"
#include "model/resources.h"
#include "model/time.h"

namespace magpie {

// A machine type that the cloud offers.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0;  // size of the image cache
  double fetch_gb_per_s = 0;
  double price = 0;       // per hour
  double spot_price = 0;  // current price per hour
  Seconds boot_time;      // nominal time from the request to the worker's first heartbeat
  std::vector<std::string> zones;
};

// An entry of the cloud's machine list, which lags behind the cloud's actual state.
struct ListedMachine {
  enum class State { kStarting, kRunning, kFailed };

  MachineId id;
  std::string addr;  // address of the worker; empty: not known yet
  std::string type;
  std::string zone;
  bool spot = false;
  State state = State::kStarting;
  Seconds age;  // time from the request to the snapshot that the list shows
};

}  // namespace magpie
