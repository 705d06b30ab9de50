// Tests in which the first heartbeat that a new leader receives from a worker is a delayed copy of
// an old one.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class StaleHeartbeatTest : public ClusterTest {
 protected:
  // n0 becomes the leader; m-1 has no tasks yet.
  void Begin() {
    old_leader = &AddController("n0");
    worker = &AddWorker("m-1", "large");
    ASSERT_TRUE(old_leader->TakeOver(now));
    Heartbeat(*old_leader, *worker);
    Heartbeat(*old_leader, *worker);
  }
  void ElectNextLeader() {
    store.ExpireLeases();
    new_leader = &AddController("n1");
    ASSERT_TRUE(new_leader->TakeOver(now));
  }
  TestController* old_leader = nullptr;
  TestController* new_leader = nullptr;
  FakeWorker* worker = nullptr;
};

#ifdef MAGPIE_SAFETY_CHECK_SWITCHES  // direct commands start tasks: direct_start_main.cc

// The new leader first receives a copy of a heartbeat of an earlier agent epoch, then a heartbeat
// of the current one. In an earlier version, the new leader treated the new agent epoch as proof
// that no command of an earlier leader could start a task on the machine, but a command of the
// previous leader for the current agent epoch was still in flight.
TEST_F(StaleHeartbeatTest, LaterAgentEpochDoesNotFenceCommandsOfEarlierLeader) {
  Begin();
  const magpie::Heartbeat heartbeat_of_epoch_1 = worker->Snapshot();
  worker->ExpireLease();
  Heartbeat(*old_leader, *worker);
  Run(*old_leader, MakeJob("j-1"));
  old_leader->core.Tick(now, wall);
  while (old_leader->WriteOnce(now)) {
  }
  const auto delayed_command = old_leader->core.NextDirectCommand(now);
  ASSERT_TRUE(delayed_command && !delayed_command->commands.empty());
  ElectNextLeader();
  AddWorker("m-2", "large");
  new_leader->core.OnHeartbeat(heartbeat_of_epoch_1, now);
  worker->SetPreemptionNotice({60});  // a task proved absent would be bound to m-2
  new_leader->core.OnHeartbeat(worker->Snapshot(), now);  // the response is lost
  for (int i = 0; i < 4; ++i) {
    new_leader->core.Tick(now, wall);
    while (new_leader->WriteOnce(now)) {
    }
    Heartbeat(*new_leader, workers_.back());
    AdvanceTime(0.3);
  }
  EXPECT_TRUE(worker->Deliver(*delayed_command)) << "the worker has seen no later token";
  EXPECT_EQ(CountLiveTasks(), 1U) << "the task was also started on another machine";
  Settle(*new_leader);
  EXPECT_EQ(CountLiveTasks(), 1U);
}

#endif

// An attempt ends and the worker removes it on a forget command, but the leader fails before the
// end is durable. The next leader starts the same attempt again. A third leader first receives a
// copy of the heartbeat that lists the attempt as ended.
TEST_F(StaleHeartbeatTest, EndFromEarlierTermIsIgnored) {
  Begin();
  Run(*old_leader, MakeJob("j-1"));
  Settle(*old_leader);
  ASSERT_EQ(worker->LiveTaskCount(), 1U);
  worker->End({{"j-1"}, 0}, ExitReason::kStopped);
  magpie::Heartbeat heartbeat_with_end = worker->Snapshot();
  heartbeat_with_end.preemption_notice = Seconds{60};  // an ended task would be bound to m-2
  // The leader unbinds the task in memory and sends the worker a forget command.
  worker->Deliver(old_leader->core.OnHeartbeat(worker->Snapshot(), now));
  Heartbeat(*old_leader, *worker);
  ASSERT_EQ(worker->ReportedTaskCount(), 0U);
  ElectNextLeader();
  Settle(*new_leader);
  ASSERT_EQ(worker->LiveTaskCount(), 1U) << "the same attempt is started again";
  store.ExpireLeases();
  TestController& third = AddController("n2");
  ASSERT_TRUE(third.TakeOver(now));
  AddWorker("m-2", "large");
  third.core.OnHeartbeat(heartbeat_with_end, now);
  for (int i = 0; i < 4; ++i) {
    third.core.Tick(now, wall);
    while (third.WriteOnce(now)) {
    }
    Heartbeat(third, workers_.back());
    AdvanceTime(3);
  }
  EXPECT_EQ(CountLiveTasks(), 1U);
  // If an attempt ends in the leader's own term, the end is applied and the task is started again.
  Settle(third);
  worker->End({{"j-1"}, 0}, ExitReason::kError);
  for (int i = 0; i < 4; ++i) {
    AdvanceTime(3);
    Settle(third);
  }
  EXPECT_EQ(CountLiveTasks(), 1U);
}

}  // namespace
}  // namespace magpie::testing
