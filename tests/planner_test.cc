// Unit tests of the planner's classes on a small cluster state.
#include <gtest/gtest.h>

#include <string>

#include "job_builder.h"
#include "scheduling/cluster_state.h"
#include "scheduling/consolidator.h"
#include "scheduling/due_times.h"
#include "scheduling/headroom_planner.h"
#include "scheduling/placement_plan.h"
#include "scheduling/preemption_planner.h"
#include "scheduling/queued_job.h"
#include "scheduling/resource_timeline.h"
#include "scheduling/task_lifecycle.h"

namespace magpie::testing {
namespace {

constexpr std::uint32_t kImage = 1;

SchedulerOptions PlannerOptions() {
  SchedulerOptions options;
  options.teams = {{"red", 4, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  return options;
}

JobSpec ArrayOf(const std::string& id, const std::string& team, std::uint32_t tasks) {
  JobSpec spec = MakeJob(id, tasks);
  spec.team = team;
  return spec;
}

JobSpec ServiceOf(const std::string& id, std::uint32_t tasks) {
  JobSpec spec = MakeJob(id, tasks);
  spec.kind = JobKind::kService;
  return spec;
}

// Sets up a cluster state with machines that are up and with running tasks bound to them.
class PlannerTest : public ::testing::Test {
 protected:
  PlannerTest() : state(PlannerOptions(), {}), lifecycle(state) {
    state.autoscaler.SetTypes({{"small", {4, 0, 16}, 30, 1, 0.2, 0.1, {20}, {"a", "b"}},
                               {"large", {16, 0, 64}, 60, 1, 1.0, 0.4, {20}, {"a", "b"}}});
  }

  Machine& AddMachine(const std::string& id, const std::string& type) {
    Machine& machine = state.FindOrCreateMachine({id}, now);
    machine.type = type;
    machine.zone = "a";
    machine.addr = id;
    machine.up = true;
    machine.kind = state.kinds.NumberOf({type, "a", false});
    machine.images.emplace_front(kImage, 1.0);
    return machine;
  }

  Job& AddJob(const JobSpec& spec) {
    Job& job = state.jobs.Add(spec);
    job.image = kImage;
    for (std::uint32_t i = 0; i < spec.tasks; ++i) job.pending.push_back(i);
    return job;
  }

  // Binds the job's next task to the machine and marks it as running since `since`.
  void Run(Job& job, Machine& machine, Instant since) {
    const std::uint32_t index = job.pending.front();
    job.pending.pop_front();
    lifecycle.Bind(job, index, machine, since);
    job.tasks[index].state = TaskPhase::kBound;
    job.tasks[index].running = true;
  }

  // A round with the current machines, without the expected ends of their tasks.
  PlanningRound MakeRound() {
    PlanningRound round(Resources{});
    round.usage = round.near_term_usage = state.quotas.usage();
    round.lowest_array_priority = Priority::kLow;
    for (const auto& [id, machine] : state.machines.all()) {
      Resources free = state.kinds.all()[*machine->kind].type->capacity;
      free -= machine->used;
      round.plan.Add({machine.get(), *machine->kind, ResourceTimeline(free, now), true,
                      !machine->tasks.empty()});
    }
    return round;
  }

  Instant now{1000};
  ClusterState state;
  TaskLifecycle lifecycle;
};

TEST(ResourceTimelineTest, KeepsReleasesForWaitingReservation) {
  ResourceTimeline timeline({1, 0, 4}, Instant{0});
  timeline.AddRelease(Instant{20}, {2, 0, 0});
  timeline.AddRelease(Instant{10}, {1, 0, 0});
  EXPECT_EQ(timeline.EarliestFit({1, 0, 0}), Instant{0});
  EXPECT_EQ(timeline.EarliestFit({2, 0, 0}), Instant{10});
  EXPECT_EQ(timeline.EarliestFit({5, 0, 0}), std::nullopt);
  timeline.Reserve(Instant{10}, {2, 0, 0}, Instant{50});
  EXPECT_EQ(timeline.EarliestFit({1, 0, 0}), Instant{20})
      << "free resources are kept for the waiting task";
  EXPECT_EQ(timeline.EarliestFit({4, 0, 0}), Instant{50});
}

TEST(PlacementPlanTest, CountsMachinesThatFitSmallestTask) {
  PlacementPlan plan(Resources{2, 0, 4});
  plan.Add({nullptr, 3, ResourceTimeline({4, 0, 16}, Instant{0}), false, true});
  EXPECT_FALSE(plan.HasAvailableMachine()) << "the machine is still to be provisioned";
  plan.Add({nullptr, 3, ResourceTimeline({4, 0, 16}, Instant{0}), true, false});
  EXPECT_TRUE(plan.HasAvailableMachine());
  plan.Reserve(1, Instant{0}, {3, 0, 4}, std::nullopt);
  EXPECT_FALSE(plan.HasAvailableMachine());
  EXPECT_TRUE(plan.machines()[1].needed);
  EXPECT_EQ(plan.versions()[1], 1U);
  EXPECT_EQ(plan.changes(), (std::vector<std::size_t>{0, 1, 1}));
}

TEST(PlacementPlanTest, SharesIndexAmongTasksOfSameSizeAndImage) {
  PlacementPlan plan(Resources{});
  CandidateIndex& index = plan.IndexFor({1, 0, 1}, kImage, 2);
  EXPECT_EQ(&plan.IndexFor({1, 0, 1}, kImage, 2), &index);
  EXPECT_NE(&plan.IndexFor({2, 0, 1}, kImage, 2), &index);
  EXPECT_NE(&plan.IndexFor({1, 0, 1}, kImage + 1, 2), &index);
}

class DueTimeCalculatorTest : public PlannerTest {};

TEST_F(DueTimeCalculatorTest, UsesNextTargetAfterTightestHasPassed) {
  SchedulerOptions options = PlannerOptions();
  options.objectives = {{"finished", "sums", Seconds{100}, 0.9, 1}};
  const DueTimeCalculator calculator(options, state.autoscaler, state.run_times);
  JobSpec spec = MakeJob("j-1");
  spec.deadline = Seconds{40};
  const Job& job = AddJob(spec);
  EXPECT_EQ(calculator.Calculate(job, WallTime{0}).target, Seconds{40});
  const DueTimes due = calculator.Calculate(job, WallTime{60});
  EXPECT_EQ(due.target, Seconds{40}) << "100 s from submission";
  EXPECT_EQ(due.targets, (std::vector<Seconds>{Seconds{40}}));
  EXPECT_FALSE(due.long_overdue);
  EXPECT_TRUE(calculator.Calculate(job, WallTime{500}).long_overdue);
}

TEST_F(DueTimeCalculatorTest, GuaranteeTightensTargetButNotProvisioningTarget) {
  SchedulerOptions options = PlannerOptions();
  options.objectives = {{"guarantee", "", Seconds{10}, 0.9, 1}};
  const DueTimeCalculator calculator(options, state.autoscaler, state.run_times);
  JobSpec spec = MakeJob("j-1");
  spec.deadline = Seconds{90};
  Job& job = AddJob(spec);
  job.within_guarantee = true;
  const DueTimes due = calculator.Calculate(job, WallTime{0});
  EXPECT_EQ(due.target, Seconds{40}) << "10 s until the start plus 30 s of run time";
  EXPECT_EQ(due.provisioning_target, Seconds{90});
}

class PreemptionPlannerTest : public PlannerTest {
 protected:
  Job& AddUrgentArray(std::uint32_t tasks) {
    JobSpec spec = ArrayOf("j-9", "blue", tasks);
    spec.priority = Priority::kHigh;
    return AddJob(spec);
  }
  std::vector<Preemption> Plan(Job& job) {
    return planner.Plan(MakeRound(), job, std::nullopt, now);
  }

  PreemptionPlanner planner{state};
};

TEST_F(PreemptionPlannerTest, DoesNotPreemptGuaranteedWork) {
  Machine& machine = AddMachine("m-1", "small");
  Job& guaranteed = AddJob(ArrayOf("j-1", "red", 2));
  Run(guaranteed, machine, now - Seconds{5});
  Run(guaranteed, machine, now - Seconds{5});
  EXPECT_TRUE(Plan(AddUrgentArray(1)).empty());
}

TEST_F(PreemptionPlannerTest, PreemptsTasksThatLoseLeastRunTime) {
  Machine& machine = AddMachine("m-1", "small");
  Job& job = AddJob(ArrayOf("j-1", "blue", 2));
  Run(job, machine, now - Seconds{9});
  Run(job, machine, now - Seconds{5});
  Job& urgent = AddUrgentArray(1);
  const std::vector<Preemption> preemptions = Plan(urgent);
  ASSERT_EQ(preemptions.size(), 1U);
  EXPECT_EQ(preemptions[0].machine, &machine);
  ASSERT_EQ(preemptions[0].victims.size(), 1U);
  EXPECT_EQ(preemptions[0].victims[0].index, 1U);
  EXPECT_EQ(preemptions[0].lost_cpu_time, 10);
  EXPECT_TRUE(Plan(urgent).empty()) << "the victims are still stopping";
}

TEST_F(PreemptionPlannerTest, ArraysDoNotPreemptTasksThatLoseMoreThanTheirRunTime) {
  Machine& machine = AddMachine("m-1", "small");
  Job& job = AddJob(ArrayOf("j-1", "blue", 2));
  Run(job, machine, now - Seconds{500});
  Run(job, machine, now - Seconds{500});
  EXPECT_TRUE(Plan(AddUrgentArray(1)).empty());
}

TEST_F(PreemptionPlannerTest, ArraysUpToOverloadedPriorityDoNotPreempt) {
  Machine& machine = AddMachine("m-1", "small");
  Job& job = AddJob(ArrayOf("j-1", "blue", 2));
  Run(job, machine, now - Seconds{5});
  Run(job, machine, now - Seconds{5});
  Job& urgent = AddUrgentArray(1);
  EXPECT_TRUE(planner.Plan(MakeRound(), urgent, Priority::kHigh, now).empty());
  EXPECT_FALSE(planner.Plan(MakeRound(), urgent, Priority::kNormal, now).empty());
}

class ConsolidatorTest : public PlannerTest {
 protected:
  // A large machine with one replica that uses an eighth of it and has run long enough to move.
  Machine& AddMostlyUnusedMachine() {
    Machine& machine = AddMachine("m-1", "large");
    Run(AddJob(ServiceOf("j-1", 1)), machine, now - Seconds{100});
    return machine;
  }
  Consolidation Plan() { return consolidator.Plan(MakeRound().plan, now); }

  Consolidator consolidator{state};
};

TEST_F(ConsolidatorTest, MovesReplicasToCheaperMachineWithImage) {
  Machine& source = AddMostlyUnusedMachine();
  Machine& destination = AddMachine("m-2", "small");
  const Consolidation consolidation = Plan();
  EXPECT_EQ(consolidation.to_drain, (std::vector<Machine*>{&source}));
  EXPECT_EQ(consolidation.destinations, (std::vector<Machine*>{&destination}));
  EXPECT_TRUE(Plan().to_drain.empty()) << "further moves wait for the next interval";
}

TEST_F(ConsolidatorTest, DoesNotMoveReplicasWithoutImageOnOtherMachine) {
  AddMostlyUnusedMachine();
  AddMachine("m-2", "small").images.clear();
  EXPECT_TRUE(Plan().to_drain.empty());
}

TEST_F(ConsolidatorTest, DoesNotMoveReplicasToIdleMachineOfSimilarPrice) {
  AddMostlyUnusedMachine();
  AddMachine("m-2", "large");
  EXPECT_TRUE(Plan().to_drain.empty());
}

TEST_F(ConsolidatorTest, DoesNotDrainMachinesWithArrays) {
  Machine& source = AddMostlyUnusedMachine();
  AddMachine("m-2", "small");
  Run(AddJob(ArrayOf("j-2", "red", 1)), source, now - Seconds{100});
  EXPECT_TRUE(Plan().to_drain.empty());
}

class HeadroomPlannerTest : public PlannerTest {
 protected:
  HeadroomPlanner headroom{state};
};

TEST_F(HeadroomPlannerTest, ReservesReplicaOnMachineWithImage) {
  AddMachine("m-1", "small").images.clear();
  AddMachine("m-2", "small");
  headroom.RecordArrival(AddJob(ServiceOf("j-1", 1)), 1, now);
  PlanningRound round = MakeRound();
  headroom.ReserveForServices(round, now);
  EXPECT_FALSE(round.plan.machines()[0].needed);
  EXPECT_TRUE(round.plan.machines()[1].needed);
  EXPECT_EQ(round.plan.machines()[1].timeline.free().cpus, 2);
}

TEST_F(HeadroomPlannerTest, ProvisionsMachineWithoutFreeCapacity) {
  headroom.RecordArrival(AddJob(ServiceOf("j-1", 1)), 1, now);
  PlanningRound round = MakeRound();
  headroom.ReserveForServices(round, now);
  EXPECT_TRUE(round.scale_outs.empty()) << "the round is not allowed to scale out";
  round.may_scale_out = true;
  headroom.ReserveForServices(round, now);
  EXPECT_EQ(round.scale_outs.size(), 1U);
}

TEST_F(HeadroomPlannerTest, IgnoresServicesAfterHeadroomDuration) {
  AddMachine("m-1", "small");
  headroom.RecordArrival(AddJob(ServiceOf("j-1", 1)), 1, now);
  PlanningRound round = MakeRound();
  headroom.ReserveForServices(round, now + state.options.headroom_duration + Seconds{1});
  EXPECT_FALSE(round.plan.machines()[0].needed);
}

}  // namespace
}  // namespace magpie::testing
