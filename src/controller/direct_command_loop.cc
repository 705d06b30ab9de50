#include "controller/direct_command_loop.h"

#include "clock/clock.h"
#include "controller/command_delivery.h"

namespace magpie {

DirectCommandLoop::DirectCommandLoop(LeaderState& state, CancellationRegistry& cancellations)
    : state_(state), cancellations_(cancellations) {}

void DirectCommandLoop::Start() {
  for (int i = 0; i < kThreads; ++i)
    threads_.emplace_back([this](const std::stop_token& stop) { Run(stop); });
}

void DirectCommandLoop::Run(const std::stop_token& stop) {
  const auto next_command = [this] {
    state_.scheduler().AllowTaskStarts(cancellations_.Loaded());
    return state_.scheduler().NextDirectCommand(SteadyNow());
  };
  while (auto command = state_.WaitForWork(stop, WorkSignal::kDirectCommand, next_command)) {
    cancellations_.RemoveCancelledStarts(*command);
    DeliverCommand(state_, *command);
  }
}

}  // namespace magpie
