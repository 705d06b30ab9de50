#include "controller/leader_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "clock/clock.h"
#include "controller/direct_command_loop.h"

namespace magpie {

using records::Leadership;

LeaderState::LeaderState(Options options)
    : label_(std::move(options.label)),
      on_leader_changed_(std::move(options.on_leader_changed)),
      scheduler_(std::move(options.scheduler), options.autoscaler),
      health_(options.heartbeat_interval),
      timeline_(SteadyNow()) {}

void LeaderState::OnElectionView(const LeaderElection::View& view) {
  std::scoped_lock lock(mutex_);
  if (!view.store_reachable) {
    store_failed_at_ = SteadyNow();
    return;
  }
  store_reached_at_ = SteadyNow();
  timeline_.Record(FailoverTimeline::Step::kStoreReached, store_reached_at_);
  if (leader_label_ != view.leader) on_leader_changed_();
  leader_label_ = view.leader;
  epoch_ = view.epoch;
  // This view predates the relinquishment. If the scheduler restarted with the same epoch, it would
  // have lost the tokens that it raised after unanswered commands.
  if (view.leadership && view.leadership == relinquished_) return;
  if (view.leadership == leadership_) return;
  scheduler_.Stop();
  leadership_ = view.leadership;
  timeline_.Restart();
  if (leadership_) {
    timeline_.Record(FailoverTimeline::Step::kElected, SteadyNow());
    health_.OnElected(SteadyNow());
    spdlog::info("leadership acquired epoch={} token={}", leadership_->epoch.value,
                 FirstFencingToken(leadership_->epoch).value);
    RestartScheduler();
  } else {
    spdlog::info("leadership lost leader={}", view.leader.empty() ? "none" : view.leader);
  }
  condition(WorkSignal::kLeadershipAcquired).notify_all();
}

void LeaderState::Relinquish(const Leadership& leadership) {
  std::scoped_lock lock(mutex_);
  if (leadership_ != leadership) return;
  spdlog::info("leadership relinquished epoch={}", leadership.epoch.value);
  scheduler_.Stop();
  leadership_.reset();
  relinquished_ = leadership;
}

bool LeaderState::IsRelinquished(const LeaderElection::View& view) {
  std::scoped_lock lock(mutex_);
  return view.leadership && view.leadership == relinquished_;
}

bool LeaderState::HoldsLeadership(const Leadership& leadership) {
  std::scoped_lock lock(mutex_);
  return leadership_ == leadership;
}

bool LeaderState::StoreReachable() {
  std::scoped_lock lock(mutex_);
  return store_failed_at_ <= store_reached_at_;
}

bool LeaderState::MayCampaign(Instant no_leader_since) {
  std::scoped_lock lock(mutex_);
  return health_.MayCampaign(no_leader_since, SteadyNow());
}

bool LeaderState::ResignIfUnhealthy() {
  std::scoped_lock lock(mutex_);
  const Instant now = SteadyNow();
  if (!leadership_ || !health_.ShouldResign(scheduler_.ReachableMachines(), now)) return false;
  health_.OnResigned(now);
  return true;
}

std::string LeaderState::leader_label() {
  std::scoped_lock lock(mutex_);
  return leader_label_;
}

void LeaderState::WaitForPlanning(std::unique_lock<std::mutex>& lock, Seconds max_wait,
                                  const std::stop_token& stop) {
  condition(WorkSignal::kPlanning)
      .wait_for(lock, std::chrono::duration<double>(max_wait.value),
                [&] { return planning_requested_ || stop.stop_requested(); });
}

void LeaderState::WaitForProgress(std::unique_lock<std::mutex>& lock, Seconds max_wait) {
  condition(WorkSignal::kProgress).wait_for(lock, std::chrono::duration<double>(max_wait.value));
}

HeartbeatHandler::ClusterView LeaderState::ClusterView() const {
  return {leader_label_, epoch_, store_failed_at_ > store_reached_at_};
}

void LeaderState::RestartScheduler() {
  scheduler_.Start(leadership_->epoch,
                   label_ + "-" + std::to_string(leadership_->epoch.value) + "-", SteadyNow());
}

void LeaderState::RequestPlanning() {
  if (!std::exchange(planning_requested_, true)) NotifyOne(WorkSignal::kPlanning);
}

void LeaderState::RequestPlanningIfWanted() {
  if (scheduler_.wants_tick()) RequestPlanning();
}

void LeaderState::NotifyCommandThreads() {
  const std::size_t threads =
      std::min<std::size_t>(scheduler_.machines_awaiting_commands(), DirectCommandLoop::kThreads);
  for (std::size_t i = 0; i < threads; ++i) NotifyOne(WorkSignal::kDirectCommand);
}

void LeaderState::WakeAll(WorkSignal signal) {
  std::scoped_lock lock(mutex_);
  condition(signal).notify_all();
}

}  // namespace magpie
