// Task records are packed into pages that many jobs share.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class RecordPageTest : public ClusterTest {};

// In an earlier version, bindings took one write to the key-value store for each job: after the
// failure of many machines, replicas of 400 services waited over 20 s at 19 writes per second.
TEST_F(RecordPageTest, BindingsOfManyJobsTakeOneWrite) {
  constexpr int kJobs = 40;
  TestController& controller = AddController("n0");
  for (int i = 0; i < 6; ++i) AddWorker("m-" + std::to_string(i), "large");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  for (int j = 1; j <= kJobs; ++j) Run(controller, MakeJob("j-" + std::to_string(j)));
  AdvanceTime(2);
  controller.core.Tick(now, wall);
  const WriteBatch batch = controller.core.NextWriteBatch(now);
  ASSERT_EQ(batch.puts.size(), 1U);
  EXPECT_EQ(batch.puts.front().records.size(), static_cast<std::size_t>(kJobs));
  EXPECT_EQ(controller.Finish(batch, now).status, WriteOutcome::Status::kWritten);
  Settle(controller);
  EXPECT_EQ(CountLiveTasks(), static_cast<std::size_t>(kJobs));

  // A later write adds to the page and keeps its records.
  Run(controller, MakeJob("j-99"));
  Settle(controller);
  EXPECT_LE(store.Range(records::kPagePrefix, "", 100).entries.size(), 2U);
  store.ExpireLeases();
  TestController& next = AddController("n1");
  ASSERT_TRUE(next.TakeOver(now));
  EXPECT_EQ(next.core.GetStatus().bound, static_cast<std::size_t>(kJobs + 1));
  Settle(next);
  for (FakeWorker& worker : workers_)
    for (const auto& [task, times] : worker.starts) EXPECT_EQ(times, 1) << task.job.value;
}

// A batch has bindings of several jobs, and one job is cancelled before the write. That job must
// not be bound, and the others must keep their attempts.
TEST_F(RecordPageTest, CancelledJobInSharedBatchIsNotBound) {
  TestController& controller = AddController("n0");
  AddWorker("m-1", "large");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  for (const char* id : {"j-1", "j-2", "j-3"}) Run(controller, MakeJob(id));
  AdvanceTime(2);
  controller.core.Tick(now, wall);
  const WriteBatch batch = controller.core.NextWriteBatch(now);
  ASSERT_EQ(batch.puts.front().records.size(), 3U);
  ASSERT_EQ(controller.api.Cancel("j-2").status, 200);
  EXPECT_EQ(controller.Finish(batch, now).status, WriteOutcome::Status::kRejected);
  Settle(controller);
  EXPECT_EQ(workers_.front().starts.size(), 2U);
  EXPECT_FALSE(workers_.front().starts.contains(TaskOf("j-2")));
  EXPECT_EQ(controller.State("j-2"), "withdrawn");
}

// An unwritten binding must not become durable when its task's page is rewritten for other jobs:
// the task's job may have been cancelled, and the write does not check that.
TEST_F(RecordPageTest, PageRewrittenForOtherJobsAddsNoBinding) {
  Scheduler::Options options = DefaultOptions();
  options.max_operations = 4;
  TestController& controller = controllers_.emplace_back(store, "n0", options);
  FakeWorker& worker = AddWorker("m-1", "large");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1"));
  Settle(controller);
  worker.EndAll(ExitReason::kError);  // the first attempt ends; its record still has the binding
  Heartbeat(controller, worker);
  AdvanceTime(3);  // the machine is suspected for a short time after the task's failure
  Settle(controller);
  ASSERT_TRUE(worker.HasLiveTask(TaskOf("j-1"))) << "the second attempt is bound";
  worker.End(TaskOf("j-1"), ExitReason::kStopped);
  Heartbeat(controller, worker);
  controller.core.Tick(now, wall);  // binds the third attempt, which is not written yet
  JobSpec urgent = MakeJob("j-2");
  urgent.priority = Priority::kProduction;
  Run(controller, urgent);
  AdvanceTime(0.3);
  controller.core.Tick(now, wall);
  WriteBatch batch = controller.core.NextWriteBatch(now);
  ASSERT_EQ(batch.puts.size(), 1U);
  for (std::size_t i = 0; i < batch.puts.front().rewritten; ++i)
    EXPECT_TRUE(batch.puts.front().records[i].task.machine.value.empty());
}

