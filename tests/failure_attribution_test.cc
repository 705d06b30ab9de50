// Jobs with a mistake told from sick machines: the table by itself, then in the world.
#include "failure_attribution/failure_attribution.h"

#include "test_cluster.h"

namespace magpie::testing {
namespace {

const MachineId kM1{"m-1"};
const MachineId kM2{"m-2"};
const MachineId kM3{"m-3"};
constexpr Seconds kLife{1};

TEST(FailureAttributionTest, JobThatFailsEverywhereIsAtFault) {
  FailureAttribution blame;
  Instant now{10};
  EXPECT_EQ(blame.OnTaskFailed(1, kM1, kLife, now).suspected.size(), 1U);
  EXPECT_GT(blame.SuspectedUntil(kM1), now);
  EXPECT_EQ(blame.MaxConcurrentTasks(1), FailureAttribution::kUnlimited)
      << "one failure may be the machine's";
  blame.OnTaskFailed(1, kM2, kLife, now);
  EXPECT_LT(blame.MaxConcurrentTasks(1), FailureAttribution::kUnlimited);
  const FailureAttribution::Verdict verdict = blame.OnTaskFailed(1, kM3, kLife, now);
  EXPECT_TRUE(verdict.faulty.empty() && verdict.suspected.empty());
  EXPECT_TRUE(blame.Wrong(1));
  EXPECT_EQ(blame.MaxConcurrentTasks(1), 1U);
  for (const MachineId& m : {kM1, kM2, kM3}) EXPECT_LE(blame.SuspectedUntil(m), now);
  // Another wrong job on the same machine does not add up with it.
  EXPECT_TRUE(blame.OnTaskFailed(2, kM1, kLife, now).faulty.empty());
}

TEST(FailureAttributionTest, MachineWhereDifferentJobsFailIsAtFault) {
  FailureAttribution blame;
  blame.OnTaskFailed(1, kM1, kLife, {10});
  EXPECT_TRUE(blame.OnTaskFailed(1, kM1, kLife, {11}).faulty.empty()) << "one job alone";
  EXPECT_EQ(blame.OnTaskFailed(2, kM1, kLife, {12}).faulty, std::vector{kM1});
}

TEST(FailureAttributionTest, CompletedTaskClearsItsMachine) {
  FailureAttribution blame;
  blame.OnTaskFailed(1, kM1, kLife, {10});
  EXPECT_TRUE(blame.OnTaskCompleted(2, kM1).faulty.empty());
  EXPECT_EQ(blame.SuspectedUntil(kM1), Instant{});
  EXPECT_TRUE(blame.OnTaskFailed(3, kM1, kLife, {12}).faulty.empty());
  EXPECT_TRUE(blame.OnTaskCompleted(1, kM2).faulty.empty()) << "it had completed another's since";
}

TEST(FailureAttributionTest, JobThatSucceedsRunsAtOnceAndImplicatesEarlierMachines) {
  FailureAttribution blame;
  for (const MachineId& m : {kM1, kM2, kM3}) blame.OnTaskFailed(1, m, kLife, {10});
  ASSERT_GT(blame.NotBefore(1), Instant{10});
  EXPECT_TRUE(blame.OnTaskRunning(1, {"m-4"}, {7}).faulty.empty())
      << "not much longer than its failures";
  EXPECT_EQ(blame.OnTaskRunning(1, {"m-4"}, {9}).faulty.size(), 3U);
  EXPECT_EQ(blame.MaxConcurrentTasks(1), FailureAttribution::kUnlimited);
  EXPECT_EQ(blame.NotBefore(1), Instant{});
  EXPECT_EQ(blame.OnTaskFailed(1, kM2, kLife, {20}).faulty, std::vector{kM2});
}

TEST(FailureAttributionTest, BackoffOfAFaultyJobIsBoundedAndCountsRounds) {
  FailureAttribution blame;
  Instant now{10};
  for (int i = 0; i < 100; ++i) blame.OnTaskFailed(1, {"m-" + std::to_string(i)}, kLife, now);
  EXPECT_EQ((blame.NotBefore(1) - now).value, 1);
  double last = 0;
  for (int i = 0; i < 10; ++i) {
    now = blame.NotBefore(1);
    blame.OnTaskFailed(1, kM1, kLife, now);
    const double pause = (blame.NotBefore(1) - now).value;
    EXPECT_GE(pause, last);
    last = pause;
  }
  EXPECT_EQ(last, 30);
}

TEST(FailureAttributionTest, SuspicionLastsLongerEachTimeAndEndsWithItsReason) {
  FailureAttribution blame;
  blame.OnTaskFailed(1, kM1, kLife, {10});
  const Seconds first = blame.SuspectedUntil(kM1) - Instant{10};
  blame.OnTaskFailed(1, kM1, kLife, {20});
  EXPECT_GT(blame.SuspectedUntil(kM1) - Instant{20}, first);
  blame.Forget(1);  // cancelled
  EXPECT_EQ(blame.SuspectedUntil(kM1), Instant{});
  EXPECT_TRUE(blame.quiet());
}

TEST(FailureAttributionTest, ManyAttemptsBeforeATakeoverCountAsAFew) {
  FailureAttribution blame;
  blame.OnAttemptsLoaded(1, {3});
  EXPECT_EQ(blame.MaxConcurrentTasks(1), FailureAttribution::kUnlimited);
  blame.OnAttemptsLoaded(1, {9});
  EXPECT_EQ(blame.MaxConcurrentTasks(1), 2U);
  blame.OnTaskCompleted(1, kM1);
  EXPECT_EQ(blame.MaxConcurrentTasks(1), FailureAttribution::kUnlimited);
}

class FaultyJobTest : public ClusterTest {};

// A wide array that fails on every machine at the same moment, beside healthy ones:
// while one of its tasks still ran elsewhere it was taken for healthy, and a healthy
// machine was given up for each of the others.
TEST_F(FaultyJobTest, LargeFaultyArrayCostsNoMachineAndNoCapacity) {
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
  std::size_t wrong = 0;
  std::size_t healthy = 0;
  for (FakeWorker* w : workers)
    for (std::uint32_t i = 0; i < 16; ++i) {
      wrong += w->HasLiveTask({{"j-1"}, i}) ? 1 : 0;
      healthy += w->HasLiveTask({{"j-2"}, i}) ? 1 : 0;
    }
  EXPECT_EQ(wrong, 0U);
  EXPECT_EQ(healthy, 16U);
  // Its next try is one task, and cancelled it is gone at once.
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

// The same while some machines really are sick, and with a new leader in the middle.
TEST_F(FaultyJobTest, FaultyMachinesAreFoundAmongFaultyJobsAndAfterATakeover) {
  TestController& node = AddController("n0");
  std::list<FakeWorker*> workers;
  for (int i = 0; i < 8; ++i) workers.push_back(&AddWorker("m-" + std::to_string(i)));
  const auto sick = [](const FakeWorker& w) {
    return w.id().value == "m-0" || w.id().value == "m-1";
  };
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 8));   // wrong
  Run(node, MakeJob("j-2", 16));  // well, and more than the healthy machines hold
  std::set<MachineId> released;
  const auto play = [&](TestController& leader, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      Settle(leader, 1);
      for (FakeWorker* w : workers)
        for (std::uint32_t t = 0; t < 16; ++t) {
          w->End({{"j-1"}, t}, ExitReason::kError);
          if (sick(*w)) w->EndAll(ExitReason::kError);
        }
      for (const MachineId& id : ReleasedMachines(RunCloud(leader))) released.insert(id);
      std::erase_if(workers, [&](FakeWorker* w) { return released.contains(w->id()); });
      AdvanceTime(1);
    }
  };
  play(node, 6);
  store.ExpireLeases();
  TestController& next = AddController("n1");
  ASSERT_TRUE(next.TakeOver(now));
  play(next, 12);
  for (FakeWorker* w : workers)
    if (!sick(*w)) w->EndAll(ExitReason::kDone);
  play(next, 4);
  EXPECT_EQ(released, (std::set<MachineId>{{"m-0"}, {"m-1"}}));
}

}  // namespace
}  // namespace magpie::testing
