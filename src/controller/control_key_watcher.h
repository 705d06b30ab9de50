// The thread that watches the keys of the election.
#pragma once

#include <functional>
#include <stop_token>
#include <thread>

#include "controller/retry.h"
#include "kv/key_value_store.h"

namespace magpie {

// Calls `on_change` whenever a control key (records::kControlPrefix) has changed.
class ControlKeyWatcher {
 public:
  ControlKeyWatcher(KeyValueStore& store, std::function<void()> on_change);

  // Begins the thread. It ends with this object, which may have to wait until a watch returns.
  void Start();

 private:
  // One watch, from the revision where the latest one ended.
  StepResult WatchOnce();

  KeyValueStore& store_;
  std::function<void()> on_change_;
  Revision watched_to_;  // 0: to be read from the store. Used by the thread alone.
  std::jthread thread_;  // last: ends before what it uses
};

}  // namespace magpie
