#include "controller/probe_loop.h"

#include "clock/clock.h"
#include "controller/command_delivery.h"

namespace magpie {

ProbeLoop::ProbeLoop(LeaderState& state, std::size_t threads)
    : state_(state), thread_count_(threads) {}

void ProbeLoop::Start() {
  threads_.reserve(thread_count_);
  for (std::size_t i = 0; i < thread_count_; ++i)
    threads_.emplace_back([this](const std::stop_token& stop) { Run(stop); });
}

void ProbeLoop::Run(const std::stop_token& stop) {
  const auto next_probe = [this] { return state_.scheduler().NextProbe(SteadyNow()); };
  while (const auto probe = state_.WaitForWork(stop, WorkSignal::kProbe, next_probe))
    DeliverCommand(state_, *probe);
}

}  // namespace magpie
