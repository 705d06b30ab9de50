// Task records are packed into pages that many jobs share.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class RecordPageTest : public ClusterTest {};

// Bindings once took a change of the state service for each job: after the death
// of many machines the replicas of 400 services waited over 20 s for 19 changes a
// second.
TEST_F(RecordPageTest, BindingsOfManyJobsTakeOneWrite) {
  constexpr int kJobs = 40;
  TestController& node = AddController("n0");
  for (int i = 0; i < 6; ++i) AddWorker("m-" + std::to_string(i), "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  for (int j = 1; j <= kJobs; ++j) Run(node, MakeJob("j-" + std::to_string(j)));
  AdvanceTime(2);
  node.core.Tick(now, wall);
  const WriteBatch plan = node.core.NextWriteBatch(now);
  ASSERT_EQ(plan.puts.size(), 1U);
  EXPECT_EQ(plan.puts.front().records.size(), static_cast<std::size_t>(kJobs));
  EXPECT_EQ(node.Finish(plan, now).status, WriteOutcome::Status::kWritten);
  Settle(node);
  EXPECT_EQ(CountLiveTasks(), static_cast<std::size_t>(kJobs));

  // What is written later shares the page and keeps what is in it.
  Run(node, MakeJob("j-99"));
  Settle(node);
  EXPECT_LE(store.Range(records::kPagePrefix, "", 100).entries.size(), 2U);
  store.ExpireLeases();
  TestController& next = AddController("n1");
  ASSERT_TRUE(next.TakeOver(now));
  EXPECT_EQ(next.core.GetStatus().bound, static_cast<std::size_t>(kJobs + 1));
  Settle(next);
  for (FakeWorker& w : workers_)
    for (const auto& [task, times] : w.starts) EXPECT_EQ(times, 1) << task.job.value;
}

// One cancellation on its way must not bind anything of its job, and must not
// cost the others their attempts.
TEST_F(RecordPageTest, CancelledJobAmongOthersIsNotBoundWithThem) {
  TestController& node = AddController("n0");
  AddWorker("m-1", "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  for (const char* id : {"j-1", "j-2", "j-3"}) Run(node, MakeJob(id));
  AdvanceTime(2);
  node.core.Tick(now, wall);
  const WriteBatch plan = node.core.NextWriteBatch(now);
  ASSERT_EQ(plan.puts.front().records.size(), 3U);
  ASSERT_EQ(node.api.Cancel("j-2").status, 200);
  EXPECT_EQ(node.Finish(plan, now).status, WriteOutcome::Status::kRejected);
  Settle(node);
  EXPECT_EQ(workers_.front().starts.size(), 2U);
  EXPECT_FALSE(workers_.front().starts.contains(TaskOf("j-2")));
  EXPECT_EQ(node.State("j-2"), "withdrawn");
}

// A binding that waits for its write must not become durable because its task's
// page is written for others: its job may have been cancelled meanwhile.
TEST_F(RecordPageTest, PageWrittenForOthersBindsNothing) {
  Scheduler::Options options = DefaultOptions();
  options.max_operations = 4;
  TestController& node = controllers_.emplace_back(store, "n0", options);
  FakeWorker& w = AddWorker("m-1", "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1"));
  Settle(node);
  w.EndAll(ExitReason::kError);  // its first attempt is over, and durable as bound
  Heartbeat(node, w);
  AdvanceTime(3);  // until then the machine is in doubt
  Settle(node);
  ASSERT_TRUE(w.HasLiveTask(TaskOf("j-1"))) << "bound again";
  w.End(TaskOf("j-1"), ExitReason::kStopped);
  Heartbeat(node, w);
  node.core.Tick(now, wall);  // its third attempt is to be written
  JobSpec bindings_unpersisted = MakeJob("j-2");
  bindings_unpersisted.priority = Priority::kProduction;
  Run(node, bindings_unpersisted);
  AdvanceTime(0.3);
  node.core.Tick(now, wall);
  WriteBatch plan = node.core.NextWriteBatch(now);
  ASSERT_EQ(plan.puts.size(), 1U);
  for (std::size_t i = 0; i < plan.puts.front().rewritten; ++i)
    EXPECT_TRUE(plan.puts.front().records[i].task.machine.value.empty());
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

// Blocks of one job, as earlier versions wrote them, are read and superseded.
TEST_F(RecordPageTest, BlocksOfEarlierVersionsAreReadAndDropped) {
  TestController& node = AddController("n0");
  FakeWorker& w = AddWorker("m-1", "large");
  ASSERT_EQ(Submit(node, MakeJob("j-1", 3)), 201);
  Transaction old;
  old.changes.push_back(
      {"t/j-1/0", Json::parse(R"({"tasks":[[0,2,1],[1,4,0,"m-1","a"],[2,3,0]]})"), std::nullopt});
  old.changes.push_back({"p/7",
                         Json::parse(R"({"jobs":{"j-1":[[1,3,0,"m-9","a"],[2,4,0,"m-1","a"]]}})"),
                         std::nullopt});
  ASSERT_EQ(store.Commit(old).status, StoreStatus::kOk);
  ASSERT_TRUE(node.TakeOver(now));
  EXPECT_EQ(node.core.GetJobProgress({"j-1"})->done, 1U);
  EXPECT_EQ(node.core.GetStatus().bound, 2U) << "the later attempt counts, wherever it stands";
  Settle(node);
  EXPECT_TRUE(w.HasLiveTask(TaskOf("j-1", 1)));
  w.EndAll(ExitReason::kDone);
  Settle(node);
  AdvanceTime(10);
  Settle(node);
  EXPECT_EQ(node.State("j-1"), "done");
  EXPECT_TRUE(store.Range(records::kBlockPrefix, "", 10).entries.empty());
}

TEST_F(RecordPageTest, HeartbeatWithThousandsOfUnknownTasksIsAnswered) {
  TestController& node = AddController("n0");
  FakeWorker& w = AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Heartbeat(node, w);
  magpie::Heartbeat heartbeat = w.Snapshot();
  for (std::uint32_t i = 0; i < 5000; ++i)
    heartbeat.tasks.push_back(
        {TaskOf("j-99", i), {1}, TaskState::kRunning, ExitReason::kNone, false});
  const HeartbeatResponse reply = node.core.OnHeartbeat(heartbeat, now);
  EXPECT_TRUE(reply.accepted);
  EXPECT_GT(reply.commands.size(), 0U);
  EXPECT_LE(reply.commands.size(), 200U) << "the rest is stopped next time";
}

}  // namespace
}  // namespace magpie::testing
