// Takeover after all controllers were down: when machines are reconciled, and which commands are
// sent meanwhile.
#include "failover/failover_timeline.h"

#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class LeaderStartTest : public ClusterTest {
 protected:
  // Fills four machines with tasks, then ends the lease of the only controller.
  void FillMachinesAndEndLease() {
    TestController& old_leader = AddController("n0");
    for (int i = 0; i < 4; ++i) AddWorker("m-" + std::to_string(i), "small");
    ASSERT_TRUE(old_leader.TakeOver(now));
    Settle(old_leader);
    Run(old_leader, MakeJob("j-1", 8));
    Settle(old_leader);
    ASSERT_EQ(CountLiveTasks(), 8U);
    store.ExpireLeases();
  }
};

TEST_F(LeaderStartTest, MachinesAreReconciledByHeartbeatOrRelease) {
  FillMachinesAndEndLease();
  TestController& node = AddController("n1");
  ASSERT_TRUE(node.TakeOver(now));
  EXPECT_EQ(node.core.GetReconciliationProgress().machines, 4U);
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 0U);
  auto worker = workers_.begin();
  Heartbeat(node, *worker++);
  Heartbeat(node, *worker);
  Heartbeat(node, *worker++);  // a repeated heartbeat counts once
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 2U);
  CloudCall release_call;
  release_call.kind = CloudCall::Kind::kRelease;
  release_call.release = {worker->id()};
  node.core.OnReleased(release_call, now);
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 3U);
  Heartbeat(node, *++worker);
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 4U);
}

TEST_F(LeaderStartTest, SendsNoCommandsWhenWorkersMatchRecords) {
  FillMachinesAndEndLease();
  TestController& node = AddController("n1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 4U);
  EXPECT_EQ(node.core.GetReconciliationProgress().commands_issued, 0U);
  EXPECT_TRUE(node.core.GetReconciliationProgress().idle);
  EXPECT_EQ(CountLiveTasks(), 8U);
}

// One task ended while there was no leader. Its worker gets a command to discard the task once the
// result is durable, and no other command is sent.
TEST_F(LeaderStartTest, SendsCommandsOnlyForDifferences) {
  FillMachinesAndEndLease();
  const TaskId ended = workers_.front().Snapshot().tasks.front().task;
  workers_.front().End(ended, ExitReason::kDone);
  TestController& node = AddController("n1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  AdvanceTime(1);  // writes are rate limited from the start
  Settle(node);
  EXPECT_EQ(node.core.GetReconciliationProgress().commands_issued, 1U);
  EXPECT_EQ(workers_.front().ReportedTaskCount(), 1U);
  EXPECT_EQ(CountLiveTasks(), 7U);
}

// Machines failed just before the leader did. The next leader loaded them from the records and
// waited 2.5 heartbeat intervals for them, although they answered no probe.
TEST_F(LeaderStartTest, ProbesDetectMachinesLostBeforeTakeover) {
  FillMachinesAndEndLease();
  TestController& node = AddController("n1");
  ASSERT_TRUE(node.TakeOver(now));
  const MachineId dead = workers_.front().id();
  unresponsive_workers_.insert(dead);
  listed = {{dead, "127.0.0.1:1", "small", "a", false, ListedMachine::State::kRunning, {50}}};
  RunCloud(node);  // provides the machine's address
  for (int i = 0; i < 12; ++i) {
    Settle(node, 1);
    while (auto probe = node.core.NextProbe(now)) {
      const bool answers = probe->machine != dead;
      for (FakeWorker& w : workers_)
        if (answers && w.id() == probe->machine)
          node.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, w.Snapshot(), now);
      if (!answers)
        node.core.OnDirectCommandResult(*probe, DeliveryStatus::kUnknown, std::nullopt, now);
    }
    if (i == 2) {
      EXPECT_TRUE(ReleasedMachines(RunCloud(node)).empty()) << "released after one missed probe";
    }
    AdvanceTime(0.5);
  }
  EXPECT_EQ(ReleasedMachines(RunCloud(node)), std::set<MachineId>{dead});
}

TEST_F(LeaderStartTest, SecondCrashRestartsReconciliation) {
  FillMachinesAndEndLease();
  TestController& second = AddController("n1");
  ASSERT_TRUE(second.TakeOver(now));
  Heartbeat(second, workers_.front());
  store.ExpireLeases();
  TestController& third = AddController("n2");
  ASSERT_TRUE(third.TakeOver(now));
  EXPECT_EQ(third.core.GetReconciliationProgress().machines, 4U);
  EXPECT_EQ(third.core.GetReconciliationProgress().reconciled, 0U);
  Settle(third);
  EXPECT_EQ(third.core.GetReconciliationProgress().reconciled, 4U);
  EXPECT_EQ(third.core.GetReconciliationProgress().commands_issued, 0U);
  EXPECT_EQ(CountLiveTasks(), 8U);
}

TEST(FailoverTimelineTest, RecordsEachStepOnce) {
  using Step = FailoverTimeline::Step;
  FailoverTimeline timeline({10});
  EXPECT_FALSE(timeline.ElapsedUntil(Step::kStoreReached));
  timeline.Record(Step::kStoreReached, {12});
  timeline.Record(Step::kStoreReached, {13});
  EXPECT_EQ(timeline.ElapsedUntil(Step::kStoreReached)->value, 2);
  timeline.OnReconciled(49, 100, {14});
  EXPECT_FALSE(timeline.ElapsedUntil(Step::kHalfReconciled));
  timeline.OnReconciled(50, 100, {15});
  timeline.OnReconciled(98, 100, {16});
  EXPECT_EQ(timeline.ElapsedUntil(Step::kHalfReconciled)->value, 5);
  EXPECT_FALSE(timeline.ElapsedUntil(Step::kMostReconciled));
  timeline.OnReconciled(99, 100, {17});
  EXPECT_EQ(timeline.ElapsedUntil(Step::kMostReconciled)->value, 7);
}

TEST(FailoverTimelineTest, RestartClearsStepsFromElection) {
  using Step = FailoverTimeline::Step;
  FailoverTimeline timeline({0});
  for (const Step step :
       {Step::kStoreReached, Step::kElected, Step::kRecordsLoaded, Step::kSettled})
    timeline.Record(step, {1});
  timeline.Restart();
  EXPECT_TRUE(timeline.ElapsedUntil(Step::kStoreReached));
  EXPECT_FALSE(timeline.ElapsedUntil(Step::kElected));
  EXPECT_FALSE(timeline.settled());
  timeline.Record(Step::kElected, {8});
  EXPECT_EQ(timeline.ElapsedUntil(Step::kElected)->value, 8);
}

TEST(FailoverTimelineTest, ReconciledWithoutMachines) {
  FailoverTimeline timeline({0});
  timeline.OnReconciled(0, 0, {1});
  EXPECT_TRUE(timeline.ElapsedUntil(FailoverTimeline::Step::kMostReconciled));
}

}  // namespace
}  // namespace magpie::testing
