// Transactions that commit after their caller gave up, or whose response is lost: what a leader may
// conclude from what it then reads.
#include <gtest/gtest.h>

#include "simulated_cluster.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

class LateWriteTest : public ClusterTest {
 protected:
  // n0 leads, and is about to write that j-2, which ran on m-1, is over, and that j-3 is
  // bound to m-2.
  std::pair<TestController*, WriteBatch> AnEndAndABinding() {
    m1 = &AddWorker("m-1", "large");
    TestController& before = AddController("n0");
    EXPECT_TRUE(before.TakeOver(now));
    Heartbeat(before, *m1);
    Run(before, MakeJob("j-2"));
    Settle(before);
    m1->End({{"j-2"}, 0}, ExitReason::kDone);
    Heartbeat(before, *m1);
    m2 = &AddWorker("m-2", "small");
    Heartbeat(before, *m2);
    Run(before, MakeJob("j-3"));
    before.core.Tick(now, wall);
    WriteBatch plan = before.core.NextWriteBatch(now);
    EXPECT_EQ(plan.finals.size(), 1U);
    EXPECT_EQ(plan.puts.size(), 1U);
    return {&before, std::move(plan)};
  }

  // n1 takes the lead, hears of the result and writes the end. m-2 is not heard of.
  TestController& NextWritesTheEnd() {
    store.ExpireLeases();
    TestController& after = AddController("n1");
    EXPECT_TRUE(after.TakeOver(now));
    Heartbeat(after, *m1);
    Heartbeat(after, *m1);
    while (after.WriteOnce(now)) {
    }
    EXPECT_EQ(after.State("j-2"), "done");
    return after;
  }

  FakeWorker* m1 = nullptr;
  FakeWorker* m2 = nullptr;
};

// A page that nobody needs is dropped, and the answer is lost. The leader took its repeat's
// conflict for a refusal, kept the page in its books with a stamp that no key has, and
// chose it for the next bindings, which were refused for ever.
TEST_F(LateWriteTest, DeletionWithoutAResponseIsKnownToHaveCommitted) {
  for (const auto fault : {FakeStore::Fault::kLoseResponse, FakeStore::Fault::kCommitLate,
                           FakeStore::Fault::kRefuse}) {
    store = FakeStore{};
    controllers_.clear();
    workers_.clear();
    now = {100};
    Transaction old;
    for (int i = 1; i <= 8; ++i)  // records of a job that is over
      old.changes.push_back({"p/" + std::to_string(i),
                             Json{{"jobs", {{"j-9", Json::array({Json::array({0, 1, 1})})}}}},
                             std::nullopt});
    ASSERT_EQ(store.Commit(old).status, StoreStatus::kOk);
    AddWorker("m-1", "large");
    TestController& node = AddController("n0");
    ASSERT_TRUE(node.TakeOver(now));
    int writes = 0;
    for (int i = 0; i < 40; ++i) {
      AdvanceTime(1);
      store.next_commit = i % 2 == 0 ? fault : FakeStore::Fault::kNone;
      while (writes < 200 && node.WriteOnce(now)) ++writes;
      store.next_commit = FakeStore::Fault::kNone;
      while (store.has_delayed_transactions()) store.DeliverDelayed();
    }
    EXPECT_LE(writes, 8) << "each page is dropped once";
    EXPECT_LE(store.Range("p/", "", 100).entries.size(), 4U);
    ASSERT_EQ(Submit(node, MakeJob("j-1", 3)), 201);
    node.ReadJobs();
    for (int i = 0; i < 4; ++i) {
      AdvanceTime(1);
      Settle(node, 1);
    }
    EXPECT_EQ(CountLiveTasks(), 3U);
  }
}

// A leader's transaction ends one job and binds a task of another; it never arrives, and its
// sender is cut off. The next leader ends the same job with the same record. Back in touch,
// the old leader took that for its own writing and started the task, which the next leader
// had bound elsewhere: found on days/limit-cut-thrissur.toml.
TEST_F(LateWriteTest, OutcomeWrittenByTheNextLeaderIsNotOurs) {
  const auto [before, plan] = AnEndAndABinding();
  TestController& after = NextWritesTheEnd();
  // The first try was sent and had no answer, nor did it arrive.
  store.next_commit = FakeStore::Fault::kCommitLate;
  const WriteOutcome outcome = before->Finish(plan, now);
  EXPECT_EQ(outcome.status, WriteOutcome::Status::kUnknown) << "it may have landed while n0 led";
  EXPECT_TRUE(outcome.deposed);
  EXPECT_FALSE(before->core.leading());
  EXPECT_FALSE(before->core.NextDirectCommand(now)) << "nothing is durable that it could start";
  FakeWorker& m3 = AddWorker("m-3", "small");
  for (int i = 0; i < 3; ++i) {
    Heartbeat(after, m3);
    after.core.Tick(now, wall);
    while (after.WriteOnce(now)) {
    }
    m2->Deliver(before->core.OnHeartbeat(m2->Snapshot(), now));
    EXPECT_LE(CountLiveTasks(), 1U);
  }
}

