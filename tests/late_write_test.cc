// Transactions that commit after their caller has timed out, or that lose their response: what a
// leader may conclude from reading the store afterwards.
#include <gtest/gtest.h>

#include "simulated_cluster.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

class LateWriteTest : public ClusterTest {
 protected:
  // Returns n0 as the leader with a pending write batch: the final record of j-2, which ran on m-1,
  // and the binding of j-3 to m-2.
  std::pair<TestController*, WriteBatch> PrepareOutcomeAndBinding() {
    worker1 = &AddWorker("m-1", "large");
    TestController& old_leader = AddController("n0");
    EXPECT_TRUE(old_leader.TakeOver(now));
    Heartbeat(old_leader, *worker1);
    Run(old_leader, MakeJob("j-2"));
    Settle(old_leader);
    worker1->End({{"j-2"}, 0}, ExitReason::kDone);
    Heartbeat(old_leader, *worker1);
    worker2 = &AddWorker("m-2", "small");
    Heartbeat(old_leader, *worker2);
    Run(old_leader, MakeJob("j-3"));
    old_leader.core.Tick(now, wall);
    WriteBatch batch = old_leader.core.NextWriteBatch(now);
    EXPECT_EQ(batch.finals.size(), 1U);
    EXPECT_EQ(batch.puts.size(), 1U);
    return {&old_leader, std::move(batch)};
  }

  // n1 takes over, receives the result of j-2 from m-1 and writes its final record. m-2 sends no
  // heartbeat.
  TestController& NextLeaderWritesOutcome() {
    store.ExpireLeases();
    TestController& next_leader = AddController("n1");
    EXPECT_TRUE(next_leader.TakeOver(now));
    Heartbeat(next_leader, *worker1);
    Heartbeat(next_leader, *worker1);
    while (next_leader.WriteOnce(now)) {
    }
    EXPECT_EQ(next_leader.State("j-2"), "done");
    return next_leader;
  }

  FakeWorker* worker1 = nullptr;
  FakeWorker* worker2 = nullptr;
};

