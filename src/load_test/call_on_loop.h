// Calls into objects that are used only on an event loop's thread.
#pragma once

#include <future>
#include <memory>
#include <utility>

#include "load_test/event_loop.h"

namespace magpie::load_test {

// Runs `call` on the loop's thread and waits for its result. Deadlocks if called on that thread.
template <typename Call>
auto CallOnLoop(EventLoop& loop, Call call) {
  std::packaged_task<decltype(call())()> task(std::move(call));
  auto result = task.get_future();
  auto shared = std::make_shared<decltype(task)>(std::move(task));
  loop.Post([shared] { (*shared)(); });
  return result.get();
}

}  // namespace magpie::load_test
