// Attribution of failures to faulty jobs or faulty machines: the class alone, then in a scheduler.
#include "failure_attribution/failure_attribution.h"

#include "test_cluster.h"

namespace magpie::testing {
namespace {

const MachineId kM1{"m-1"};
const MachineId kM2{"m-2"};
const MachineId kM3{"m-3"};
constexpr Seconds kRunTime{1};

TEST(FailureAttributionTest, JobFailingOnSeveralMachinesIsFaulty) {
  FailureAttribution attribution;
  Instant now{10};
  EXPECT_EQ(attribution.OnTaskFailed(1, kM1, kRunTime, now).suspected.size(), 1U);
  EXPECT_GT(attribution.SuspectedUntil(kM1), now);
  EXPECT_EQ(attribution.MaxConcurrentTasks(1), FailureAttribution::kUnlimited)
      << "one failure may be the machine's fault";
  attribution.OnTaskFailed(1, kM2, kRunTime, now);
  EXPECT_LT(attribution.MaxConcurrentTasks(1), FailureAttribution::kUnlimited);
  const FailureAttribution::Verdict verdict = attribution.OnTaskFailed(1, kM3, kRunTime, now);
  EXPECT_TRUE(verdict.faulty.empty() && verdict.suspected.empty());
  EXPECT_TRUE(attribution.IsFaulty(1));
  EXPECT_EQ(attribution.MaxConcurrentTasks(1), 1U);
  for (const MachineId& m : {kM1, kM2, kM3}) EXPECT_LE(attribution.SuspectedUntil(m), now);
  // The faulty job does not count against the machine when another job fails on it.
  EXPECT_TRUE(attribution.OnTaskFailed(2, kM1, kRunTime, now).faulty.empty());
}

TEST(FailureAttributionTest, MachineWithSeveralFailingJobsIsFaulty) {
  FailureAttribution attribution;
  attribution.OnTaskFailed(1, kM1, kRunTime, {10});
  EXPECT_TRUE(attribution.OnTaskFailed(1, kM1, kRunTime, {11}).faulty.empty())
      << "only one job failed on it";
  EXPECT_EQ(attribution.OnTaskFailed(2, kM1, kRunTime, {12}).faulty, std::vector{kM1});
}

TEST(FailureAttributionTest, CompletedTaskClearsMachine) {
  FailureAttribution attribution;
  attribution.OnTaskFailed(1, kM1, kRunTime, {10});
  EXPECT_TRUE(attribution.OnTaskCompleted(2, kM1).faulty.empty());
  EXPECT_EQ(attribution.SuspectedUntil(kM1), Instant{});
  EXPECT_TRUE(attribution.OnTaskFailed(3, kM1, kRunTime, {12}).faulty.empty());
  EXPECT_TRUE(attribution.OnTaskCompleted(1, kM2).faulty.empty())
      << "m-1 has completed a task since";
}

TEST(FailureAttributionTest, SuccessLiftsLimitsAndImplicatesEarlierMachines) {
  FailureAttribution attribution;
  for (const MachineId& m : {kM1, kM2, kM3}) attribution.OnTaskFailed(1, m, kRunTime, {10});
  ASSERT_GT(attribution.NotBefore(1), Instant{10});
  EXPECT_TRUE(attribution.OnTaskRunning(1, {"m-4"}, {7}).faulty.empty())
      << "run time too close to that of the failures";
  EXPECT_EQ(attribution.OnTaskRunning(1, {"m-4"}, {9}).faulty.size(), 3U);
  EXPECT_EQ(attribution.MaxConcurrentTasks(1), FailureAttribution::kUnlimited);
  EXPECT_EQ(attribution.NotBefore(1), Instant{});
  EXPECT_EQ(attribution.OnTaskFailed(1, kM2, kRunTime, {20}).faulty, std::vector{kM2});
}

TEST(FailureAttributionTest, FaultyJobBackoffIsBoundedAndCountsRounds) {
  FailureAttribution attribution;
  Instant now{10};
  for (int i = 0; i < 100; ++i)
    attribution.OnTaskFailed(1, {"m-" + std::to_string(i)}, kRunTime, now);
  EXPECT_EQ((attribution.NotBefore(1) - now).value, 1);
  double previous_pause = 0;
  for (int i = 0; i < 10; ++i) {
    now = attribution.NotBefore(1);
    attribution.OnTaskFailed(1, kM1, kRunTime, now);
    const double pause = (attribution.NotBefore(1) - now).value;
    EXPECT_GE(pause, previous_pause);
    previous_pause = pause;
  }
  EXPECT_EQ(previous_pause, 30);
}

TEST(FailureAttributionTest, SuspicionGrowsAndEndsWithItsCause) {
  FailureAttribution attribution;
  attribution.OnTaskFailed(1, kM1, kRunTime, {10});
  const Seconds first_suspicion = attribution.SuspectedUntil(kM1) - Instant{10};
  attribution.OnTaskFailed(1, kM1, kRunTime, {20});
  EXPECT_GT(attribution.SuspectedUntil(kM1) - Instant{20}, first_suspicion);
  attribution.Forget(1);  // cancelled
  EXPECT_EQ(attribution.SuspectedUntil(kM1), Instant{});
  EXPECT_TRUE(attribution.quiet());
}

TEST(FailureAttributionTest, ManyAttemptsBeforeTakeoverLimitTasks) {
  FailureAttribution attribution;
  attribution.OnAttemptsLoaded(1, {3});
  EXPECT_EQ(attribution.MaxConcurrentTasks(1), FailureAttribution::kUnlimited);
  attribution.OnAttemptsLoaded(1, {9});
  EXPECT_EQ(attribution.MaxConcurrentTasks(1), 2U);
  attribution.OnTaskCompleted(1, kM1);
  EXPECT_EQ(attribution.MaxConcurrentTasks(1), FailureAttribution::kUnlimited);
}

class FaultyJobTest : public ClusterTest {};

// An array job fails on every machine at the same time, beside a healthy array. While one of its
// tasks still ran elsewhere, the job counted as healthy, and for each of its other tasks a healthy
// machine was released.
TEST_F(FaultyJobTest, LargeFaultyArrayCostsNoMachinesOrCapacity) {
  TestController& node = AddController("n0");
  std::list<FakeWorker*> workers;
  for (int i = 0; i < 8; ++i) workers.push_back(&AddWorker("m-" + std::to_string(i)));
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 16));
  Settle(node);
  ASSERT_EQ(CountLiveTasks(), 16U);
  for (FakeWorker* w : workers) {
    w->EndAll(ExitReason::kError);
    Heartbeat(node, *w);
    AdvanceTime(0.01);
  }
  Run(node, MakeJob("j-2", 16));
  Settle(node);
  EXPECT_TRUE(ReleasedMachines(RunCloud(node)).empty());
  std::size_t faulty_tasks = 0;
  std::size_t healthy_tasks = 0;
  for (FakeWorker* w : workers)
    for (std::uint32_t i = 0; i < 16; ++i) {
      faulty_tasks += w->HasLiveTask({{"j-1"}, i}) ? 1 : 0;
      healthy_tasks += w->HasLiveTask({{"j-2"}, i}) ? 1 : 0;
    }
  EXPECT_EQ(faulty_tasks, 0U);
  EXPECT_EQ(healthy_tasks, 16U);
  // The faulty job is retried with one task, and stops at once when cancelled.
  for (FakeWorker* w : workers) w->EndAll(ExitReason::kDone);
  AdvanceTime(31);
  Settle(node);
  EXPECT_EQ(CountLiveTasks(), 1U);
  EXPECT_EQ(node.api.Cancel("j-1").status, 200);
  node.ReadJobs();
  Settle(node);
  EXPECT_EQ(CountLiveTasks(), 0U);
  EXPECT_EQ(node.State("j-1"), "withdrawn");
}