TEST(RecordsTest, PageKeysAndContentsAreValidated) {
  for (const RecordPageKey& key : {RecordPageKey{{}, 7}, RecordPageKey{{"j-000412"}, 3}})
    EXPECT_EQ(records::ParseRecordPageKey(records::ToKey(key)), key);
  for (const char* bad : {"", "/", "p/", "p/x", "p/1x", "p/-1", "t/1", "t/j-1/", "t/x/1", "q/1"})
    EXPECT_FALSE(records::ParseRecordPageKey(bad)) << bad;
  for (const char* bad :
       {"{}", R"({"jobs":3})", R"({"jobs":{"j-1":[[0]]}})", R"({"jobs":{"j-1":[["a",1,0]]}})"})
    EXPECT_ANY_THROW(records::RecordPageFromJson({{}, 1}, Json::parse(bad))) << bad;
}

// Earlier versions wrote blocks with records of one job each. These are read, and removed once
// later records of all their tasks are in pages.
TEST_F(RecordPageTest, BlocksOfEarlierVersionsAreReadAndRemoved) {
  TestController& controller = AddController("n0");
  FakeWorker& worker = AddWorker("m-1", "large");
  ASSERT_EQ(Submit(controller, MakeJob("j-1", 3)), 201);
  Transaction txn;
  txn.changes.push_back(
      {"t/j-1/0", Json::parse(R"({"tasks":[[0,2,1],[1,4,0,"m-1","a"],[2,3,0]]})"), std::nullopt});
  txn.changes.push_back({"p/7",
                         Json::parse(R"({"jobs":{"j-1":[[1,3,0,"m-9","a"],[2,4,0,"m-1","a"]]}})"),
                         std::nullopt});
  ASSERT_EQ(store.Commit(txn).status, StoreStatus::kOk);
  ASSERT_TRUE(controller.TakeOver(now));
  EXPECT_EQ(controller.core.GetJobProgress({"j-1"})->done, 1U);
  EXPECT_EQ(controller.core.GetStatus().bound, 2U)
      << "the later attempt is used, from a block or a page";
  Settle(controller);
  EXPECT_TRUE(worker.HasLiveTask(TaskOf("j-1", 1)));
  worker.EndAll(ExitReason::kDone);
  Settle(controller);
  AdvanceTime(10);
  Settle(controller);
  EXPECT_EQ(controller.State("j-1"), "done");
  EXPECT_TRUE(store.Range(records::kBlockPrefix, "", 10).entries.empty());
}

TEST_F(RecordPageTest, HeartbeatWithThousandsOfUnknownTasksIsAnswered) {
  TestController& controller = AddController("n0");
  FakeWorker& worker = AddWorker("m-1");
  ASSERT_TRUE(controller.TakeOver(now));
  Heartbeat(controller, worker);
  magpie::Heartbeat heartbeat = worker.Snapshot();
  for (std::uint32_t i = 0; i < 5000; ++i)
    heartbeat.tasks.push_back(
        {TaskOf("j-99", i), {1}, TaskState::kRunning, ExitReason::kNone, false});
  const HeartbeatResponse response = controller.core.OnHeartbeat(heartbeat, now);
  EXPECT_TRUE(response.accepted);
  EXPECT_GT(response.commands.size(), 0U);
  EXPECT_LE(response.commands.size(), 200U) << "later responses stop the other tasks";
}

}  // namespace
}  // namespace magpie::testing
