// Detection of lost and relayed machines, and the handling of their tasks.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class FailureDetectionTest : public ClusterTest {};

TEST_F(FailureDetectionTest, AllTasksAreLostOnNewAgentEpoch) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1"));
  Settle(node);
  ASSERT_EQ(worker.LiveTaskCount(), 1U);
  worker.ExpireLease();
  Settle(node);
  EXPECT_EQ(worker.LiveTaskCount(), 1U);
  EXPECT_EQ(worker.starts[TaskOf("j-1")], 2);
  worker.EndAll(ExitReason::kDone);
  Settle(node);
  EXPECT_EQ(node.State("j-1"), "done");
}

TEST_F(FailureDetectionTest, CancelledTaskOnUnreachableMachineIsFencedInTime) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  FakeWorker& other = AddWorker("m-2");
  FakeWorker& third = AddWorker("m-3");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1"));
  Settle(node);
  ASSERT_EQ(CountLiveTasks(), 1U);
  FakeWorker& holder = worker.LiveTaskCount() != 0  ? worker
                       : other.LiveTaskCount() != 0 ? other
                                                    : third;
  unresponsive_workers_.insert(holder.id());
  ASSERT_EQ(node.api.Cancel("j-1").status, 200);
  node.ReadJobs();
  bool released = false;
  for (int i = 0; i < 14 && !released; ++i) {
    AdvanceTime(3);
    Settle(node, 1);
    for (const CloudCall& call : RunCloud(node))
      for (const MachineId& id : call.release) released |= id == holder.id();
  }
  EXPECT_TRUE(released);
}

TEST_F(FailureDetectionTest, TasksMoveOnlyAfterUnreachableMachineIsReleased) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1"));
  Settle(node);
  ASSERT_EQ(worker.LiveTaskCount(), 1U);
  AddWorker("m-2");
  AddWorker("m-3");
  unresponsive_workers_.insert(worker.id());
  AdvanceTime(6);
  Settle(node);
  RunCloud(node);  // the list is empty, but a missing machine proves nothing
  AdvanceTime(7);
  Settle(node, 1);
  AdvanceTime(2);  // the zone is no longer suspected, since the other machines send heartbeats
  Settle(node, 1);
  EXPECT_EQ(CountLiveTasks(), 1U);
  bool released = false;
  for (const CloudCall& call : RunCloud(node))
    for (const MachineId& id : call.release) released |= id == worker.id();
  ASSERT_TRUE(released);
  Settle(node);
  EXPECT_EQ(CountLiveTasks(), 2U) << "one of them on the released machine";
}

TEST_F(FailureDetectionTest, PartitionedLeaderReleasesNoMachines) {
  TestController& node = AddController("n0");
  for (int i = 0; i < 4; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 4));
  Settle(node);
  for (FakeWorker& worker : workers_) unresponsive_workers_.insert(worker.id());
  AdvanceTime(20);
  Settle(node);
  for (const CloudCall& call : RunCloud(node)) EXPECT_TRUE(call.release.empty());
}

// Guards against workers that stay with a relaying controller after a partition of two zones and
// remain unreachable by direct commands of the leader.
TEST_F(FailureDetectionTest, RelayedWorkerIsRedirectedOnceReachable) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Heartbeat(node, worker);
  ASSERT_FALSE(node.core.OnHeartbeat(worker.Snapshot(), now, true).redirect_to_leader);
  auto probe = node.core.NextProbe(now);
  ASSERT_TRUE(probe.has_value());
  node.core.OnDirectCommandResult(*probe, DeliveryStatus::kNotSent, std::nullopt, now);
  EXPECT_FALSE(node.core.OnHeartbeat(worker.Snapshot(), now, true).redirect_to_leader);
  AdvanceTime(3);
  probe = node.core.NextProbe(now);
  ASSERT_TRUE(probe.has_value());
  worker.Take(*probe);
  node.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, worker.Snapshot(), now);
  EXPECT_TRUE(node.core.OnHeartbeat(worker.Snapshot(), now, true).redirect_to_leader);
  EXPECT_FALSE(node.core.OnHeartbeat(worker.Snapshot(), now).redirect_to_leader);
}

TEST_F(FailureDetectionTest, TasksMoveWhenMachineIsListedAsFailed) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1"));
  Settle(node);
  unresponsive_workers_.insert(worker.id());
  AddWorker("m-2");
  listed = {{worker.id(), "x", "small", "a", false, ListedMachine::State::kFailed, {50}}};
  AdvanceTime(4);
  RunCloud(node);
  Settle(node);
  EXPECT_EQ(workers_.back().LiveTaskCount(), 1U);
}

}  // namespace
}  // namespace magpie::testing