// A faulty job runs while two machines are faulty too, and a new leader takes over meanwhile.
TEST_F(FaultyJobTest, FaultyMachinesAreFoundDespiteFaultyJobAndTakeover) {
  TestController& node = AddController("n0");
  std::list<FakeWorker*> workers;
  for (int i = 0; i < 8; ++i) workers.push_back(&AddWorker("m-" + std::to_string(i)));
  const auto is_faulty = [](const FakeWorker& w) {
    return w.id().value == "m-0" || w.id().value == "m-1";
  };
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 8));   // faulty
  Run(node, MakeJob("j-2", 16));  // healthy, and larger than the capacity of the healthy machines
  std::set<MachineId> released;
  const auto run_rounds = [&](TestController& leader, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      Settle(leader, 1);
      for (FakeWorker* w : workers)
        for (std::uint32_t t = 0; t < 16; ++t) {
          w->End({{"j-1"}, t}, ExitReason::kError);
          if (is_faulty(*w)) w->EndAll(ExitReason::kError);
        }
      for (const MachineId& id : ReleasedMachines(RunCloud(leader))) released.insert(id);
      std::erase_if(workers, [&](FakeWorker* w) { return released.contains(w->id()); });
      AdvanceTime(1);
    }
  };
  run_rounds(node, 6);
  store.ExpireLeases();
  TestController& next = AddController("n1");
  ASSERT_TRUE(next.TakeOver(now));
  run_rounds(next, 12);
  for (FakeWorker* w : workers)
    if (!is_faulty(*w)) w->EndAll(ExitReason::kDone);
  run_rounds(next, 4);
  EXPECT_EQ(released, (std::set<MachineId>{{"m-0"}, {"m-1"}}));
}

}  // namespace
}  // namespace magpie::testing
