// A cache of the machine types that the cloud offers.
#pragma once

#include <mutex>
#include <stop_token>
#include <thread>
#include <vector>

#include "cloud/cloud_client.h"
#include "controller/leader_state.h"
#include "controller/retry.h"
#include "model/machine.h"

namespace magpie {

// Fetches the machine types from the cloud once a minute, for the scheduler and for checking
// submissions. Thread safe.
class MachineTypeCache {
 public:
  MachineTypeCache(LeaderState& state, CloudClient& cloud);

  // Starts the thread. The destructor stops it and waits for the current call.
  void Start();
  // The machine types of the latest fetch; empty before the first one.
  std::vector<MachineType> types() const;

 private:
  StepResult Refresh(const std::stop_token& stop);

  LeaderState& state_;
  CloudClient& cloud_;
  mutable std::mutex mutex_;  // guards types_
  std::vector<MachineType> types_;
  std::jthread thread_;  // declared last: joined before the other members are destroyed
};

}  // namespace magpie
