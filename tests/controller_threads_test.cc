// Tests of the controller's components that run threads: starting, stopping and basic functions.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <stop_token>
#include <thread>

#include "controller/control_key_watcher.h"
#include "controller/direct_command_loop.h"
#include "controller/leader_state.h"
#include "controller/planning_loop.h"
#include "controller/probe_loop.h"
#include "controller/retry.h"
#include "controller/takeover_loop.h"
#include "controller/write_loop.h"

namespace magpie::testing {
namespace {

// An empty store whose first watch returns one change.
class StubStore : public KeyValueStore {
 public:
  GetResult Get(const std::string& /*key*/) override { return {StoreStatus::kOk, std::nullopt}; }
  RangeResult Range(const std::string& /*prefix*/, const std::string& /*after*/,
                    std::uint32_t /*limit*/) override {
    return {StoreStatus::kOk, {}, false, {1}};
  }
  TransactionResult Commit(const Transaction& /*transaction*/) override {
    return {StoreStatus::kOk, {2}, {}};
  }
  LeaseResult Grant(Seconds /*time_to_live*/) override { return {StoreStatus::kOk, {1}}; }
  StoreStatus KeepAlive(LeaseId /*lease*/) override { return StoreStatus::kOk; }
  WatchResult Watch(const std::string& /*prefix*/, Revision after, Seconds /*block*/) override {
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
    WatchResult result{StoreStatus::kOk, false, {}, after};
    if (!watched_.exchange(true)) result.events.push_back({"c/leader", std::nullopt, after});
    return result;
  }

 private:
  std::atomic<bool> watched_{false};
};

class ControllerThreadsTest : public ::testing::Test {
 protected:
  LeaderElection::View LeaderView() { return {true, records::Leadership{{7}, {8}}, "n0", {8}}; }
  static LeaderElection::View FollowerView() { return {true, std::nullopt, "n1", {9}}; }

  StubStore store_;
  int leader_changes_ = 0;
  LeaderState state_{{"n0", {}, {}, Seconds{3}, [this] { ++leader_changes_; }}};
};

TEST_F(ControllerThreadsTest, DestructorsStopThreadsWaitingForWork) {
  JobCache jobs(store_, Seconds{0}, {[] { return Instant{1}; }, [](Seconds) {}});
  CancellationRegistry cancellations(jobs, [](const JobCache::Cancellation&) {});
  PlanningLoop planning(state_, {"n0", 2, [] { return true; }});
  WriteLoop writes(state_, store_, [] {});
  DirectCommandLoop commands(state_, cancellations);
  ProbeLoop probes(state_, 2);
  TakeoverLoop takeover(state_, store_, store_);
  planning.Start();
  writes.Start();
  commands.Start();
  probes.Start();
  takeover.Start();
}

TEST_F(ControllerThreadsTest, TakeoverLoadsRecords) {
  TakeoverLoop takeover(state_, store_, store_);
  takeover.Start();
  state_.OnElectionView(LeaderView());
  const auto loaded = [this] {
    std::scoped_lock lock(state_.mutex());
    return state_.scheduler().loaded();
  };
  constexpr int kMaxTries = 2000;
  for (int i = 0; i < kMaxTries && !loaded(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  EXPECT_TRUE(loaded());
}

TEST_F(ControllerThreadsTest, ControlKeyChangeIsReported) {
  std::promise<void> changed;
  ControlKeyWatcher watcher(store_, [&] { changed.set_value(); });
  watcher.Start();
  EXPECT_EQ(changed.get_future().wait_for(std::chrono::seconds{10}), std::future_status::ready);
}

TEST_F(ControllerThreadsTest, RelinquishedLeadershipIsNotResumed) {
  const LeaderElection::View view = LeaderView();
  state_.OnElectionView(view);
  ASSERT_TRUE(state_.HoldsLeadership(*view.leadership));
  EXPECT_EQ(leader_changes_, 1);
  state_.Relinquish(*view.leadership);
  EXPECT_TRUE(state_.IsRelinquished(view));
  state_.OnElectionView(view);
  EXPECT_FALSE(state_.HoldsLeadership(*view.leadership));
  state_.OnElectionView(FollowerView());
  EXPECT_EQ(state_.leader_label(), "n1");
  EXPECT_EQ(leader_changes_, 2);
}

TEST(RetryTest, StepsRepeatWhileConditionHolds) {
  int steps = 0;
  Backoff backoff({0.001}, {0.002});
  RepeatWhile(
      {}, backoff, [&] { return steps < 3; },
      [&] { return ++steps % 2 == 0 ? StepResult::kSucceeded : StepResult::kFailed; });
  EXPECT_EQ(steps, 3);
}

TEST(RetryTest, SleepEndsWhenThreadIsStopped) {
  const auto begin = std::chrono::steady_clock::now();
  {
    const std::jthread sleeper([](const std::stop_token& stop) { SleepFor({60}, stop); });
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds{30});
}

}  // namespace
}  // namespace magpie::testing
