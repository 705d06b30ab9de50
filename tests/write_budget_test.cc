// Which work is planned and written first when writes to the key-value store are scarce.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class WriteBudgetTest : public ClusterTest {};

// Guards against a late job that takes the capacity and makes the next job late as well (found in
// overload scenarios).
TEST_F(WriteBudgetTest, AttainableTargetPrecedesLateWork) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  JobSpec late_job = MakeJob("j-1", 2);
  late_job.deadline = Seconds{40};  // certainly passes before capacity becomes free
  JobSpec timely_job = MakeJob("j-2", 2);
  timely_job.deadline = Seconds{200};
  Run(node, MakeJob("j-3", 2));
  Settle(node);
  Run(node, late_job);
  Run(node, timely_job);
  AdvanceTime(60);
  Heartbeat(node, worker);
  worker.EndAll(ExitReason::kDone);
  Settle(node, 2);
  ASSERT_EQ(worker.LiveTaskCount(), 2U);
  EXPECT_EQ(worker.starts[TaskOf("j-2")], 1);
  EXPECT_EQ(worker.starts[TaskOf("j-1")], 0);
}

TEST_F(WriteBudgetTest, CapacityIsFreeBeforeOutcomeIsDurable) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 2));
  Settle(node);
  Run(node, MakeJob("j-2", 2));
  worker.EndAll(ExitReason::kDone);
  Heartbeat(node, worker);
  node.core.Tick(now, wall);
  EXPECT_EQ(node.core.GetStatus().bound, 4U) << "two ended tasks and two new ones";
  Settle(node);
  EXPECT_EQ(worker.LiveTaskCount(), 2U);
  EXPECT_EQ(node.State("j-1"), "done");
}

TEST_F(WriteBudgetTest, ScarceWritesGoToBindingsFirst) {
  Scheduler::Options options = DefaultOptions();
  options.writes_per_s = 4;
  options.max_operations = 4;
  TestController& node = controllers_.emplace_back(store, "n0", options);
  FakeWorker& worker = AddWorker("m-1", "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  for (int j = 1; j <= 3; ++j) Run(node, MakeJob("j-" + std::to_string(j), 2));
  AdvanceTime(5);
  Settle(node);
  ASSERT_EQ(worker.LiveTaskCount(), 6U);
  AdvanceTime(0.1);
  for (int j = 1; j <= 3; ++j) worker.End(TaskOf("j-" + std::to_string(j)), ExitReason::kDone);
  Heartbeat(node, worker);
  Run(node, MakeJob("j-4", 1));
  AdvanceTime(0.7);
  node.core.Tick(now, wall);
  const WriteBatch batch = node.core.NextWriteBatch(now);
  ASSERT_FALSE(batch.puts.empty());
  EXPECT_EQ(batch.puts.front().records[batch.puts.front().rewritten].job, JobId{"j-4"});
}

// Guards against many one-task jobs of low priority that use one write each, so that submissions
// are refused by the rate limit.
TEST_F(WriteBudgetTest, LowPriorityBindingsShareScarceWrites) {
  Scheduler::Options options = DefaultOptions();
  options.writes_per_s = 20;
  TestController& node = controllers_.emplace_back(store, "n0", options);
  for (int i = 0; i < 4; ++i) AddWorker("m-" + std::to_string(i), "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  const int commits_before = store.commits;
  for (int i = 0; i < 20; ++i) {
    JobSpec low_priority_job = MakeJob("j-" + std::to_string(100 + i));
    low_priority_job.priority = Priority::kLow;
    Run(node, low_priority_job);
    node.core.Tick(now, wall);
    while (node.WriteOnce(now)) {
    }
    AdvanceTime(0.05);
  }
  AdvanceTime(1);
  Settle(node);
  EXPECT_EQ(CountLiveTasks(), 20U);
  EXPECT_LT(store.commits - commits_before - 20, 12)
      << "too many writes besides the 20 submissions";
}

// After the loss of many machines, bindings were written in the order of the jobs' names, so that
// service replicas waited behind arrays for a few writes per second.
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
  const WriteBatch batch = node.core.NextWriteBatch(now);
  ASSERT_EQ(batch.puts.size(), 1U);
  EXPECT_EQ(batch.puts.front().records.front().job, JobId{"j-9"});
}

}  // namespace
}  // namespace magpie::testing
