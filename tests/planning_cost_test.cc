// Cost of a scheduler tick in large deployments, and the indexes that limit it.
#include <algorithm>
#include <array>
#include <random>

#include "records/job_cache.h"
#include "scheduling/candidate_index.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

class PlanningCostTest : public ClusterTest {};

// Guards against evaluating every machine for each waiting task or job. With thousands of both the
// leader could not keep up, and replacing a tenth of 32,000 machines took 3 s.
TEST_F(PlanningCostTest, TickEvaluatesEachMachineOnceForIdenticalJobs) {
  constexpr std::uint32_t kMachines = 2000;
  constexpr std::uint32_t kTasks = 3000;
  constexpr std::uint32_t kJobs = 30;
  TestController& controller = AddController("n0");
  for (std::uint32_t i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(controller.TakeOver(now));
  for (FakeWorker& worker : workers_) Heartbeat(controller, worker);
  for (std::uint32_t j = 1; j <= kJobs; ++j) {
    JobSpec spec = MakeJob("j-" + std::to_string(j), kTasks / kJobs);
    spec.deadline = Seconds{1000};
    Run(controller, spec);
  }
  controller.core.Tick(now, wall);
  EXPECT_EQ(controller.core.GetStatus().bound, kTasks);
  EXPECT_LE(controller.core.GetStatus().candidates_evaluated, kMachines + kTasks);
}

// Jobs with more task sizes and images than there are candidate indexes are still placed, and
// capacity that one job uses is not given again to a job that uses an older index.
TEST_F(PlanningCostTest, MoreTaskShapesThanCandidateIndexesShareMachines) {
  constexpr std::uint32_t kJobs = 50;
  TestController& controller = AddController("n0");
  for (std::uint32_t i = 0; i < 10; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(controller.TakeOver(now));
  for (FakeWorker& worker : workers_) Heartbeat(controller, worker);
  for (std::uint32_t j = 0; j < kJobs; ++j) {
    JobSpec spec = MakeJob("j-" + std::to_string(j), 2);
    spec.image = "img-" + std::to_string(j % 25);
    spec.per_task.cpus = 1 + j % 3;
    spec.per_task.memory_gb = 1;
    Run(controller, spec);
  }
  controller.core.Tick(now, wall);
  Settle(controller);
  const double kMachineCpus = 4;  // of a small machine
  for (FakeWorker& worker : workers_) {
    double used = 0;
    for (const TaskStatus& t : worker.Snapshot().tasks)
      used += 1 + std::stoi(t.task.job.value.substr(2)) % 3;
    EXPECT_EQ(used, kMachineCpus) << worker.id().value << " must be exactly full";
  }
}

// Guards against ordering equal candidates by name, which puts all tasks on machines that were
// provisioned together.
TEST(CandidateIndexTest, EqualCandidatesAreChosenInScatteredOrder) {
  constexpr std::uint32_t kMachines = 100;
  CandidateIndex index({1, 0, 1}, 0, 0);
  CandidateIndex::KindCandidates& kind = index.CandidatesOfKind(0);
  CandidateIndex::Versions versions(kMachines);
  for (std::uint32_t i = 0; i < kMachines; ++i) kind.available_now.Add({{0}, 4, i, 0});
  std::array<int, 4> quarters{};
  for (std::uint32_t step = 0; step < kMachines / 4; ++step) {
    const std::uint32_t machine = kind.available_now.Best(versions)->machine_index;
    ++quarters.at(4 * machine / kMachines);
    ++versions[machine];
  }
  for (const int taken : quarters) EXPECT_NEAR(taken, kMachines / 16, 2);
}

// After any change, an index must return the same candidate as a scan of all candidates.
TEST(CandidateIndexTest, BestCandidateMatchesFullScan) {
  constexpr std::uint32_t kMachines = 40;
  std::mt19937 random_engine(7);
  CandidateIndex index({1, 0, 1}, 0, 0);
  CandidateIndex::KindCandidates& kind = index.CandidatesOfKind(3);
  CandidateIndex::Versions versions(kMachines);
  std::vector<CandidateIndex::Candidate> candidates;
  const auto add_candidate = [&](std::uint32_t machine) {
    const CandidateIndex::Candidate candidate{
        {double(random_engine() % 4)}, double(random_engine() % 5), machine, versions[machine]};
    candidates[machine] = candidate;
    kind.all.Add(candidate);
  };
  candidates.resize(kMachines);
  for (std::uint32_t i = 0; i < kMachines; ++i) add_candidate(i);
  for (int step = 0; step < 500; ++step) {
    const auto best = kind.all.Best(versions);
    ASSERT_TRUE(best);
    EXPECT_EQ(best->machine_index,
              std::min_element(candidates.begin(), candidates.end())->machine_index);
    const std::uint32_t changed = step % 2 == 0 ? best->machine_index : random_engine() % kMachines;
    ++versions[changed];
    add_candidate(changed);
  }
  for (std::uint32_t& v : versions) ++v;
  EXPECT_FALSE(kind.all.Best(versions)) << "all entries are outdated";
  EXPECT_FALSE(kind.available_now.Best(versions)) << "no candidate was added to this heap";
}

// Guards against inspecting all machines in each tick: four times a second for missing heartbeats
// and once a second for machines to release. With 32,000 unchanged machines a tick took 17 ms.
TEST_F(PlanningCostTest, IdleTickInspectsNoMachine) {
  constexpr std::uint32_t kMachines = 400;
  constexpr std::uint32_t kTicks = 12;  // ticks of 0.25 s in one heartbeat interval
  TestController& controller = AddController("n0");
  for (std::uint32_t i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(controller.TakeOver(now));
  for (FakeWorker& worker : workers_) Heartbeat(controller, worker);
  Run(controller, MakeJob("j-1", 2 * kMachines));
  Settle(controller);
  ASSERT_EQ(CountLiveTasks(), 2U * kMachines) << "no machine is idle";
  RunCloud(controller);
  const auto run_tick = [&](std::uint32_t tick) {
    std::uint32_t i = 0;
    for (FakeWorker& worker : workers_)
      if (i++ % kTicks == tick % kTicks) Heartbeat(controller, worker);
    AdvanceTime(0.25);
    controller.core.Tick(now, wall);
    EXPECT_FALSE(controller.core.NextProbe(now));
  };
  for (std::uint32_t tick = 0; tick < kTicks; ++tick) run_tick(tick);
  const SchedulerStatus before = controller.core.GetStatus();
  for (std::uint32_t tick = 0; tick < 2 * kTicks; ++tick) run_tick(tick);
  EXPECT_EQ(controller.core.GetStatus().machines_inspected, before.machines_inspected);

  // Only a machine that stops sending heartbeats is inspected.
  unresponsive_workers_.insert(workers_.front().id());
  AdvanceTime(0.1);
  for (FakeWorker& worker : workers_)
    if (!unresponsive_workers_.contains(worker.id())) Heartbeat(controller, worker);
  AdvanceTime(4.5);
  for (FakeWorker& worker : workers_)
    if (!unresponsive_workers_.contains(worker.id())) Heartbeat(controller, worker);
  controller.core.Tick(now, wall);
  const auto probe = controller.core.NextProbe(now);
  ASSERT_TRUE(probe);
  EXPECT_EQ(probe->machine, workers_.front().id());
  EXPECT_LE(controller.core.GetStatus().machines_inspected - before.machines_inspected, 8U);
}

TEST(HeartbeatIndexTest, SeparatesLateMachinesAndCountsThemByZone) {
  HeartbeatIndex heartbeat_index(Seconds{5});
  std::vector<HeartbeatIndex::Member> members(3);
  for (auto& member : members) heartbeat_index.AddMember(member, Instant{100});
  heartbeat_index.AssignZone(members[0], "a", true);
  heartbeat_index.AssignZone(members[1], "a", true);
  heartbeat_index.RecordHeartbeat(members[1], Instant{104});
  heartbeat_index.AdvanceTime(Instant{106});
  EXPECT_EQ(heartbeat_index.late().size(), 2U);
  EXPECT_EQ(heartbeat_index.zones().at("a").late, 1U);
  heartbeat_index.AssignZone(members[2], "b", true);
  EXPECT_EQ(heartbeat_index.zones().at("b").late, 1U)
      << "the machine is already late when it is counted";
  EXPECT_TRUE(heartbeat_index.RecordHeartbeat(members[0], Instant{107}));
  EXPECT_FALSE(heartbeat_index.RecordHeartbeat(members[0], Instant{108}));
  EXPECT_EQ(heartbeat_index.zones().at("a").late, 0U);
  EXPECT_EQ(heartbeat_index.fresh().front(), &members[1]) << "the oldest heartbeat comes first";
  heartbeat_index.Watch(members[2]);
  heartbeat_index.RemoveMember(members[2]);
  EXPECT_EQ(heartbeat_index.zones().at("b").all, 0U);
  EXPECT_TRUE(heartbeat_index.watched().empty());
  EXPECT_TRUE(heartbeat_index.late().empty());
}

// Between two full rounds, a tick stops planning once no more tasks can start now. Otherwise, with
// all machines full, all waiting jobs would be planned after each reported end of a task.
TEST_F(PlanningCostTest, FullClusterGetsOneFullRoundPerSecond) {
  constexpr int kMachines = 20;
  constexpr int kWaitingJobs = 50;
  TestController& controller = AddController("n0");
  for (int i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 2 * kMachines));
  for (int j = 2; j < 2 + kWaitingJobs; ++j) Run(controller, MakeJob("j-" + std::to_string(j)));
  Settle(controller);
  ASSERT_EQ(CountLiveTasks(), 2U * kMachines) << "all machines are full";
  AdvanceTime(2);
  controller.core.Tick(now, wall);
  const SchedulerStatus full = controller.core.GetStatus();
  AdvanceTime(0.1);
  controller.core.Tick(now, wall);
  EXPECT_EQ(controller.core.GetStatus().jobs_planned, full.jobs_planned);
  EXPECT_EQ(controller.core.GetStatus().candidates_evaluated, full.candidates_evaluated);

  // Two ended tasks free capacity for two tasks, and at most two jobs are planned for it.
  FakeWorker& worker = workers_.front();
  worker.EndAll(ExitReason::kDone);
  Heartbeat(controller, worker);
  AdvanceTime(0.1);
  controller.core.Tick(now, wall);
  EXPECT_LE(controller.core.GetStatus().jobs_planned, full.jobs_planned + 2);
  EXPECT_EQ(controller.core.GetStatus().pending, static_cast<std::size_t>(kWaitingJobs - 2));
  AdvanceTime(1);
  controller.core.Tick(now, wall);
  EXPECT_GE(controller.core.GetStatus().jobs_planned, full.jobs_planned + kWaitingJobs - 2);
}

TEST_F(PlanningCostTest, ManyPollsShareOneRead) {
  TestController& controller = AddController("n0");
  ASSERT_EQ(Submit(controller, MakeJob("j-1")), 201);
  JobCache cache(store, Seconds{0}, {[] { return Instant{1}; }, [](Seconds) {}});
  ASSERT_TRUE(cache.Find({"j-1"}).live.has_value());
  const int commits = store.commits;
  const int watches = store.watches;
  ASSERT_EQ(controller.api.Cancel("j-1").status, 200);
  EXPECT_TRUE(cache.Find({"j-1"}).live->cancelled) << "later changes are visible";
  EXPECT_FALSE(cache.Find({"j-2"}).live.has_value());
  EXPECT_LE(store.watches - watches, 3);
  EXPECT_EQ(store.commits - commits, 2) << "two for the cancellation, and none for polls";
  ASSERT_EQ(Submit(controller, MakeJob("j-3")), 201);
  // The changes are no longer available, so the cache reads from the store again.
  store.compacted_before = store.current_revision();
  EXPECT_TRUE(cache.Find({"j-3"}).live.has_value());
  store.outage = true;
  EXPECT_FALSE(cache.Find({"j-1"}).store_reachable) << "an unverified state is not returned";
}

}  // namespace
}  // namespace magpie::testing
