#include "scheduling/command_queue.h"

#include <utility>

namespace magpie {

void CommandQueue::Clear() {
  waiting_.clear();
  withheld_.clear();
}

void CommandQueue::RetryWithheld() { waiting_.merge(std::exchange(withheld_, {})); }

}  // namespace magpie
