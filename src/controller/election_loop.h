// The thread that takes part in the leader election.
#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>
#include <thread>

#include "cancellation/cancellation_registry.h"
#include "controller/leader_state.h"
#include "election/leader_election.h"

namespace magpie {

// Runs an election step about once a second and after each Wake(). Before each step it loads the
// jobs into the cancellation registry if needed, so that a new leader may renew leases from the
// first heartbeat on.
class ElectionLoop {
 public:
  ElectionLoop(LeaderState& state, LeaderElection election, CancellationRegistry& cancellations);

  // Starts the thread. The destructor stops it.
  void Start();
  // Triggers the next step without waiting for the interval. Thread safe.
  void Wake();

 private:
  void Run(const std::stop_token& stop);
  void Wait(Seconds max_wait, const std::stop_token& stop);

  LeaderState& state_;
  LeaderElection election_;  // used only by the thread
  CancellationRegistry& cancellations_;
  std::mutex mutex_;  // guards wake_requested_
  std::condition_variable wake_;
  bool wake_requested_ = false;
  std::jthread thread_;  // declared last: joined before the other members are destroyed
};

}  // namespace magpie
