// The threads that send direct commands to workers.
#pragma once

#include <optional>
#include <stop_token>
#include <thread>
#include <vector>

#include "cancellation/cancellation_registry.h"
#include "controller/leader_state.h"

namespace magpie {

// Sends the scheduler's direct commands, up to kThreads concurrently.
class DirectCommandLoop {
 public:
  static constexpr int kThreads = 12;

  DirectCommandLoop(LeaderState& state, CancellationRegistry& cancellations);

  // Starts the threads. The destructor stops them and waits for the commands in progress.
  void Start();

 private:
  void Run(const std::stop_token& stop);

  LeaderState& state_;
  CancellationRegistry& cancellations_;
  // Declared last: joined before the other members are destroyed.
  std::vector<std::jthread> threads_;
};

}  // namespace magpie
