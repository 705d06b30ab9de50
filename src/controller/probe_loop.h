// The threads that probe machines with missing heartbeats.
#pragma once

#include <cstddef>
#include <stop_token>
#include <thread>
#include <vector>

#include "controller/leader_state.h"

namespace magpie {

// Probes several machines concurrently. Its threads are separate from those for direct commands, so
// that unresponsive machines do not delay the commands.
class ProbeLoop {
 public:
  ProbeLoop(LeaderState& state, std::size_t threads);

  // Starts the threads. The destructor stops them and waits for the probes in progress.
  void Start();

 private:
  void Run(const std::stop_token& stop);

  LeaderState& state_;
  std::size_t thread_count_;
  // Declared last: joined before the other members are destroyed.
  std::vector<std::jthread> threads_;
};

}  // namespace magpie
