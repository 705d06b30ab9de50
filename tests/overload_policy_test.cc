// More work than capacity: which jobs are planned to be in time, which are deferred, and what a
// flood of urgent work leaves for the rest.
#include "overload/overload_policy.h"

#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

WaitingWork Of(double work, std::vector<Seconds> targets, double run = 0) {
  return {Seconds{work}, Seconds{run}, std::move(targets)};
}
constexpr Seconds kNoWorkAhead{};

TEST(OverloadPolicyTest, DefersNothingWhileThereIsCapacityForAll) {
  const OverloadDecision decision =
      PlanForTargets({Of(10, {{30}}), Of(10, {{20}})}, kNoWorkAhead, 1);
  EXPECT_FALSE(decision.overloaded);
  EXPECT_EQ(decision.planned_target[0], 0U);
  EXPECT_EQ(decision.planned_target[1], 0U);
  EXPECT_EQ(decision.planned_work.value, 20);
}

// By deadline alone all three would be late: each would begin just too late.
TEST(OverloadPolicyTest, DefersTheLargestForTheOthers) {
  const OverloadDecision decision =
      PlanForTargets({Of(10, {{20}}), Of(25, {{21}}), Of(10, {{22}})}, kNoWorkAhead, 1);
  EXPECT_TRUE(decision.overloaded);
  EXPECT_EQ(decision.planned_target[0], 0U);
  EXPECT_EQ(decision.planned_target[1], std::nullopt);
  EXPECT_EQ(decision.planned_target[2], 0U);
}

TEST(OverloadPolicyTest, PlansAJobThatMissesATargetForItsNext) {
  const OverloadDecision decision =
      PlanForTargets({Of(25, {{21}, {60}}), Of(10, {{22}})}, kNoWorkAhead, 1);
  EXPECT_TRUE(decision.overloaded);
  EXPECT_EQ(decision.planned_target[0], 1U);
  EXPECT_EQ(decision.planned_target[1], 0U);
}

TEST(OverloadPolicyTest, CountsTheWorkAheadAndTheWeightOfWaits) {
  const std::vector<WaitingWork> one{Of(10, {{20}})};
  EXPECT_EQ(PlanForTargets(one, {9}, 1).planned_target[0], 0U);
  EXPECT_EQ(PlanForTargets(one, {11}, 1).planned_target[0], std::nullopt);
  EXPECT_EQ(PlanForTargets(one, {9}, 1.3).planned_target[0], std::nullopt);
}

// Estimates are too often wrong to give anything up for them alone.
TEST(OverloadPolicyTest, AJobThatIsLateByItselfIsNoOverload) {
  const OverloadDecision decision =
      PlanForTargets({Of(1, {{10}}, 30), Of(1, {{50}}, 30)}, kNoWorkAhead, 1);
  EXPECT_FALSE(decision.overloaded);
  EXPECT_EQ(decision.planned_target[0], std::nullopt);
  EXPECT_EQ(decision.planned_target[1], 0U);
}

TEST(OverloadPolicyTest, PlansNoWorkWithoutJobs) {
  const OverloadDecision decision = PlanForTargets({}, {100}, 1.3);
  EXPECT_FALSE(decision.overloaded);
  EXPECT_TRUE(decision.planned_target.empty());
  EXPECT_EQ(decision.planned_work, kNoWorkAhead);
}

class OverloadedClusterTest : public ClusterTest {
 protected:
  // One machine of eight places, and its leader.
  TestController& Begin() {
    TestController& node = AddController("n0");
    AddWorker("m-1", "large");
    EXPECT_TRUE(node.TakeOver(now));
    Settle(node);
    return node;
  }
  FakeWorker& worker() { return workers_.front(); }
  // Time goes by, with reports.
  void Wait(TestController& node, double seconds) {
    for (; seconds > 0; seconds -= 3) {
      AdvanceTime(std::min(seconds, 3.0));
      Settle(node, 1);
    }
  }
  JobSpec Urgent(int i, double deadline) {
    JobSpec spec = MakeJob("j-9" + std::to_string(i), 4);
    spec.priority = Priority::kHigh;
    spec.deadline = Seconds{deadline};
    spec.submitted = wall;
    return spec;
  }
};

// Guards against room that is spread over many half-done arrays, as on the day
// days/scattered-arrays.toml: what is late all the same goes by what is left of it.
TEST_F(OverloadedClusterTest, LateArrayNearestItsEndGoesFirst) {
  TestController& node = Begin();
  JobSpec large = MakeJob("j-1", 40);
  JobSpec small = MakeJob("j-2", 4);
  large.deadline = small.deadline = Seconds{40};
  Run(node, MakeJob("j-0", 8));  // the machine is full
  Settle(node);
  Run(node, large);
  Wait(node, 20);
  Run(node, small);
  Wait(node, 45);  // both have missed their only target
  for (std::uint32_t i = 0; i < 4; ++i) worker().End({{"j-0"}, i}, ExitReason::kDone);
  Settle(node);
  for (std::uint32_t i = 0; i < 4; ++i) EXPECT_TRUE(worker().HasLiveTask({{"j-2"}, i}));
  EXPECT_FALSE(worker().HasLiveTask({{"j-1"}, 0}));
}

// Guards against tasks of normal priority that are begun and stopped for urgent
// work again and again (days/urgent-flood.toml: 40,871 starts for 26,311 ends).
TEST_F(OverloadedClusterTest, UrgentWorkThatIsLateRegardlessPreemptsNothing) {
  wall.value += 40;  // the urgent jobs are overdue when they are heard of
  TestController& node = Begin();
  Run(node, MakeJob("j-1", 8));
  Settle(node);
  ASSERT_EQ(worker().LiveTaskCount(), 8U);
  for (int i = 0; i < 9; ++i) Run(node, Urgent(i, 32));
  Wait(node, 9);
  for (std::uint32_t i = 0; i < 8; ++i) EXPECT_TRUE(worker().HasLiveTask({{"j-1"}, i}));
}

// An urgent flood leaves a quarter of the room to what is less urgent and in time.
TEST_F(OverloadedClusterTest, LessUrgentWorkKeepsItsMinimumShare) {
  TestController& node = Begin();
  for (int i = 0; i < 9; ++i) Run(node, Urgent(i, 60));
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
  // It has its part now: what is free next is for the flood.
  JobSpec more = MakeJob("j-2", 2);
  more.deadline = Seconds{400};
  Run(node, more);
  for (std::size_t i = 2; i < 4; ++i) worker().End(live[i].task, ExitReason::kDone);
  Settle(node);
  EXPECT_FALSE(worker().HasLiveTask({{"j-2"}, 0}));
  EXPECT_EQ(worker().LiveTaskCount(), 8U);
}

}  // namespace
}  // namespace magpie::testing