// An old event brought back a job that an earlier write had made final. Its end, made once more
// along with a binding, was refused, and that answer was lost: the end that stood there passed for
// a proof that the binding had landed. Found by a seed of the sweep, which called the books stale.
TEST_F(LateWriteTest, OutcomeThatExistedBeforeProvesNothingOfTheBatch) {
  const auto [before, plan] = AnEndAndABinding();
  const Json end = records::ToJson(records::FinalRecord{JobOutcome::kDone, 1});
  ASSERT_EQ(store.Commit({{}, {{"f/j-2", end, std::nullopt}}}).status, StoreStatus::kOk);
  store.next_commit = FakeStore::Fault::kLoseResponse;
  EXPECT_EQ(before->Finish(plan, now).status, WriteOutcome::Status::kRejected);
  EXPECT_FALSE(before->core.NextDirectCommand(now)) << "no binding is durable that it could start";
}

// The same where the lead is lost between the conflict and the look at what stands there.
TEST_F(LateWriteTest, StoredRecordIsOursOnlyWhileWeLead) {
  const auto [before, plan] = AnEndAndABinding();
  // A user cancels j-3 meanwhile, so the repeat finds a conflict though nobody else leads yet.
  ASSERT_EQ(before->api.Cancel("j-3").status, 200);
  store.next_commit = FakeStore::Fault::kCommitLate;
  store.before_get = [&] { NextWritesTheEnd(); };
  EXPECT_EQ(before->Finish(plan, now).status, WriteOutcome::Status::kUnknown);
  EXPECT_FALSE(before->core.leading());
  EXPECT_FALSE(before->core.NextDirectCommand(now));
}

// The write landed, its answer was lost, and its repeat met a conflict that named the page alone.
// Before that could be read back the leader was cut off for so long that another took over and
// wrote the page. Judged by the conflict of before, the write passed for one that had never landed:
// the former leader took its bindings and ends back and went on commanding workers by its books.
TEST_F(LateWriteTest, SuccessorsPageDoesNotProveThatOurWriteFailed) {
  const auto [before, plan] = AnEndAndABinding();
  store.next_commit = FakeStore::Fault::kLoseResponse;
  store.before_get = [&] {
    TestController& after = NextWritesTheEnd();
    Run(after, MakeJob("j-4"));
    Settle(after);
  };
  const WriteOutcome outcome = before->Finish(plan, now);
  EXPECT_EQ(outcome.status, WriteOutcome::Status::kUnknown);
  EXPECT_TRUE(outcome.deposed);
  EXPECT_FALSE(outcome.stale) << "its books were right until it was deposed";
  EXPECT_FALSE(before->core.leading()) << "it commands nobody";
}

// The same without a successor: what was written is found to be ours.
TEST_F(LateWriteTest, WriteWithoutAResponseIsReadBackWhileWeLead) {
  const auto [before, plan] = AnEndAndABinding();
  store.next_commit = FakeStore::Fault::kLoseResponse;
  EXPECT_EQ(before->Finish(plan, now).status, WriteOutcome::Status::kWritten);
  EXPECT_TRUE(before->core.NextDirectCommand(now)) << "j-3 is started";
}

// Every write of a day in turn lands 2 to 12 s late or with its answer lost: of the
// leader, of submissions and cancellations and of elections. Nothing is applied twice.
TEST(LateWriteSweepTest, EachWriteInTurnCommitsLate) {
  for (const auto fault : {FakeStore::Fault::kCommitLate, FakeStore::Fault::kLoseResponse})
    for (int at = 0; at < 60; ++at) {
      SCOPED_TRACE(std::to_string(at));
      SimulatedCluster cluster;
      int left = at;
      const auto step = [&](int seconds) {
        for (int i = 0; i < seconds; ++i) {
          const int before = cluster.store.commits;
          if (left == 0) {
            cluster.store.next_commit = fault;
            cluster.late_writes.push_back(cluster.now + Seconds{2.0 + at % 11});
          }
          cluster.StepOneSecond();
          left -= cluster.store.commits - before + (left == 0 ? 1 : 0);
        }
      };
      step(3);
      for (const char* job : {"j-1", "j-2", "j-3"})
        for (int i = 0; i < 5 && !cluster.jobs.contains(job); ++i) {
          cluster.Submit(job, 2, "n1");
          step(1);
        }
      step(6);
      for (auto& m : cluster.machines) {
        const TaskId task{{"j-3"}, 0};
        if (!m.worker.HasLiveTask(task)) continue;
        m.worker.End(task, ExitReason::kDone);
        cluster.completed.insert(task);
      }
      for (int i = 0; i < 12 && !cluster.acknowledged_cancellations.contains("j-1"); ++i) {
        cluster.Cancel("j-1", "n2");
        step(1);
      }
      const std::string leader = cluster.Leader();
      if (!leader.empty()) {
        cluster.StopController(leader);
        cluster.StartController(leader);
      }
      step(20);
      EXPECT_TRUE(cluster.acknowledged_cancellations.contains("j-1"));
      EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
      EXPECT_EQ(cluster.LiveTasks("j-2"), 2U);
      EXPECT_EQ(cluster.LiveTasks("j-3"), 1U);
      EXPECT_EQ(cluster.Poll("j-3", "n0"), "running");
      EXPECT_EQ(cluster.stale_batches, 0) << "its books agree with what it wrote";
      EXPECT_EQ(cluster.violations, std::set<std::string>{});
    }
}

}  // namespace
}  // namespace magpie::testing
