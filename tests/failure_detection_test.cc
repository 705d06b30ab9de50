// Detection of lost and relayed machines, and the handling of their tasks.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class FailureDetectionTest : public ClusterTest {};

TEST_F(FailureDetectionTest, AllTasksAreLostOnNewAgentEpoch) {
  TestController& controller = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1"));
  Settle(controller);
  ASSERT_EQ(worker.LiveTaskCount(), 1U);
  worker.ExpireLease();
  Settle(controller);
  EXPECT_EQ(worker.LiveTaskCount(), 1U);
  EXPECT_EQ(worker.starts[TaskOf("j-1")], 2);
  worker.EndAll(ExitReason::kDone);
  Settle(controller);
  EXPECT_EQ(controller.State("j-1"), "done");
}

TEST_F(FailureDetectionTest, CancelledTaskOnUnreachableMachineIsFencedInTime) {
  TestController& controller = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  FakeWorker& other = AddWorker("m-2");
  FakeWorker& third = AddWorker("m-3");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1"));
  Settle(controller);
  ASSERT_EQ(CountLiveTasks(), 1U);
  FakeWorker& holder = worker.LiveTaskCount() != 0  ? worker
                       : other.LiveTaskCount() != 0 ? other
                                                    : third;
  unresponsive_workers_.insert(holder.id());
  ASSERT_EQ(controller.api.Cancel("j-1").status, 200);
  controller.ReadJobs();
  bool released = false;
  for (int i = 0; i < 14 && !released; ++i) {
    AdvanceTime(3);
    Settle(controller, 1);
    for (const CloudCall& call : RunCloud(controller))
      for (const MachineId& id : call.release) released |= id == holder.id();
  }
  EXPECT_TRUE(released);
}

TEST_F(FailureDetectionTest, TasksMoveOnlyAfterUnreachableMachineIsReleased) {
  TestController& controller = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1"));
  Settle(controller);
  ASSERT_EQ(worker.LiveTaskCount(), 1U);
  AddWorker("m-2");
  AddWorker("m-3");
  unresponsive_workers_.insert(worker.id());
  AdvanceTime(6);
  Settle(controller);
  RunCloud(controller);  // the list is empty, but a missing machine is not treated as failed
  AdvanceTime(7);
  Settle(controller, 1);
  AdvanceTime(2);  // the zone is no longer suspected, since the other machines send heartbeats
  Settle(controller, 1);
  EXPECT_EQ(CountLiveTasks(), 1U);
  bool released = false;
  for (const CloudCall& call : RunCloud(controller))
    for (const MachineId& id : call.release) released |= id == worker.id();
  ASSERT_TRUE(released);
  Settle(controller);
  EXPECT_EQ(CountLiveTasks(), 2U) << "one of them on the released machine";
}

TEST_F(FailureDetectionTest, PartitionedLeaderReleasesNoMachines) {
  TestController& controller = AddController("n0");
  for (int i = 0; i < 4; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 4));
  Settle(controller);
  for (FakeWorker& worker : workers_) unresponsive_workers_.insert(worker.id());
  AdvanceTime(20);
  Settle(controller);
  for (const CloudCall& call : RunCloud(controller)) EXPECT_TRUE(call.release.empty());
}

// Guards against workers that stay with a relaying controller after a partition between two zones
// has ended, and remain unreachable by direct commands of the leader.
TEST_F(FailureDetectionTest, RelayedWorkerIsRedirectedOnceReachable) {
  TestController& controller = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(controller.TakeOver(now));
  Heartbeat(controller, worker);
  ASSERT_FALSE(controller.core.OnHeartbeat(worker.Snapshot(), now, HeartbeatRoute::kRelayed)
                   .redirect_to_leader);
  auto probe = controller.core.NextProbe(now);
  ASSERT_TRUE(probe.has_value());
  controller.core.OnDirectCommandResult(*probe, DeliveryStatus::kNotSent, std::nullopt, now);
  EXPECT_FALSE(controller.core.OnHeartbeat(worker.Snapshot(), now, HeartbeatRoute::kRelayed)
                   .redirect_to_leader);
  AdvanceTime(3);
  probe = controller.core.NextProbe(now);
  ASSERT_TRUE(probe.has_value());
  worker.Deliver(*probe);
  controller.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, worker.Snapshot(), now);
  EXPECT_TRUE(controller.core.OnHeartbeat(worker.Snapshot(), now, HeartbeatRoute::kRelayed)
                  .redirect_to_leader);
  EXPECT_FALSE(controller.core.OnHeartbeat(worker.Snapshot(), now).redirect_to_leader);
}

TEST_F(FailureDetectionTest, TasksMoveWhenMachineIsListedAsFailed) {
  TestController& controller = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1"));
  Settle(controller);
  unresponsive_workers_.insert(worker.id());
  AddWorker("m-2");
  listed = {{worker.id(), "x", "small", "a", false, ListedMachine::State::kFailed, {50}}};
  AdvanceTime(4);
  RunCloud(controller);
  Settle(controller);
  EXPECT_EQ(workers_.back().LiveTaskCount(), 1U);
}

}  // namespace
}  // namespace magpie::testing
