// More work than capacity: which jobs are planned to meet their targets, which are deferred, and
// the share of capacity that urgent work leaves for other jobs.
#include "overload/overload_policy.h"

#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

WaitingWork MakeWaitingWork(double work, std::vector<Seconds> targets, double run = 0) {
  return {Seconds{work}, Seconds{run}, std::move(targets)};
}
constexpr Seconds kZeroWork{};

TEST(OverloadPolicyTest, DefersNoJobWithSufficientCapacity) {
  const OverloadDecision decision =
      PlanForTargets({MakeWaitingWork(10, {{30}}), MakeWaitingWork(10, {{20}})}, kZeroWork, 1);
  EXPECT_FALSE(decision.overloaded);
  EXPECT_EQ(decision.planned_target[0], 0U);
  EXPECT_EQ(decision.planned_target[1], 0U);
  EXPECT_EQ(decision.planned_work.value, 20);
}

// In deadline order, all three jobs would start slightly too late.
TEST(OverloadPolicyTest, DefersLargestJob) {
  const OverloadDecision decision = PlanForTargets(
      {MakeWaitingWork(10, {{20}}), MakeWaitingWork(25, {{21}}), MakeWaitingWork(10, {{22}})},
      kZeroWork, 1);
  EXPECT_TRUE(decision.overloaded);
  EXPECT_EQ(decision.planned_target[0], 0U);
  EXPECT_EQ(decision.planned_target[1], std::nullopt);
  EXPECT_EQ(decision.planned_target[2], 0U);
}

TEST(OverloadPolicyTest, PlansJobForNextTargetAfterMissedOne) {
  const OverloadDecision decision = PlanForTargets(
      {MakeWaitingWork(25, {{21}, {60}}), MakeWaitingWork(10, {{22}})}, kZeroWork, 1);
  EXPECT_TRUE(decision.overloaded);
  EXPECT_EQ(decision.planned_target[0], 1U);
  EXPECT_EQ(decision.planned_target[1], 0U);
}

TEST(OverloadPolicyTest, CountsWorkAheadAndAlpha) {
  const std::vector<WaitingWork> single_job{MakeWaitingWork(10, {{20}})};
  EXPECT_EQ(PlanForTargets(single_job, {9}, 1).planned_target[0], 0U);
  EXPECT_EQ(PlanForTargets(single_job, {11}, 1).planned_target[0], std::nullopt);
  EXPECT_EQ(PlanForTargets(single_job, {9}, 1.3).planned_target[0], std::nullopt);
}

// Run time estimates are too often wrong to defer a job for its own estimate alone.
TEST(OverloadPolicyTest, JobLateOnItsOwnIsNotOverload) {
  const OverloadDecision decision = PlanForTargets(
      {MakeWaitingWork(1, {{10}}, 30), MakeWaitingWork(1, {{50}}, 30)}, kZeroWork, 1);
  EXPECT_FALSE(decision.overloaded);
  EXPECT_EQ(decision.planned_target[0], std::nullopt);
  EXPECT_EQ(decision.planned_target[1], 0U);
}

TEST(OverloadPolicyTest, PlansNoWorkWithoutJobs) {
  const OverloadDecision decision = PlanForTargets({}, {100}, 1.3);
  EXPECT_FALSE(decision.overloaded);
  EXPECT_TRUE(decision.planned_target.empty());
  EXPECT_EQ(decision.planned_work, kZeroWork);
}

class OverloadedClusterTest : public ClusterTest {
 protected:
  // Starts a leader and one machine with a capacity of eight tasks.
  TestController& StartLeaderWithOneMachine() {
    TestController& node = AddController("n0");
    AddWorker("m-1", "large");
    EXPECT_TRUE(node.TakeOver(now));
    Settle(node);
    return node;
  }
  FakeWorker& worker() { return workers_.front(); }
  // Advances the time, with heartbeats every 3 s.
  void AdvanceWithHeartbeats(TestController& node, double seconds) {
    for (; seconds > 0; seconds -= 3) {
      AdvanceTime(std::min(seconds, 3.0));
      Settle(node, 1);
    }
  }
  JobSpec MakeUrgentJob(int i, double deadline) {
    JobSpec spec = MakeJob("j-9" + std::to_string(i), 4);
    spec.priority = Priority::kHigh;
    spec.deadline = Seconds{deadline};
    spec.submitted = wall;
    return spec;
  }
};

