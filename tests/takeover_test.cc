// State that survives a change of leader, and actions that a deposed leader can no longer take.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class TakeoverTest : public ClusterTest {};

TEST_F(TakeoverTest, AcceptedJobSurvivesLossOfAllControllers) {
  {
    TestController& first_leader = AddController("n0");
    ASSERT_EQ(Submit(first_leader, MakeJob("j-1", 2)), 201);
  }
  controllers_.clear();
  store.ExpireLeases();
  TestController& new_leader = AddController("n1");
  AddWorker("m-1");
  ASSERT_TRUE(new_leader.TakeOver(now));
  Settle(new_leader);
  EXPECT_EQ(new_leader.State("j-1"), "running");
  workers_.front().EndAll(ExitReason::kDone);
  Settle(new_leader);
  EXPECT_EQ(new_leader.State("j-1"), "done");
  EXPECT_EQ(workers_.front().ReportedTaskCount(), 0U) << "the worker must discard recorded results";
}

TEST_F(TakeoverTest, RunningTasksAreReconciled) {
  TestController& first_leader = AddController("n0");
  AddWorker("m-1");
  ASSERT_TRUE(first_leader.TakeOver(now));
  Run(first_leader, MakeJob("j-1", 2));
  Settle(first_leader);
  ASSERT_EQ(CountLiveTasks(), 2U);
  store.ExpireLeases();
  TestController& new_leader = AddController("n1");
  ASSERT_TRUE(new_leader.TakeOver(now));
  Settle(new_leader);
  EXPECT_EQ(workers_.front().starts[TaskOf("j-1", 0)], 1);
  EXPECT_EQ(workers_.front().starts[TaskOf("j-1", 1)], 1);
  workers_.front().EndAll(ExitReason::kDone);
  Settle(new_leader);
  EXPECT_EQ(new_leader.State("j-1"), "done");
}

TEST_F(TakeoverTest, DeposedLeaderCannotWriteOrCommand) {
  TestController& old_leader = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(old_leader.TakeOver(now));
  Heartbeat(old_leader, worker);
  Run(old_leader, MakeJob("j-1"));
  old_leader.core.Tick(now, wall);
  const WriteBatch batch = old_leader.core.NextWriteBatch(now);
  ASSERT_EQ(batch.puts.size(), 1U);

  store.ExpireLeases();
  TestController& new_leader = AddController("n1");
  ASSERT_TRUE(new_leader.TakeOver(now));
  EXPECT_TRUE(old_leader.Finish(batch, now).deposed);

  Heartbeat(new_leader, worker);  // the worker receives the new token
  Heartbeat(new_leader, worker);
  EXPECT_FALSE(old_leader.core.OnHeartbeat(worker.Snapshot(), now).accepted)
      << "a deposed leader must not renew the lease of a worker with a later token";
}

// Guards against endless retries (found by a seed of the sweep): a deposed leader had one command
// pending and needed to send another, and the worker, which had received a later leader's token,
// refused each retry.
TEST_F(TakeoverTest, RefusingWorkerIsNotRetriedWithoutBackoff) {
  TestController& old_leader = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(old_leader.TakeOver(now));
  Heartbeat(old_leader, worker);
  Run(old_leader, MakeJob("j-1"));
  Run(old_leader, MakeJob("j-2"));
  Settle(old_leader);
  ASSERT_EQ(worker.LiveTaskCount(), 2U);
  old_leader.core.OnCancelled({"j-1"}, Revision{store.Get("j/j-1").entry->revision.value + 1});
  const auto pending = old_leader.core.NextDirectCommand(now);
  ASSERT_TRUE(pending && !pending->commands.empty());
  store.ExpireLeases();
  TestController& new_leader = AddController("n1");
  ASSERT_TRUE(new_leader.TakeOver(now));
  Heartbeat(new_leader, worker);  // the worker receives the new token
  old_leader.core.OnCancelled({"j-2"}, Revision{store.Get("j/j-2").entry->revision.value + 1});
  EXPECT_FALSE(old_leader.core.NextDirectCommand(now)) << "a second command while one is pending";
  EXPECT_FALSE(worker.Deliver(*pending));
  old_leader.core.OnDirectCommandResult(*pending, DeliveryStatus::kAnswered, worker.Snapshot(),
                                        now);
  int retries = 0;
  while (const auto retry = old_leader.core.NextDirectCommand(now)) {
    ASSERT_LE(++retries, 2);
    EXPECT_FALSE(worker.Deliver(*retry));
    old_leader.core.OnDirectCommandResult(*retry, DeliveryStatus::kAnswered, worker.Snapshot(),
                                          now);
  }
}

