// Stories of a start after all controllers went down: what is squared when, and
// what is ordered meanwhile.
#include "failover/failover_timeline.h"

#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class LeaderStartTest : public ClusterTest {
 protected:
  // Four full machines; then the only controller is lost.
  void RunEverywhere() {
    TestController& old = AddController("n0");
    for (int i = 0; i < 4; ++i) AddWorker("m-" + std::to_string(i), "small");
    ASSERT_TRUE(old.TakeOver(now));
    Settle(old);
    Run(old, MakeJob("j-1", 8));
    Settle(old);
    ASSERT_EQ(CountLiveTasks(), 8U);
    store.ExpireLeases();
  }
};

TEST_F(LeaderStartTest, MachinesAreReconciledByHeartbeatOrRelease) {
  RunEverywhere();
  TestController& node = AddController("n1");
  ASSERT_TRUE(node.TakeOver(now));
  EXPECT_EQ(node.core.GetReconciliationProgress().machines, 4U);
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 0U);
  auto worker = workers_.begin();
  Heartbeat(node, *worker++);
  Heartbeat(node, *worker);
  Heartbeat(node, *worker++);  // once more: it counts once
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 2U);
  CloudCall gone;
  gone.kind = CloudCall::Kind::kRelease;
  gone.release = {worker->id()};
  node.core.OnReleased(gone, now);
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 3U);
  Heartbeat(node, *++worker);
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 4U);
}

// What the workers do already is not ordered at all.
TEST_F(LeaderStartTest, NothingIsCommandedWhereAllIsAsRecorded) {
  RunEverywhere();
  TestController& node = AddController("n1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  EXPECT_EQ(node.core.GetReconciliationProgress().reconciled, 4U);
  EXPECT_EQ(node.core.GetReconciliationProgress().commands_issued, 0U);
  EXPECT_TRUE(node.core.GetReconciliationProgress().idle);
  EXPECT_EQ(CountLiveTasks(), 8U);
}

// One task ended while nobody led: it is told to be forgotten once its end is
// durable, and nothing else is ordered.
TEST_F(LeaderStartTest, OnlyDifferencesAreCommanded) {
  RunEverywhere();
  const TaskId ended = workers_.front().Snapshot().tasks.front().task;
  workers_.front().End(ended, ExitReason::kDone);
  TestController& node = AddController("n1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  AdvanceTime(1);  // changes are paced from the start on
  Settle(node);
  EXPECT_EQ(node.core.GetReconciliationProgress().commands_issued, 1U);
  EXPECT_EQ(workers_.front().ReportedTaskCount(), 1U);
  EXPECT_EQ(CountLiveTasks(), 7U);
}

// Machines died just before their leader did. The next one knew them from the records
// alone and waited for 2.5 report intervals, although they answered no probe.
TEST_F(LeaderStartTest, MachinesLostBeforeATakeoverAreFoundByProbes) {
  RunEverywhere();
  TestController& node = AddController("n1");
  ASSERT_TRUE(node.TakeOver(now));
  const MachineId dead = workers_.front().id();
  unresponsive_workers_.insert(dead);
  listed = {{dead, "127.0.0.1:1", "small", "a", false, ListedMachine::State::kRunning, {50}}};
  RunCloud(node);  // its address comes from the cloud
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
      EXPECT_TRUE(ReleasedMachines(RunCloud(node)).empty()) << "one missed probe proves nothing";
    }
    AdvanceTime(0.5);
  }
  EXPECT_EQ(ReleasedMachines(RunCloud(node)), std::set<MachineId>{dead});
}

TEST_F(LeaderStartTest, SecondCrashDuringReconciliationStartsOver) {
  RunEverywhere();
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

TEST(FailoverTimelineTest, EachStepIsRecordedOnce) {
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

TEST(FailoverTimelineTest, AnotherLeadershipStartsANewTimeline) {
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

TEST(FailoverTimelineTest, WithoutMachinesAllAreReconciled) {
  FailoverTimeline timeline({0});
  timeline.OnReconciled(0, 0, {1});
  EXPECT_TRUE(timeline.ElapsedUntil(FailoverTimeline::Step::kMostReconciled));
}

}  // namespace
}  // namespace magpie::testing
