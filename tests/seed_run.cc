// Workload, recovery and final checks of a seed.
#include "seed_run.h"

#include <utility>

namespace magpie::testing {
namespace {

constexpr Seconds kFaultPhase{95};
constexpr Seconds kRecoveryPhase{50};
constexpr Seconds kSweepCancelDeadline{30};
constexpr std::size_t kSmallPageBytes = 900;
constexpr std::size_t kDefaultPageBytes = 15UL * 1024;

}  // namespace

SeedRun::SeedRun(std::uint64_t seed, BrokenBroadcast broken_broadcast, DecisionDigest* decisions)
    : random_(seed),
      // Small record pages are rarely rewritten for other tasks, so unbound records stay longer.
      cluster_(broken_broadcast, 3, 7, random_.Chance(0.5) ? kSmallPageBytes : kDefaultPageBytes),
      labels_(cluster_.labels) {
  ThreadRandom().seed(seed);  // for backoff delays
  cluster_.decisions = decisions;
  cluster_.cancel_deadline = kSweepCancelDeadline;
  if (random_.Chance(0.5)) cluster_.writes_per_s = 5;
  cluster_.grants_provisioning = random_.Chance(0.5);
  cluster_.max_events = 60000;
  ConfigureJobs();
  cluster_.inject_fault = [this](const std::string& label, bool write) {
    return RandomStoreFault(label, write);
  };
  cluster_.command_latency = [this] {
    return random_.Chance(0.2) ? random_.Duration(0, 0.8) : Seconds{};
  };
  cluster_.on_job_state_changed = [this](const std::string& job) {
    if (random_.Chance(0.4)) PollAllControllersConcurrently(job);
  };
  cluster_.StartRandomizedSchedule(seed ^ 0x5eedULL);
}

SeedResult SeedRun::Run() {
  cluster_.Run({3});
  for (const char* job : {"j-1", "j-2", "j-3", "j-4"}) job_sizes_[job] = 2 + RandomBit();
  for (const char* job : {"j-5", "j-6", "j-8"}) job_sizes_[job] = 3;
  job_sizes_["j-10"] = 2;
  RunWorkload();
  cluster_.Run({8});
  for (const char* job : {"j-1", "j-2"}) cancel_at_[job] = cluster_.now + random_.Duration(2, 40);
  if (random_.Chance(0.2)) cancel_at_["j-6"] = cluster_.now + random_.Duration(2, 60);
  InjectAfter({12}, "users submit another job of the team at its limit",
              [this] { job_sizes_["j-7"] = 2; });
  ScheduleRandomFaults();
  cluster_.Run(kFaultPhase);
  ClearFaults();
  cluster_.Run(kRecoveryPhase);
  PollAllJobsAtAllControllers();
  result_.violations.insert(cluster_.violations.begin(), cluster_.violations.end());
  if (cluster_.stale_batches > 0) result_.violations.insert("stale");
  result_.event_count = cluster_.event_count;
  result_.fault_log += cluster_.violation_log;
  return std::move(result_);
}

std::uint32_t SeedRun::RandomBit() { return static_cast<std::uint32_t>(random_.Below(2)); }

void SeedRun::ConfigureJobs() {
  cluster_.job_overrides["j-5"] = [](JobSpec& spec) {
    spec.team = "blue";
    spec.single_zone = true;
  };
  cluster_.job_overrides["j-6"] = [](JobSpec& spec) {
    spec.team = "blue";
    spec.spread = true;
  };
  cluster_.job_overrides["j-7"] = [](JobSpec& spec) {
    spec.team = "blue";
    spec.priority = Priority::kHigh;
  };
  cluster_.job_overrides["j-8"] = [](JobSpec& spec) { spec.zone.emplace("a"); };
  cluster_.job_overrides["j-10"] = [](JobSpec& spec) {
    spec.kind = JobKind::kService;
    spec.zone.emplace("b");
    spec.estimate = {0};
  };
}

void SeedRun::RunWorkload() {
  if (workload_ended_) return;
  for (const auto& [job, tasks] : job_sizes_)
    if (!cluster_.jobs.contains(job)) ScheduleWithinOneSecond([=, this] { Submit(job); });
  for (const auto& [job, from] : cancel_at_)
    if (cluster_.now >= from && !cluster_.acknowledged_cancellations.contains(job) &&
        !cluster_.reported_done.contains(job))
      ScheduleWithinOneSecond(
          [=, this] { cluster_.CancelConcurrently(job, random_.Pick(labels_)); });
  for (const auto& [job, tasks] : cluster_.jobs)
    if (random_.Chance(0.5))
      ScheduleWithinOneSecond([=, this] { cluster_.PollConcurrently(job, random_.Pick(labels_)); });
  if (!cluster_.jobs.empty() && random_.Chance(0.1)) {
    const auto chosen =
        std::next(cluster_.jobs.begin(), random_.Below(static_cast<int>(cluster_.jobs.size())));
    ScheduleWithinOneSecond([=, this, job = chosen->first] { Submit(job); });
  }
  if (random_.Chance(0.05))
    ScheduleWithinOneSecond([this] {
      const int kind = random_.Below(5);
      cluster_.SubmitInvalidConcurrently(kind, random_.Pick(labels_));
    });
  if (!cluster_.store.outage && random_.Chance(0.06)) {
    RecordFault("late writes");
    cluster_.store.next_commit =
        random_.Chance(0.6) ? FakeStore::Fault::kCommitLate : FakeStore::Fault::kLoseResponse;
    cluster_.ScheduleAfter(random_.Duration(2, 12), [this] {
      if (cluster_.store.has_delayed_transactions()) cluster_.store.DeliverDelayed();
    });
  }
  for (Machine& machine : cluster_.machines) EndRandomTasks(machine);
  cluster_.ScheduleAfter({1}, [this] { RunWorkload(); });
}

void SeedRun::ScheduleWithinOneSecond(std::function<void()> action) {
  cluster_.ScheduleAfter(random_.Duration(0, 1), std::move(action));
}

void SeedRun::Submit(const std::string& job) {
  cluster_.SubmitConcurrently(job, job_sizes_.at(job), random_.Pick(labels_));
}

void SeedRun::PollAllControllersConcurrently(const std::string& job) {
  for (const std::string& label : labels_)
    cluster_.ScheduleAfter(random_.Duration(0, 0.01),
                           [=, this] { cluster_.PollConcurrently(job, label); });
  if (random_.Chance(0.4))
    cluster_.ScheduleAfter(random_.Duration(0, 0.01), [=, this] { Submit(job); });
}

void SeedRun::EndRandomTasks(Machine& machine) {
  if (machine.removed) return;
  const std::vector<TaskStatus> tasks = machine.worker.tasks();
  for (const TaskStatus& status : tasks) {
    if (status.state == TaskState::kEnded) continue;
    const std::string& job = status.task.job.value;
    const bool small = job.size() > 4;  // submitted by SubmitManySmallJobs
    const bool completes = job == "j-4" || job == "j-7" || (job == "j-5" && random_.Chance(0.5));
    if (completes || small) {
      if (!random_.Chance(small ? 0.3 : 0.04)) continue;
      cluster_.ScheduleAfter(random_.Duration(0, 1),
                             [=, this, &machine] { CompleteTask(machine, status.task); });
    } else if (job == "j-3" || job == "j-5" || job == "j-6" || job == "j-8") {
      if (!random_.Chance(task_failure_rate_)) continue;
      const ExitReason reason = random_.Chance(0.5) ? ExitReason::kError : ExitReason::kStopped;
      cluster_.ScheduleAfter(random_.Duration(0, 1), [=, this, &machine] {
        if (machine.removed || !machine.worker.HasLiveTask(status.task)) return;
        machine.worker.End(status.task, reason);
        cluster_.OnWorkerChanged(machine);
      });
    }
  }
}

void SeedRun::CompleteTask(Machine& machine, const TaskId& task) {
  if (machine.removed || !machine.worker.HasLiveTask(task)) return;
  machine.worker.End(task, ExitReason::kDone);
  cluster_.completed.insert(task);
  cluster_.OnWorkerChanged(machine);
  const std::string& job = task.job.value;
  for (std::uint32_t i = 0; i < job_sizes_[job]; ++i)
    if (!cluster_.completed.contains({{job}, i})) return;
  // Users send requests around the end of the job's last task.
  if (random_.Chance(0.4)) PollAllControllersConcurrently(job);
  if (random_.Chance(0.2))
    cluster_.ScheduleAfter(random_.Duration(0, 0.6),
                           [=, this] { cluster_.CancelConcurrently(job, random_.Pick(labels_)); });
}

void SeedRun::ClearFaults() {
  slow_call_rate_ = lost_response_rate_ = task_failure_rate_ = 0;
  cluster_.store.outage = false;
  cluster_.partitions.clear();
  cluster_.paused_until.clear();
  cluster_.delay_command = [] { return std::nullopt; };
  cluster_.repeat_command = [] { return std::nullopt; };
  cluster_.repeat_heartbeat = [] { return std::nullopt; };
  cluster_.on_leader_loading = nullptr;
  for (const std::string& label : labels_) {
    if (!cluster_.controllers.contains(label)) cluster_.StartController(label);
    cluster_.controllers.at(label)->store.refused = false;
    cluster_.controllers.at(label)->store.rate_limited = [] { return false; };
  }
  for (Machine& machine : cluster_.machines) {
    machine.receives_nothing = machine.slow_heartbeats = machine.sends_nothing =
        machine.partitioned = false;
    machine.only_reachable_from.clear();
  }
}

void SeedRun::PollAllJobsAtAllControllers() {
  workload_ended_ = true;
  cluster_.Run({2});
  cluster_.inject_fault = nullptr;
  for (const auto& [job, tasks] : cluster_.jobs)
    for (const std::string& label : labels_) {
      bool answered = false;
      for (int i = 0; i < 20 && !answered; ++i) {
        cluster_.SendUserRequest(
            label, [job](JobApi& api) { return api.Query(job); },
            [&, known = cluster_.CurrentUserView(job)](const HttpResponse& response) {
              answered = response.status == 200;
              cluster_.CheckResponse(job, known, response);
            });
        cluster_.Run({0.2});
      }
      if (!answered) result_.violations.insert("unanswered");
    }
  cluster_.Run({1});
}

SeedResult RunSeed(std::uint64_t seed, BrokenBroadcast broken_broadcast,
                   DecisionDigest* decisions) {
  return SeedRun(seed, broken_broadcast, decisions).Run();
}

}  // namespace magpie::testing