// A leader partitioned from the key-value store probed a worker that no longer sent it heartbeats,
// adopted the later token from the response, and started tasks concurrently with the new leader.
TEST_F(TakeoverTest, DeposedLeaderDoesNotAdoptLaterToken) {
  TestController& old_leader = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(old_leader.TakeOver(now));
  Heartbeat(old_leader, worker);
  store.ExpireLeases();
  TestController& new_leader = AddController("n1");
  ASSERT_TRUE(new_leader.TakeOver(now));
  Heartbeat(new_leader, worker);
  AdvanceTime(6);
  for (int i = 0; i < 2; ++i) {
    AdvanceTime(3);
    const auto probe = old_leader.core.NextProbe(now);
    ASSERT_TRUE(probe.has_value());
    EXPECT_LT(probe->token, worker.token());
    EXPECT_FALSE(worker.Deliver(*probe));
    old_leader.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, worker.Snapshot(),
                                          now);
  }
}

TEST_F(TakeoverTest, NewLeaderProbesWorkersOfFormerLeader) {
  TestController& old_leader = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(old_leader.TakeOver(now));
  Heartbeat(old_leader, worker);
  worker.ExpireLease();  // now the worker has an agent epoch that the new leader has not received
  store.ExpireLeases();
  TestController& new_leader = AddController("n1");
  ASSERT_TRUE(new_leader.TakeOver(now));
  listed = {{worker.id(), "x", "small", "a", false, ListedMachine::State::kRunning, {50}}};
  RunCloud(new_leader);
  for (int i = 0; i < 2; ++i) {
    const auto probe = new_leader.core.NextProbe(now);
    ASSERT_TRUE(probe.has_value());
    EXPECT_EQ(worker.Deliver(*probe), i == 1) << "the first response contains the agent epoch";
    new_leader.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, worker.Snapshot(),
                                          now);
  }
  EXPECT_FALSE(new_leader.core.NextProbe(now).has_value());
  EXPECT_FALSE(old_leader.core.OnHeartbeat(worker.Snapshot(), now).accepted);
}

#ifdef MAGPIE_SAFETY_CHECK_SWITCHES  // direct commands start tasks: direct_start_main.cc

TEST_F(TakeoverTest, DelayedStartByFormerLeaderIsRejected) {
  TestController& old_leader = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(old_leader.TakeOver(now));
  Heartbeat(old_leader, worker);
  Run(old_leader, MakeJob("j-1"));
  old_leader.core.Tick(now, wall);
  ASSERT_TRUE(old_leader.WriteOnce(now));
  const auto direct_command = old_leader.core.NextDirectCommand(now);
  ASSERT_TRUE(direct_command.has_value());  // delayed by the network

  store.ExpireLeases();
  TestController& new_leader = AddController("n1");
  ASSERT_TRUE(new_leader.TakeOver(now));
  Settle(new_leader);
  ASSERT_EQ(worker.starts[TaskOf("j-1")], 1);
  worker.EndAll(ExitReason::kDone);
  Settle(new_leader);
  EXPECT_EQ(worker.ReportedTaskCount(), 0U);
  EXPECT_FALSE(worker.Deliver(*direct_command));
  EXPECT_EQ(worker.LiveTaskCount(), 0U);
}

