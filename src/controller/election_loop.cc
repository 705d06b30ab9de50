#include "controller/election_loop.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <utility>

#include "clock/clock.h"
#include "controller/retry.h"

namespace magpie {
namespace {

constexpr Seconds kStepInterval{1};
constexpr Seconds kRetryInterval{0.25};  // if the store can't be reached or the jobs are not loaded
constexpr Seconds kMaxRetryInterval{0.8};
constexpr Seconds kWakeDebounce{0.1};  // wake-ups arrive in bursts

}  // namespace

ElectionLoop::ElectionLoop(LeaderState& state, LeaderElection election,
                           CancellationRegistry& cancellations)
    : state_(state), election_(std::move(election)), cancellations_(cancellations) {}

void ElectionLoop::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

void ElectionLoop::Wake() {
  std::scoped_lock lock(mutex_);
  wake_requested_ = true;
  wake_.notify_one();
}

void ElectionLoop::Run(const std::stop_token& stop) {
  const std::stop_callback wake_on_stop(stop, [this] { Wake(); });
  Backoff backoff(kRetryInterval, kMaxRetryInterval);
  Instant no_leader_since = SteadyNow();
  while (!stop.stop_requested()) {
    cancellations_.LoadIfNeeded();
    const LeaderElection::View& view = election_.Step(state_.MayCampaign(no_leader_since));
    state_.OnElectionView(view);
    if (!view.store_reachable || !view.leader.empty()) no_leader_since = SteadyNow();
    if (state_.ResignIfUnhealthy()) {
      spdlog::info("leadership resigned reason=only_relayed_heartbeats");
      election_.Resign();
      continue;
    }
    // This controller may lead again only with a new epoch, which starts by loading all records.
    if (state_.IsRelinquished(view)) {
      if (!election_.Resign()) SleepFor(backoff.Next(ThreadRandom()), stop);
      continue;
    }
    if (view.store_reachable) backoff.Reset();
    if (!view.store_reachable)
      Wait(backoff.Next(ThreadRandom()), stop);
    else
      Wait(cancellations_.Loaded() ? kStepInterval : kRetryInterval, stop);
  }
}

void ElectionLoop::Wait(Seconds max_wait, const std::stop_token& stop) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, std::chrono::duration<double>(max_wait.value),
                 [this] { return wake_requested_; });
  const bool woken = std::exchange(wake_requested_, false);
  lock.unlock();
  if (woken) SleepWithJitter(kWakeDebounce, stop);
}

}  // namespace magpie
