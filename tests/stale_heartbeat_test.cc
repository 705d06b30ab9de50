// Copies of old heartbeats are the first that a new leader receives of a worker.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class StaleHeartbeatTest : public ClusterTest {
 protected:
  // n0 leads with one worker that can't run anything yet.
  void Begin() {
    before = &AddController("n0");
    w = &AddWorker("m-1", "large");
    ASSERT_TRUE(before->TakeOver(now));
    Heartbeat(*before, *w);
    Heartbeat(*before, *w);
  }
  void NextLeads() {
    store.ExpireLeases();
    after = &AddController("n1");
    ASSERT_TRUE(after->TakeOver(now));
  }
  TestController* before = nullptr;
  TestController* after = nullptr;
  FakeWorker* w = nullptr;
};

// A copy of a report of an earlier session is the first that a new leader hears. The
// worker's next one, of the later session, was taken as proof that no command of an
// earlier leader could start anything there any more; but that one had already sent a
// command for this session, which was on its way.
TEST_F(StaleHeartbeatTest, LaterEpochDoesNotFenceAnEarlierLeadersCommands) {
  Begin();
  const magpie::Heartbeat of_session_1 = w->Snapshot();
  w->ExpireLease();
  Heartbeat(*before, *w);
  Run(*before, MakeJob("j-1"));
  before->core.Tick(now, wall);
  while (before->WriteOnce(now)) {
  }
  const auto held = before->core.NextDirectCommand(now);
  ASSERT_TRUE(held && !held->commands.empty());
  NextLeads();
  AddWorker("m-2", "large");
  after->core.OnHeartbeat(of_session_1, now);
  w->SetPreemptionNotice({60});                 // so that the task would go elsewhere
  after->core.OnHeartbeat(w->Snapshot(), now);  // its answer is lost
  for (int i = 0; i < 4; ++i) {
    after->core.Tick(now, wall);
    while (after->WriteOnce(now)) {
    }
    Heartbeat(*after, workers_.back());
    AdvanceTime(0.3);
  }
  EXPECT_TRUE(w->Take(*held)) << "it has not heard of a later token";
  EXPECT_EQ(CountLiveTasks(), 1U) << "it was started elsewhere as well";
  Settle(*after);
  EXPECT_EQ(CountLiveTasks(), 1U);
}

// An attempt ended and was forgotten, its leader ended before that was durable, and the
// next one had it run again under the same number. A copy of the report that told of the
// end is the first that a third leader hears.
TEST_F(StaleHeartbeatTest, OutcomeReportedBeforeOurTermEndsNothing) {
  Begin();
  Run(*before, MakeJob("j-1"));
  Settle(*before);
  ASSERT_EQ(w->LiveTaskCount(), 1U);
  w->End({{"j-1"}, 0}, ExitReason::kStopped);
  magpie::Heartbeat of_the_end = w->Snapshot();
  of_the_end.preemption_notice = Seconds{60};  // so that the task would go elsewhere
  // It is unbound in the leader's memory, and told to be forgotten.
  w->Deliver(before->core.OnHeartbeat(w->Snapshot(), now));
  Heartbeat(*before, *w);
  ASSERT_EQ(w->ReportedTaskCount(), 0U);
  NextLeads();
  Settle(*after);
  ASSERT_EQ(w->LiveTaskCount(), 1U) << "the same attempt once more";
  store.ExpireLeases();
  TestController& third = AddController("n2");
  ASSERT_TRUE(third.TakeOver(now));
  AddWorker("m-2", "large");
  third.core.OnHeartbeat(of_the_end, now);
  for (int i = 0; i < 4; ++i) {
    third.core.Tick(now, wall);
    while (third.WriteOnce(now)) {
    }
    Heartbeat(third, workers_.back());
    AdvanceTime(3);
  }
  EXPECT_EQ(CountLiveTasks(), 1U);
  // What ends in our term ends, and runs elsewhere or here.
  Settle(third);
  w->End({{"j-1"}, 0}, ExitReason::kError);
  for (int i = 0; i < 4; ++i) {
    AdvanceTime(3);
    Settle(third);
  }
  EXPECT_EQ(CountLiveTasks(), 1U);
}

}  // namespace
}  // namespace magpie::testing