TEST_F(TakeoverTest, UnansweredStartKeepsTaskBoundUntilHigherTokenIsSeen) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Heartbeat(node, worker);
  Run(node, MakeJob("j-1"));
  node.core.Tick(now, wall);
  ASSERT_TRUE(node.WriteOnce(now));
  const auto direct_command = node.core.NextDirectCommand(now);
  ASSERT_TRUE(direct_command.has_value());
  node.core.OnDirectCommandResult(*direct_command, DeliveryStatus::kUnknown, std::nullopt, now);
  ASSERT_EQ(node.api.Cancel("j-1").status, 200);
  node.ReadJobs();

  // The next heartbeat does not list the task, but the command may still arrive.
  const HeartbeatResponse response = node.core.OnHeartbeat(worker.Snapshot(), now);
  EXPECT_GT(response.token, direct_command->token);
  EXPECT_EQ(node.core.GetStatus().bound, 1U);
  worker.Deliver(response);
  EXPECT_FALSE(worker.Deliver(*direct_command)) << "the raised token fences off the command";
  Heartbeat(node, worker);
  EXPECT_EQ(node.core.GetStatus().bound, 0U);
}

TEST_F(TakeoverTest, HeartbeatCrossingPendingCommandKeepsTaskBound) {
  TestController& node = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Heartbeat(node, worker);
  Run(node, MakeJob("j-1"));
  node.core.Tick(now, wall);
  ASSERT_TRUE(node.WriteOnce(now));
  const auto direct_command = node.core.NextDirectCommand(now);
  ASSERT_TRUE(direct_command.has_value());
  ASSERT_EQ(node.api.Cancel("j-1").status, 200);
  node.ReadJobs();
  const magpie::Heartbeat before = worker.Snapshot();
  ASSERT_TRUE(worker.Deliver(*direct_command));  // executed while the heartbeat is in flight
  worker.Deliver(node.core.OnHeartbeat(before, now));
  EXPECT_EQ(node.core.GetStatus().bound, 1U);
  node.core.OnDirectCommandResult(*direct_command, DeliveryStatus::kAnswered, worker.Snapshot(),
                                  now);
  Settle(node);
  EXPECT_EQ(worker.LiveTaskCount(), 0U);
  EXPECT_EQ(node.State("j-1"), "withdrawn");
}

#endif

class LostWriteAnswerTest : public ClusterTest {};

TEST_F(LostWriteAnswerTest, UnansweredWriteIsAppliedOnce) {
  TestController& node = AddController("n0");
  AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 2));
  store.next_commit = FakeStore::Fault::kLoseResponse;
  Settle(node);
  EXPECT_EQ(CountLiveTasks(), 2U);
  workers_.front().EndAll(ExitReason::kDone);
  store.next_commit = FakeStore::Fault::kLoseResponse;
  Settle(node);
  EXPECT_EQ(node.State("j-1"), "done");
}

TEST_F(LostWriteAnswerTest, LateTransactionChangesNothing) {
  TestController& node = AddController("n0");
  AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1"));
  store.next_commit = FakeStore::Fault::kCommitLate;
  Settle(node);  // the retry commits at once
  EXPECT_EQ(CountLiveTasks(), 1U);
  EXPECT_FALSE(store.DeliverDelayed());
}

TEST_F(LostWriteAnswerTest, LateSubmissionCreatesOneJob) {
  TestController& node = AddController("n0");
  store.next_commit = FakeStore::Fault::kCommitLate;
  EXPECT_EQ(Submit(node, MakeJob("j-1")), 201);
  EXPECT_FALSE(store.DeliverDelayed());
  EXPECT_EQ(Submit(node, MakeJob("j-1")), 200);
}

TEST_F(TakeoverTest, TeamLimitHoldsAcrossTakeover) {
  TestController& first_leader = AddController("n0");
  AddWorker("m-1", "large");
  ASSERT_TRUE(first_leader.TakeOver(now));
  Settle(first_leader);
  JobSpec job = MakeJob("j-1", 5);
  job.team = "blue";  // at most 6 CPUs, so 3 tasks
  Run(first_leader, job);
  Settle(first_leader);
  EXPECT_EQ(CountLiveTasks(), 3U);
  store.ExpireLeases();
  TestController& new_leader = AddController("n1");
  AddWorker("m-2", "large");
  ASSERT_TRUE(new_leader.TakeOver(now));
  Heartbeat(new_leader, workers_.back());  // m-1, which runs the tasks, has sent no heartbeat yet
  new_leader.core.Tick(now, wall);
  while (new_leader.WriteOnce(now)) {
  }
  Heartbeat(new_leader, workers_.back());
  EXPECT_EQ(CountLiveTasks(), 3U);
}

}  // namespace
}  // namespace magpie::testing
