// Use of a team's guaranteed resources: which jobs may use them, and when they are freed.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class TeamGuaranteeTest : public ClusterTest {};

// Guards against guaranteed work waiting for image fetches on the smallest machines: the targets of
// its class were loose, but its guarantee required a start within 5 s.
TEST_F(TeamGuaranteeTest, GuaranteedWorkStartsOnMachineWithImage) {
  Scheduler::Options options = DefaultOptions();
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}};
  TestController& controller = controllers_.emplace_back(store, "n0", options);
  FakeWorker& large = AddWorker("m-1", "large");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  JobSpec first = MakeJob("j-1");
  first.image_gb = 8;
  Run(controller, first);
  Settle(controller);
  large.EndAll(ExitReason::kDone);
  Settle(controller);
  FakeWorker& small = AddWorker("m-2", "small");  // without the image
  Heartbeat(controller, small);
  for (const char* team : {"blue", "red"}) {
    JobSpec spec = MakeJob(team == std::string("blue") ? "j-2" : "j-3");
    spec.team = team;
    spec.image_gb = 8;
    spec.deadline = Seconds{1000};
    Run(controller, spec);
  }
  AdvanceTime(2);
  Settle(controller);
  EXPECT_TRUE(large.HasLiveTask(TaskOf("j-2"))) << "the team has a guarantee";
  EXPECT_TRUE(small.HasLiveTask(TaskOf("j-3")))
      << "the team without a guarantee may wait for the image";
}

// Guards against placing a large array that exceeds its team's guarantee before jobs that lie
// within theirs: all its tasks counted as guaranteed while the team used little.
TEST_F(TeamGuaranteeTest, JobsEntirelyWithinGuaranteePrecedeOthers) {
  Scheduler::Options options = DefaultOptions();
  options.teams = {{"blue", 8, 0, 0, 0}, {"green", 8, 0, 0, 0}};
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}};
  TestController& controller = controllers_.emplace_back(store, "n0", options);
  FakeWorker& small = AddWorker("m-1");  // 4 CPUs, for two tasks
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  JobSpec large = MakeJob("j-1", 5);  // 10 CPUs
  large.team = "blue";
  large.deadline = Seconds{40};
  JobSpec fits = MakeJob("j-2", 2);
  fits.team = "green";
  fits.deadline = Seconds{1000};
  Run(controller, large);
  Run(controller, fits);
  Settle(controller);
  EXPECT_TRUE(small.HasLiveTask(TaskOf("j-2", 0)));
  EXPECT_TRUE(small.HasLiveTask(TaskOf("j-2", 1)));
}

// A team's guarantee covers its earlier jobs, regardless of the order in which they are loaded. A
// new leader must not give the guarantee to a later job.
TEST_F(TeamGuaranteeTest, EarlierJobsClaimGuaranteeAfterTakeover) {
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
  for (const RecordPageEntry& record : plan.puts.front().records) EXPECT_EQ(record.job, early.id);
}

// Guards against claims on a team's guarantee that outlive their jobs.
TEST_F(TeamGuaranteeTest, GuaranteeIsFreedWhenJobIsDoneOrCancelled) {
  Scheduler::Options options = DefaultOptions();
  options.teams = {{"blue", 4, 0, 0, 0}, {"green", 4, 0, 0, 0}};
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}};
  TestController& controller = controllers_.emplace_back(store, "n0", options);
  FakeWorker& small = AddWorker("m-1");  // for two tasks
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
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
    Run(controller, job(first.c_str(), "blue", 1000, 2));
    Settle(controller);
    ASSERT_TRUE(small.HasLiveTask(TaskOf(first)));
    if (round == 0)
      small.EndAll(ExitReason::kDone);
    else
      ASSERT_EQ(controller.api.Cancel(first).status, 200);
    controller.ReadJobs();
    Settle(controller);
    Run(controller, job(other.c_str(), "green", 40, 5));
    Run(controller, job(second.c_str(), "blue", 1000, 2));
    Settle(controller);
    EXPECT_TRUE(small.HasLiveTask(TaskOf(second))) << "round " << round;
    for (int i = 0; i < 4; ++i) {
      small.EndAll(ExitReason::kDone);
      Settle(controller);
    }
  }
}

// Guards against provisioning a machine for a guarantee that no booting machine can meet. On the
// first mechelen site a 64-CPU machine was provisioned so that guaranteed work could start in 5 s.
TEST_F(TeamGuaranteeTest, NoMachineIsProvisionedForGuaranteeShorterThanBootTime) {
  Scheduler::Options options = DefaultOptions();
  options.objectives = {{"guarantee", "", {5}, 0.9, 1}, {"wait", "sums", {250}, 0.9, 1}};
  TestController& controller = controllers_.emplace_back(store, "n0", options);
  AddWorker("m-1");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  RunCloud(controller);
  JobSpec first = MakeJob("j-1", 2);
  Run(controller, first);
  Settle(controller);
  ASSERT_EQ(CountLiveTasks(), 2U) << "no free capacity for 30 s";
  JobSpec spec = MakeJob("j-2");
  spec.team = "blue";
  Run(controller, spec);
  AdvanceTime(2);
  Settle(controller);
  for (const CloudCall& call : RunCloud(controller))
    EXPECT_NE(call.kind, CloudCall::Kind::kProvision);
}

}  // namespace
}  // namespace magpie::testing
