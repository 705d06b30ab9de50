// Which work is planned and written first when writes to the key-value store are scarce.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class WriteBudgetTest : public ClusterTest {};

// Found on days of too much load: a late job took the room, and made the next
// one late as well.
TEST_F(WriteBudgetTest, WorkThatCanMeetItsTargetGoesBeforeLateWork) {
  TestController& node = AddController("n0");
  FakeWorker& w = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  JobSpec late = MakeJob("j-1", 2);
  late.deadline = Seconds{40};  // has passed for certain when there is room
  JobSpec in_time = MakeJob("j-2", 2);
  in_time.deadline = Seconds{200};
  Run(node, MakeJob("j-3", 2));
  Settle(node);
  Run(node, late);
  Run(node, in_time);
  AdvanceTime(60);
  Heartbeat(node, w);
  w.EndAll(ExitReason::kDone);
  Settle(node, 2);
  ASSERT_EQ(w.LiveTaskCount(), 2U);
  EXPECT_EQ(w.starts[TaskOf("j-2")], 1);
  EXPECT_EQ(w.starts[TaskOf("j-1")], 0);
}

TEST_F(WriteBudgetTest, CapacityIsFreeBeforeTheOutcomeIsDurable) {
  TestController& node = AddController("n0");
  FakeWorker& w = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 2));
  Settle(node);
  Run(node, MakeJob("j-2", 2));
  w.EndAll(ExitReason::kDone);
  Heartbeat(node, w);
  node.core.Tick(now, wall);
  EXPECT_EQ(node.core.GetStatus().bound, 4U) << "two that ended, two that follow";
  Settle(node);
  EXPECT_EQ(w.LiveTaskCount(), 2U);
  EXPECT_EQ(node.State("j-1"), "done");
}

TEST_F(WriteBudgetTest, ScarceWritesGoToBindingsFirst) {
  Scheduler::Options options = DefaultOptions();
  options.writes_per_s = 4;
  options.max_operations = 4;
  TestController& node = controllers_.emplace_back(store, "n0", options);
  FakeWorker& w = AddWorker("m-1", "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  for (int j = 1; j <= 3; ++j) Run(node, MakeJob("j-" + std::to_string(j), 2));
  AdvanceTime(5);
  Settle(node);
  ASSERT_EQ(w.LiveTaskCount(), 6U);
  AdvanceTime(0.1);
  for (int j = 1; j <= 3; ++j) w.End(TaskOf("j-" + std::to_string(j)), ExitReason::kDone);
  Heartbeat(node, w);
  Run(node, MakeJob("j-4", 1));
  AdvanceTime(0.7);
  node.core.Tick(now, wall);
  const WriteBatch plan = node.core.NextWriteBatch(now);
  ASSERT_FALSE(plan.puts.empty());
  EXPECT_EQ(plan.puts.front().records[plan.puts.front().rewritten].job, JobId{"j-4"});
}

// A flood of one-task jobs of low priority took a change for each of them, and the
// users' submissions were refused for it.
TEST_F(WriteBudgetTest, LowPriorityBindingsShareScarceWrites) {
  Scheduler::Options options = DefaultOptions();
  options.writes_per_s = 20;
  TestController& node = controllers_.emplace_back(store, "n0", options);
  for (int i = 0; i < 4; ++i) AddWorker("m-" + std::to_string(i), "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  const int before = store.commits;
  for (int i = 0; i < 20; ++i) {
    JobSpec low = MakeJob("j-" + std::to_string(100 + i));
    low.priority = Priority::kLow;
    Run(node, low);
    node.core.Tick(now, wall);
    while (node.WriteOnce(now)) {
    }
    AdvanceTime(0.05);
  }
  AdvanceTime(1);
  Settle(node);
  EXPECT_EQ(CountLiveTasks(), 20U);
  EXPECT_LT(store.commits - before - 20, 12) << "besides the 20 submissions";
}

// After many machines died, replicas waited behind arrays for a few changes a
// second, by the order of their jobs' names.
TEST_F(WriteBudgetTest, BindingsAreWrittenByPriority) {
  Scheduler::Options options = DefaultOptions();
  options.writes_per_s = 4;
  options.max_operations = 2;
  TestController& node = controllers_.emplace_back(store, "n0", options);
  AddWorker("m-1", "large");
  AddWorker("m-2", "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  for (int j = 1; j <= 4; ++j) Run(node, MakeJob("j-" + std::to_string(j)));
  JobSpec service = MakeJob("j-9");
  service.kind = JobKind::kService;
  service.priority = Priority::kProduction;
  service.estimate = {};
  Run(node, service);
  AdvanceTime(2);
  node.core.Tick(now, wall);
  const WriteBatch plan = node.core.NextWriteBatch(now);
  ASSERT_EQ(plan.puts.size(), 1U);
  EXPECT_EQ(plan.puts.front().records.front().job, JobId{"j-9"});
}

}  // namespace
}  // namespace magpie::testing
