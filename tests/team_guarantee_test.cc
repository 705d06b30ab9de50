// A team's guaranteed resources: who may use them, and when they are free again.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class TeamGuaranteeTest : public ClusterTest {};

// Work within its team's guarantee waited for images on the smallest machines: its
// class gave it all the time in the world, its guarantee 5 s.
TEST_F(TeamGuaranteeTest, WorkWithinAGuaranteeStartsWhereItIsSoon) {
  Scheduler::Options options = DefaultOptions();
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}};
  TestController& node = controllers_.emplace_back(store, "n0", options);
  FakeWorker& large = AddWorker("m-1", "large");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  JobSpec first = MakeJob("j-1");
  first.image_gb = 8;
  Run(node, first);
  Settle(node);
  large.EndAll(ExitReason::kDone);
  Settle(node);
  FakeWorker& small = AddWorker("m-2", "small");  // without the image
  Heartbeat(node, small);
  for (const char* team : {"blue", "red"}) {
    JobSpec spec = MakeJob(team == std::string("blue") ? "j-2" : "j-3");
    spec.team = team;
    spec.image_gb = 8;
    spec.deadline = Seconds{1000};
    Run(node, spec);
  }
  AdvanceTime(2);
  Settle(node);
  EXPECT_TRUE(large.HasLiveTask(TaskOf("j-2"))) << "of the team with a guarantee";
  EXPECT_TRUE(small.HasLiveTask(TaskOf("j-3"))) << "the other may wait for the image";
}

// A large array that does not fit into its team's guarantee took the room before
// jobs that do: all tasks counted as guaranteed while their team used little.
TEST_F(TeamGuaranteeTest, JobsWholeWithinAGuaranteeGoBeforeOthers) {
  Scheduler::Options options = DefaultOptions();
  options.teams = {{"blue", 8, 0, 0, 0}, {"green", 8, 0, 0, 0}};
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}};
  TestController& node = controllers_.emplace_back(store, "n0", options);
  FakeWorker& small = AddWorker("m-1");  // of 4 CPUs: two tasks
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  JobSpec large = MakeJob("j-1", 5);  // 10 CPUs
  large.team = "blue";
  large.deadline = Seconds{40};
  JobSpec fits = MakeJob("j-2", 2);
  fits.team = "green";
  fits.deadline = Seconds{1000};
  Run(node, large);
  Run(node, fits);
  Settle(node);
  EXPECT_TRUE(small.HasLiveTask(TaskOf("j-2", 0)));
  EXPECT_TRUE(small.HasLiveTask(TaskOf("j-2", 1)));
}

// What counts are the team's earlier jobs, whatever order they are loaded in: a
// leader that takes over must not take the later job for the one within.
TEST_F(TeamGuaranteeTest, EarlierJobsTakeTheGuaranteeAfterATakeoverToo) {
  Scheduler::Options options = DefaultOptions();
  options.teams = {{"blue", 4, 0, 0, 0}, {"green", 0, 0, 0, 0}};
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}};
  JobSpec early = MakeJob("j-9", 2);
  early.team = "blue";
  early.submitted = {wall.value - 10};
  early.deadline = Seconds{1000};
  JobSpec late = MakeJob("j-1", 2);
  late.team = "blue";
  late.submitted = {wall.value - 5};
  late.deadline = Seconds{60};
  FakeWorker& small = AddWorker("m-1");  // for two tasks
  Scheduler core(options, {});
  core.SetTypes(Types());
  core.Start({1}, "r-", now);
  core.LoadJob(late, false, {1});
  core.LoadJob(early, false, {2});
  core.FinishLoad(now);
  core.OnHeartbeat(small.Snapshot(), now);
  core.Tick(now, wall);
  const WriteBatch plan = core.NextWriteBatch(now);
  ASSERT_EQ(plan.puts.size(), 1U);
  ASSERT_EQ(plan.puts.front().records.size(), 2U);
  for (const RecordPageEntry& r : plan.puts.front().records) EXPECT_EQ(r.job, early.id);
}

// What a job claims of its team's guarantee must not stay claimed for ever.
TEST_F(TeamGuaranteeTest, GuaranteeIsFreeOnceItsJobIsDoneOrCancelled) {
  Scheduler::Options options = DefaultOptions();
  options.teams = {{"blue", 4, 0, 0, 0}, {"green", 4, 0, 0, 0}};
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}};
  TestController& node = controllers_.emplace_back(store, "n0", options);
  FakeWorker& small = AddWorker("m-1");  // for two tasks
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  const auto job = [](const char* id, const char* team, double deadline, int tasks) {
    JobSpec spec = MakeJob(id, tasks);
    spec.team = team;
    spec.deadline = Seconds{deadline};
    return spec;
  };
  for (int round = 0; round < 2; ++round) {
    const std::string first = "j-" + std::to_string(10 * round);
    const std::string second = "j-" + std::to_string(10 * round + 1);
    const std::string other = "j-" + std::to_string(10 * round + 2);
    Run(node, job(first.c_str(), "blue", 1000, 2));
    Settle(node);
    ASSERT_TRUE(small.HasLiveTask(TaskOf(first)));
    if (round == 0)
      small.EndAll(ExitReason::kDone);
    else
      ASSERT_EQ(node.api.Cancel(first).status, 200);
    node.ReadJobs();
    Settle(node);
    Run(node, job(other.c_str(), "green", 40, 5));
    Run(node, job(second.c_str(), "blue", 1000, 2));
    Settle(node);
    EXPECT_TRUE(small.HasLiveTask(TaskOf(second))) << "round " << round;
    for (int i = 0; i < 4; ++i) {
      small.EndAll(ExitReason::kDone);
      Settle(node);
    }
  }
}

// On the first mechelen site a 64-CPU machine was rented so that work within a
// guarantee might start in 5 s, which none that has to boot can.
TEST_F(TeamGuaranteeTest, NothingIsRentedForAGuaranteeThatNoBootCanMeet) {
  Scheduler::Options options = DefaultOptions();
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}, {"wait", "sums", {250}, 0.9, 1}};
  TestController& node = controllers_.emplace_back(store, "n0", options);
  AddWorker("m-1");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  RunCloud(node);
  JobSpec first = MakeJob("j-1", 2);
  Run(node, first);
  Settle(node);
  ASSERT_EQ(CountLiveTasks(), 2U) << "no room for more for 30 s";
  JobSpec spec = MakeJob("j-2");
  spec.team = "blue";
  Run(node, spec);
  AdvanceTime(2);
  Settle(node);
  for (const CloudCall& call : RunCloud(node)) EXPECT_NE(call.kind, CloudCall::Kind::kProvision);
}

}  // namespace
}  // namespace magpie::testing
