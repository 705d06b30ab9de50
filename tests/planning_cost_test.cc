// What a tick of the scheduler costs in large deployments, and the indexes that bound it.
#include <algorithm>
#include <array>
#include <random>

#include "records/job_cache.h"
#include "scheduling/candidate_index.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

class PlanningCostTest : public ClusterTest {};

// Each waiting task once looked at every machine, then each waiting job: the
// leader fell behind for good when there were thousands of both, and a tenth of
// 32,000 machines took 3 s to be replaced.
TEST_F(PlanningCostTest, TickInspectsEachMachineOnceForAllJobsAlike) {
  constexpr std::uint32_t kMachines = 2000;
  constexpr std::uint32_t kTasks = 3000;
  constexpr std::uint32_t kJobs = 30;
  TestController& node = AddController("n0");
  for (std::uint32_t i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(node.TakeOver(now));
  for (FakeWorker& w : workers_) Heartbeat(node, w);
  for (std::uint32_t j = 1; j <= kJobs; ++j) {
    JobSpec spec = MakeJob("j-" + std::to_string(j), kTasks / kJobs);
    spec.deadline = Seconds{1000};
    Run(node, spec);
  }
  node.core.Tick(now, wall);
  EXPECT_EQ(node.core.GetStatus().bound, kTasks);
  EXPECT_LE(node.core.GetStatus().candidates_evaluated, kMachines + kTasks);
}

// Jobs of more sizes and images than shelves are kept for still find places, and
// what one job took is not given to the next that comes back to an older shelf.
TEST_F(PlanningCostTest, MoreTaskShapesThanCandidateIndexesShareTheMachines) {
  constexpr std::uint32_t kJobs = 50;
  TestController& node = AddController("n0");
  for (std::uint32_t i = 0; i < 10; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(node.TakeOver(now));
  for (FakeWorker& w : workers_) Heartbeat(node, w);
  for (std::uint32_t j = 0; j < kJobs; ++j) {
    JobSpec spec = MakeJob("j-" + std::to_string(j), 2);
    spec.image = "img-" + std::to_string(j % 25);
    spec.per_task.cpus = 1 + j % 3;
    spec.per_task.memory_gb = 1;
    Run(node, spec);
  }
  node.core.Tick(now, wall);
  Settle(node);
  const double kRoom = 4;  // CPUs of a small machine
  for (FakeWorker& w : workers_) {
    double used = 0;
    for (const TaskStatus& t : w.Snapshot().tasks)
      used += 1 + std::stoi(t.task.job.value.substr(2)) % 3;
    EXPECT_EQ(used, kRoom) << w.id().value << " is to be full, and not more";
  }
}

// Equal candidates once went by name, so that all was on machines rented together.
TEST(CandidateIndexTest, EqualCandidatesAreTakenInAScatteredOrder) {
  constexpr std::uint32_t kMachines = 100;
  CandidateIndex index({1, 0, 1}, 0, 0);
  CandidateIndex::KindCandidates& kind = index.OfKind(0);
  CandidateIndex::Versions versions(kMachines);
  for (std::uint32_t i = 0; i < kMachines; ++i) kind.available_now.Add({{0}, 4, i, 0});
  std::array<int, 4> quarters{};
  for (std::uint32_t turn = 0; turn < kMachines / 4; ++turn) {
    const std::uint32_t machine = kind.available_now.Best(versions)->machine_index;
    ++quarters.at(4 * machine / kMachines);
    ++versions[machine];
  }
  for (const int taken : quarters) EXPECT_NEAR(taken, kMachines / 16, 2);
}

// An index must answer as a scan of all candidates would, whatever has changed since.
TEST(CandidateIndexTest, MatchesAFullScan) {
  constexpr std::uint32_t kMachines = 40;
  std::mt19937 dice(7);
  CandidateIndex index({1, 0, 1}, 0, 0);
  CandidateIndex::KindCandidates& kind = index.OfKind(3);
  CandidateIndex::Versions versions(kMachines);
  std::vector<CandidateIndex::Candidate> candidates;
  const auto enter = [&](std::uint32_t machine) {
    const CandidateIndex::Candidate candidate{
        {double(dice() % 4)}, double(dice() % 5), machine, versions[machine]};
    candidates[machine] = candidate;
    kind.all.Add(candidate);
  };
  candidates.resize(kMachines);
  for (std::uint32_t i = 0; i < kMachines; ++i) enter(i);
  for (int turn = 0; turn < 500; ++turn) {
    const auto best = kind.all.Best(versions);
    ASSERT_TRUE(best);
    EXPECT_EQ(best->machine_index,
              std::min_element(candidates.begin(), candidates.end())->machine_index);
    const std::uint32_t changed = turn % 2 == 0 ? best->machine_index : dice() % kMachines;
    ++versions[changed];
    enter(changed);
  }
  for (std::uint32_t& v : versions) ++v;
  EXPECT_FALSE(kind.all.Best(versions)) << "all are outdated";
  EXPECT_FALSE(kind.available_now.Best(versions)) << "none was added there";
}

// Each tick once looked at all machines, four times a second for silence and once
// for what to return: a quiet fleet of 32,000 took 17 ms a tick.
TEST_F(PlanningCostTest, IdleTickInspectsNoMachine) {
  constexpr std::uint32_t kMachines = 400;
  constexpr std::uint32_t kTurns = 12;  // of a quarter of a second: one report interval
  TestController& node = AddController("n0");
  for (std::uint32_t i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(node.TakeOver(now));
  for (FakeWorker& w : workers_) Heartbeat(node, w);
  Run(node, MakeJob("j-1", 2 * kMachines));
  Settle(node);
  ASSERT_EQ(CountLiveTasks(), 2U * kMachines) << "nothing is idle";
  RunCloud(node);
  const auto turn = [&](std::uint32_t k) {
    std::uint32_t i = 0;
    for (FakeWorker& w : workers_)
      if (i++ % kTurns == k % kTurns) Heartbeat(node, w);
    AdvanceTime(0.25);
    node.core.Tick(now, wall);
    EXPECT_FALSE(node.core.NextProbe(now));
  };
  for (std::uint32_t k = 0; k < kTurns; ++k) turn(k);
  const SchedulerStatus before = node.core.GetStatus();
  for (std::uint32_t k = 0; k < 2 * kTurns; ++k) turn(k);
  EXPECT_EQ(node.core.GetStatus().machines_inspected, before.machines_inspected);

  // One that falls silent is looked at, and no other.
  unresponsive_workers_.insert(workers_.front().id());
  AdvanceTime(0.1);
  for (FakeWorker& w : workers_)
    if (!unresponsive_workers_.contains(w.id())) Heartbeat(node, w);
  AdvanceTime(4.5);
  for (FakeWorker& w : workers_)
    if (!unresponsive_workers_.contains(w.id())) Heartbeat(node, w);
  node.core.Tick(now, wall);
  const auto probe = node.core.NextProbe(now);
  ASSERT_TRUE(probe);
  EXPECT_EQ(probe->machine, workers_.front().id());
  EXPECT_LE(node.core.GetStatus().machines_inspected - before.machines_inspected, 8U);
}

TEST(HeartbeatIndexTest, KeepsLateMachinesApartAndCountsThemByZone) {
  HeartbeatIndex heartbeat_index(Seconds{5});
  std::vector<HeartbeatIndex::Member> m(3);
  for (auto& per_task : m) heartbeat_index.AddMember(per_task, Instant{100});
  heartbeat_index.AssignZone(m[0], "a", true);
  heartbeat_index.AssignZone(m[1], "a", true);
  heartbeat_index.RecordHeartbeat(m[1], Instant{104});
  heartbeat_index.AdvanceTime(Instant{106});
  EXPECT_EQ(heartbeat_index.late().size(), 2U);
  EXPECT_EQ(heartbeat_index.zones().at("a").late, 1U);
  heartbeat_index.AssignZone(m[2], "b", true);
  EXPECT_EQ(heartbeat_index.zones().at("b").late, 1U) << "late already when it is counted";
  EXPECT_TRUE(heartbeat_index.RecordHeartbeat(m[0], Instant{107}));
  EXPECT_FALSE(heartbeat_index.RecordHeartbeat(m[0], Instant{108}));
  EXPECT_EQ(heartbeat_index.zones().at("a").late, 0U);
  EXPECT_EQ(heartbeat_index.fresh().front(), &m[1]) << "the oldest comes first";
  heartbeat_index.Watch(m[2]);
  heartbeat_index.RemoveMember(m[2]);
  EXPECT_EQ(heartbeat_index.zones().at("b").all, 0U);
  EXPECT_TRUE(heartbeat_index.watched().empty());
  EXPECT_TRUE(heartbeat_index.late().empty());
}

// Between two full plans, a tick stops where nothing more can begin now: with
// all machines full, each report of an end else cost a plan for all that waits.
TEST_F(PlanningCostTest, FullClusterIsPlannedToTheEndOnceASecond) {
  constexpr int kMachines = 20;
  constexpr int kWaiting = 50;
  TestController& node = AddController("n0");
  for (int i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 2 * kMachines));
  for (int j = 2; j < 2 + kWaiting; ++j) Run(node, MakeJob("j-" + std::to_string(j)));
  Settle(node);
  ASSERT_EQ(CountLiveTasks(), 2U * kMachines) << "all is full";
  AdvanceTime(2);
  node.core.Tick(now, wall);
  const SchedulerStatus full = node.core.GetStatus();
  AdvanceTime(0.1);
  node.core.Tick(now, wall);
  EXPECT_EQ(node.core.GetStatus().jobs_planned, full.jobs_planned);
  EXPECT_EQ(node.core.GetStatus().candidates_evaluated, full.candidates_evaluated);

  // Two ends make room for two tasks, and as many jobs are looked at for them.
  FakeWorker& w = workers_.front();
  w.EndAll(ExitReason::kDone);
  Heartbeat(node, w);
  AdvanceTime(0.1);
  node.core.Tick(now, wall);
  EXPECT_LE(node.core.GetStatus().jobs_planned, full.jobs_planned + 2);
  EXPECT_EQ(node.core.GetStatus().pending, static_cast<std::size_t>(kWaiting - 2));
  AdvanceTime(1);
  node.core.Tick(now, wall);
  EXPECT_GE(node.core.GetStatus().jobs_planned, full.jobs_planned + kWaiting - 2);
}

TEST_F(PlanningCostTest, ManyPollsShareOneRead) {
  TestController& node = AddController("n0");
  ASSERT_EQ(Submit(node, MakeJob("j-1")), 201);
  JobCache cache(store, Seconds{0}, {[] { return Instant{1}; }, [](Seconds) {}});
  ASSERT_TRUE(cache.Find({"j-1"}).live.has_value());
  const int commits = store.commits;
  const int watches = store.watches;
  ASSERT_EQ(node.api.Cancel("j-1").status, 200);
  EXPECT_TRUE(cache.Find({"j-1"}).live->cancelled) << "a change since is seen";
  EXPECT_FALSE(cache.Find({"j-2"}).live.has_value());
  EXPECT_LE(store.watches - watches, 3);
  EXPECT_EQ(store.commits - commits, 2) << "a cancellation's two steps, and nothing for polls";
  ASSERT_EQ(Submit(node, MakeJob("j-3")), 201);
  store.compacted_before = store.current_revision();  // too many changes ago: read anew
  EXPECT_TRUE(cache.Find({"j-3"}).live.has_value());
  store.outage = true;
  EXPECT_FALSE(cache.Find({"j-1"}).store_reachable) << "what can't be checked is not told";
}

}  // namespace
}  // namespace magpie::testing
