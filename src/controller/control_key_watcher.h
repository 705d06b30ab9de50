// The thread that watches the control keys of the election.
#pragma once

#include <functional>
#include <stop_token>
#include <thread>

#include "controller/retry.h"
#include "kv/key_value_store.h"

namespace magpie {

// Calls `on_change` when a watch returns changes of keys under records::kControlPrefix. Changes
// made between a failed watch and the next one are not reported.
class ControlKeyWatcher {
 public:
  ControlKeyWatcher(KeyValueStore& store, std::function<void()> on_change);

  // Starts the thread. The destructor stops it and waits for the current watch to return.
  void Start();

 private:
  // Makes one watch call, starting at the revision where the previous one ended.
  StepResult WatchOnce();

  KeyValueStore& store_;
  std::function<void()> on_change_;
  Revision watched_revision_;  // 0: unknown, read before the next watch. Used only by the thread.
  std::jthread thread_;        // declared last: joined before the other members are destroyed
};

}  // namespace magpie
