// The state that the threads of one controller share for the leader's work.
#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <type_traits>

#include "controller/heartbeat_handler.h"
#include "election/leader_election.h"
#include "election/leader_health.h"
#include "failover/failover_timeline.h"
#include "records/records.h"
#include "scheduling/scheduler.h"

namespace magpie {

// The events that the threads of the leader wait for.
enum class WorkSignal : std::uint8_t {
  kLeadershipAcquired,
  kPlanning,
  kWriteBatch,
  kDirectCommand,
  kProbe,
  kCloudCall,
  kProgress,  // a planning round or a write has ended
};

// Holds the scheduler, whether this controller leads, and the condition variables of the threads
// that carry out the scheduler's decisions.
//
// Thread safety: one mutex guards all members. Any thread may hold it for computations, but never
// during I/O or a sleep. The functions of the first group below lock the mutex; the caller of the
// others holds it with `std::unique_lock lock(state.mutex())`.
class LeaderState {
 public:
  struct Options {
    std::string label;  // of this controller
    Scheduler::Options scheduler;
    Autoscaler::Options autoscaler;
    Seconds heartbeat_interval;
    // Called with the mutex held when the leader's label changes, also if there is no leader any
    // more.
    std::function<void()> on_leader_changed;
  };

  explicit LeaderState(Options options);
  LeaderState(const LeaderState&) = delete;
  LeaderState& operator=(const LeaderState&) = delete;

  // --- Functions that lock the mutex

  // Applies the result of an election step; starts or ends the leadership of this controller.
  void OnElectionView(const LeaderElection::View& view);
  // Ends the leadership permanently if this controller still holds it. Called if the records show
  // that it is lost, or if the scheduler's state differs from the records. It is not resumed even
  // if the key-value store still names this controller as the leader.
  void Relinquish(const records::Leadership& leadership);
  // Whether the leadership in the key-value store is the one that this controller relinquished.
  bool IsRelinquished(const LeaderElection::View& view);
  bool HoldsLeadership(const records::Leadership& leadership);
  // Whether the key-value store has answered since an election step last failed to reach it.
  bool StoreReachable();
  bool MayCampaign(Instant no_leader_since);
  // Whether this controller should resign. If so, the resignation is recorded in health().
  bool ResignIfUnhealthy();
  // The label of the last known leader; empty: there is none.
  std::string leader_label();

  // Wakes all threads that wait for `signal`, so that they check for a stop request.
  void WakeAll(WorkSignal signal);
  // Blocks until `next_work` returns a value and returns it; none if `stop` is requested. Calls
  // `next_work` with the mutex held, at once and after each `signal`.
  template <typename NextWork>
  std::invoke_result_t<NextWork> WaitForWork(const std::stop_token& stop, WorkSignal signal,
                                             NextWork next_work);
  // Blocks until planning is requested, at most for `max_wait`. `lock` holds the mutex.
  void WaitForPlanning(std::unique_lock<std::mutex>& lock, Seconds max_wait,
                       const std::stop_token& stop);

  // Blocks until a planning round or a write has ended, at most for `max_wait`. `lock` holds the
  // mutex.
  void WaitForProgress(std::unique_lock<std::mutex>& lock, Seconds max_wait);

  // --- Functions that require the caller to hold the mutex

  std::mutex& mutex() { return mutex_; }
  Scheduler& scheduler() { return scheduler_; }
  LeaderHealth& health() { return health_; }
  FailoverTimeline& timeline() { return timeline_; }
  const std::optional<records::Leadership>& leadership() const { return leadership_; }
  // The latest known epoch, of this controller or another leader.
  Revision epoch() const { return leadership_ ? leadership_->epoch : epoch_; }
  HeartbeatHandler::ClusterView ClusterView() const;
  Instant store_reached_at() const { return store_reached_at_; }
  void OnStoreReached(Instant now) { store_reached_at_ = now; }
  // Restarts the scheduler with empty state for the current leadership.
  void RestartScheduler();

  void RequestPlanning();
  // Requests planning if the scheduler has reason to plan.
  void RequestPlanningIfWanted();
  void OnPlanningStarted() { planning_requested_ = false; }
  // Wakes one direct-command thread for each machine with pending commands.
  void NotifyCommandThreads();
  void NotifyOne(WorkSignal signal) { condition(signal).notify_one(); }
  // Wakes the threads that wait in WaitForProgress.
  void NotifyProgress() { condition(WorkSignal::kProgress).notify_all(); }

 private:
  static constexpr std::size_t kSignalCount = 7;
  std::condition_variable& condition(WorkSignal signal) {
    return conditions_[static_cast<std::size_t>(signal)];
  }

  const std::string label_;
  const std::function<void()> on_leader_changed_;

  std::mutex mutex_;  // guards the members below
  std::array<std::condition_variable, kSignalCount> conditions_;
  Scheduler scheduler_;
  LeaderHealth health_;
  std::optional<records::Leadership> leadership_;
  std::optional<records::Leadership> relinquished_;  // the last one that was relinquished
  std::string leader_label_;
  Revision epoch_;
  Instant store_reached_at_;  // when the key-value store last answered
  Instant store_failed_at_;   // when an election step last failed to reach it
  bool planning_requested_ = false;
  FailoverTimeline timeline_;
};

template <typename NextWork>
std::invoke_result_t<NextWork> LeaderState::WaitForWork(const std::stop_token& stop,
                                                        WorkSignal signal, NextWork next_work) {
  // The callback locks the mutex, so it must be registered before the mutex is locked.
  const std::stop_callback wake_on_stop(stop, [this, signal] { WakeAll(signal); });
  std::unique_lock lock(mutex_);
  while (!stop.stop_requested()) {
    if (auto work = next_work()) return work;
    condition(signal).wait(lock);
  }
  return std::nullopt;
}

}  // namespace magpie