// Guards against capacity spread over many partly completed arrays (days/scattered-arrays.toml):
// arrays that are late in any case are ordered by their remaining work.
TEST_F(OverloadedClusterTest, LateArrayWithLeastRemainingWorkStartsFirst) {
  TestController& node = StartLeaderWithOneMachine();
  JobSpec large_array = MakeJob("j-1", 40);
  JobSpec small_array = MakeJob("j-2", 4);
  large_array.deadline = small_array.deadline = Seconds{40};
  Run(node, MakeJob("j-0", 8));  // fills the machine
  Settle(node);
  Run(node, large_array);
  AdvanceWithHeartbeats(node, 20);
  Run(node, small_array);
  AdvanceWithHeartbeats(node, 45);  // both have missed their only target
  for (std::uint32_t i = 0; i < 4; ++i) worker().End({{"j-0"}, i}, ExitReason::kDone);
  Settle(node);
  for (std::uint32_t i = 0; i < 4; ++i) EXPECT_TRUE(worker().HasLiveTask({{"j-2"}, i}));
  EXPECT_FALSE(worker().HasLiveTask({{"j-1"}, 0}));
}

// Guards against tasks of normal priority being repeatedly started and preempted for urgent work
// (days/urgent-flood.toml: 40,871 starts for 26,311 completed tasks).
TEST_F(OverloadedClusterTest, InevitablyLateUrgentWorkDoesNotPreempt) {
  wall.value += 40;  // the urgent jobs are overdue when the leader loads them
  TestController& node = StartLeaderWithOneMachine();
  Run(node, MakeJob("j-1", 8));
  Settle(node);
  ASSERT_EQ(worker().LiveTaskCount(), 8U);
  for (int i = 0; i < 9; ++i) Run(node, MakeUrgentJob(i, 32));
  AdvanceWithHeartbeats(node, 9);
  for (std::uint32_t i = 0; i < 8; ++i) EXPECT_TRUE(worker().HasLiveTask({{"j-1"}, i}));
}

// Many urgent jobs leave a quarter of the capacity to less urgent jobs that can meet their targets.
TEST_F(OverloadedClusterTest, LessUrgentWorkKeepsMinimumShare) {
  TestController& node = StartLeaderWithOneMachine();
  for (int i = 0; i < 9; ++i) Run(node, MakeUrgentJob(i, 60));
  Settle(node);
  ASSERT_EQ(worker().LiveTaskCount(), 8U);
  JobSpec normal = MakeJob("j-1", 2);
  normal.deadline = Seconds{400};
  Run(node, normal);
  Settle(node);
  const auto live = worker().Snapshot().tasks;
  for (std::size_t i = 0; i < 2; ++i) worker().End(live[i].task, ExitReason::kDone);
  Settle(node);
  EXPECT_TRUE(worker().HasLiveTask({{"j-1"}, 0}));
  EXPECT_TRUE(worker().HasLiveTask({{"j-1"}, 1}));
  // Less urgent work now has its share, so the urgent jobs get the capacity that is freed next.
  JobSpec second_normal = MakeJob("j-2", 2);
  second_normal.deadline = Seconds{400};
  Run(node, second_normal);
  for (std::size_t i = 2; i < 4; ++i) worker().End(live[i].task, ExitReason::kDone);
  Settle(node);
  EXPECT_FALSE(worker().HasLiveTask({{"j-2"}, 0}));
  EXPECT_EQ(worker().LiveTaskCount(), 8U);
}

}  // namespace
}  // namespace magpie::testing