// The response to the deletion of an unused page is lost. The leader took the conflict of the retry
// for a rejection, kept the page in memory with a revision that no key has, and chose it for the
// next bindings. Every attempt to write these bindings was then rejected.
TEST_F(LateWriteTest, UnansweredDeletionIsFoundCommitted) {
  for (const auto fault : {FakeStore::Fault::kLoseResponse, FakeStore::Fault::kCommitLate,
                           FakeStore::Fault::kRefuse}) {
    store = FakeStore{};
    controllers_.clear();
    workers_.clear();
    now = {100};
    Transaction old_records;
    for (int i = 1; i <= 8; ++i)  // records of a final job
      old_records.changes.push_back(
          {"p/" + std::to_string(i),
           Json{{"jobs", {{"j-9", Json::array({Json::array({0, 1, 1})})}}}}, std::nullopt});
    ASSERT_EQ(store.Commit(old_records).status, StoreStatus::kOk);
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
    EXPECT_LE(writes, 8) << "a page was dropped more than once";
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

// A leader's transaction writes a final record and binds a task of another job. It does not arrive,
// and the leader is partitioned. The next leader writes an identical final record. After the
// partition, the old leader attributed this record to itself and started the task, which the next
// leader had bound to another machine (found by days/limit-cut-thrissur.toml).
TEST_F(LateWriteTest, OutcomeWrittenByNextLeaderIsNotAttributedToOldLeader) {
  const auto [old_leader, batch] = PrepareOutcomeAndBinding();
  TestController& next_leader = NextLeaderWritesOutcome();
  // The first attempt is unanswered and delayed.
  store.next_commit = FakeStore::Fault::kCommitLate;
  const WriteOutcome outcome = old_leader->Finish(batch, now);
  EXPECT_EQ(outcome.status, WriteOutcome::Status::kUnknown)
      << "the write may have committed while n0 led";
  EXPECT_TRUE(outcome.deposed);
  EXPECT_FALSE(old_leader->core.leading());
  EXPECT_FALSE(old_leader->core.NextDirectCommand(now)) << "no durable binding to start";
  FakeWorker& worker3 = AddWorker("m-3", "small");
  for (int i = 0; i < 3; ++i) {
    Heartbeat(next_leader, worker3);
    next_leader.core.Tick(now, wall);
    while (next_leader.WriteOnce(now)) {
    }
    worker2->Deliver(old_leader->core.OnHeartbeat(worker2->Snapshot(), now));
    EXPECT_LE(CountLiveTasks(), 1U);
  }
}

// A delayed event restored a job in memory that an earlier write had made final. A batch with its
// final record and a binding was rejected, and the response was lost. The existing final record was
// taken as proof that the binding was durable (found by a seed of the sweep).
TEST_F(LateWriteTest, ExistingOutcomeDoesNotProveBatchCommitted) {
  const auto [old_leader, batch] = PrepareOutcomeAndBinding();
  const Json final_record = records::ToJson(records::FinalRecord{JobOutcome::kDone, 1});
  ASSERT_EQ(store.Commit({{}, {{"f/j-2", final_record, std::nullopt}}}).status, StoreStatus::kOk);
  store.next_commit = FakeStore::Fault::kLoseResponse;
  EXPECT_EQ(old_leader->Finish(batch, now).status, WriteOutcome::Status::kRejected);
  EXPECT_FALSE(old_leader->core.NextDirectCommand(now)) << "the binding is not durable";
}

// The leadership is lost between the conflict and the read-back, in which the next leader's final
// record must not be taken for the old leader's.
TEST_F(LateWriteTest, StoredRecordIsAttributedOnlyWhileLeading) {
  const auto [old_leader, batch] = PrepareOutcomeAndBinding();
  // A user cancels j-3 meanwhile, so the retry conflicts although n0 still leads.
  ASSERT_EQ(old_leader->api.Cancel("j-3").status, 200);
  store.next_commit = FakeStore::Fault::kCommitLate;
  store.before_get = [&] { NextLeaderWritesOutcome(); };
  EXPECT_EQ(old_leader->Finish(batch, now).status, WriteOutcome::Status::kUnknown);
  EXPECT_FALSE(old_leader->core.leading());
  EXPECT_FALSE(old_leader->core.NextDirectCommand(now));
}

// A write commits, its response is lost, and the retry conflicts on the page only. Before the page
// is read back, another controller takes over and writes it. Without a second check of the
// leadership, the former leader concluded that its write had not been carried out, reverted its
// bindings and results in memory, and kept commanding workers by that state.
TEST_F(LateWriteTest, SuccessorPageDoesNotProveWriteFailed) {
  const auto [old_leader, batch] = PrepareOutcomeAndBinding();
  store.next_commit = FakeStore::Fault::kLoseResponse;
  store.before_get = [&] {
    TestController& next_leader = NextLeaderWritesOutcome();
    Run(next_leader, MakeJob("j-4"));
    Settle(next_leader);
  };
  const WriteOutcome outcome = old_leader->Finish(batch, now);
  EXPECT_EQ(outcome.status, WriteOutcome::Status::kUnknown);
  EXPECT_TRUE(outcome.deposed);
  EXPECT_FALSE(outcome.stale) << "its state was correct until it was deposed";
  EXPECT_FALSE(old_leader->core.leading()) << "a deposed leader must not command workers";
}

// Without a successor, the read-back finds that the write was carried out.
TEST_F(LateWriteTest, UnansweredWriteIsReadBackWhileLeading) {
  const auto [old_leader, batch] = PrepareOutcomeAndBinding();
  store.next_commit = FakeStore::Fault::kLoseResponse;
  EXPECT_EQ(old_leader->Finish(batch, now).status, WriteOutcome::Status::kWritten);
  const HeartbeatResponse response = old_leader->core.OnHeartbeat(worker2->Snapshot(), now);
  ASSERT_EQ(response.commands.size(), 1U) << "no command to start j-3";
  EXPECT_EQ(response.commands.front().kind, CommandKind::kRun);
  EXPECT_EQ(response.commands.front().task, TaskOf("j-3"));
}

// Each write in turn, by the leader, a submission, a cancellation or an election, commits 2 to 12 s
// late or loses its response. No write is applied twice.
TEST(LateWriteSweepTest, EachWriteCommitsLate) {
  for (const auto fault : {FakeStore::Fault::kCommitLate, FakeStore::Fault::kLoseResponse})
    for (int fault_index = 0; fault_index < 60; ++fault_index) {
      SCOPED_TRACE(std::to_string(fault_index));
      SimulatedCluster cluster;
      int commits_until_fault = fault_index;
      const auto step = [&](int seconds) {
        for (int i = 0; i < seconds; ++i) {
          const int commits_before = cluster.store.commits;
          if (commits_until_fault == 0) {
            cluster.store.next_commit = fault;
            cluster.late_writes.push_back(cluster.now + Seconds{2.0 + fault_index % 11});
          }
          cluster.StepOneSecond();
          commits_until_fault -=
              cluster.store.commits - commits_before + (commits_until_fault == 0 ? 1 : 0);
        }
      };
      step(3);
      for (const char* job : {"j-1", "j-2", "j-3"})
        for (int i = 0; i < 5 && !cluster.jobs.contains(job); ++i) {
          cluster.Submit(job, 2, "n1");
          step(1);
        }
      step(6);
      for (auto& machine : cluster.machines) {
        const TaskId task{{"j-3"}, 0};
        if (!machine.worker.HasLiveTask(task)) continue;
        machine.worker.End(task, ExitReason::kDone);
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
      EXPECT_EQ(cluster.stale_batches, 0) << "the leader's state differs from the records";
      EXPECT_EQ(cluster.violations, std::set<std::string>{});
    }
}

}  // namespace
}  // namespace magpie::testing
