#include "scheduling/job_ordering.h"

#include <algorithm>
#include <tuple>

#include "overload/overload_policy.h"
#include "provisioning/machine_fit.h"

namespace magpie {
namespace {

constexpr double kFloorFraction = 0.25;  // of the capacity available to arrays
// Arrays do not preempt lower-priority arrays while these hold at most this multiple of the floor.
constexpr double kMinFloorsForPreemption = 2;
constexpr JobRank kRankAfterGuaranteed{0, 1};  // behind all jobs of tier 0 of JobRank

void SortByRank(std::vector<QueuedJob>& jobs) {
  std::sort(jobs.begin(), jobs.end(), [](const QueuedJob& a, const QueuedJob& b) {
    return std::tie(a.rank, a.job->spec.id) < std::tie(b.rank, b.job->spec.id);
  });
}

void SortForPlanning(std::vector<QueuedJob>& jobs) {
  std::sort(jobs.begin(), jobs.end(), [](const QueuedJob& a, const QueuedJob& b) {
    return std::tie(a.rank, a.deferred, a.sort_key, a.job->spec.id) <
           std::tie(b.rank, b.deferred, b.sort_key, b.job->spec.id);
  });
}

bool HasDeferredJob(const std::vector<QueuedJob>& jobs, Priority priority) {
  return std::any_of(jobs.begin(), jobs.end(), [&](const QueuedJob& queued) {
    return queued.deferred && queued.job->spec.priority == priority;
  });
}

}  // namespace

OrderedJobs JobOrdering::Order(Instant now, WallTime wall) {
  OrderedJobs ordered{CollectJobs(now, wall), std::nullopt};
  SortByRank(ordered.jobs);
  const bool any_deferred = DeferLateJobs(ordered.jobs).has_value();
  SortForPlanning(ordered.jobs);
  if (any_deferred) {
    ReserveFloor(ordered);
    SortForPlanning(ordered.jobs);
  }
  return ordered;
}

std::vector<QueuedJob> JobOrdering::CollectJobs(Instant now, WallTime wall) {
  std::vector<QueuedJob> jobs;
  JobTable::Queue& queue = state_.jobs.queued();
  const FailureAttribution& failures = state_.failure_attribution;
  for (auto position = queue.begin(); position != queue.end();) {
    Job* job = *position;
    if (job->pending.empty() || job->cancelled) {
      position = queue.erase(position);
      continue;
    }
    ++position;
    // A job that may itself be faulty runs few tasks at once, so that it does not take capacity or
    // machines from other jobs.
    std::uint32_t max_tasks = failures.MaxConcurrentTasks(job->serial);
    if (max_tasks <= job->bound || now < failures.NotBefore(job->serial)) continue;
    if (max_tasks != FailureAttribution::kUnlimited) max_tasks -= job->bound;
    QueuedJob& queued = jobs.emplace_back();
    queued.job = job;
    queued.due = due_times_.Calculate(*job, wall);
    queued.rank = RankOf(*job, state_.quotas);
    queued.max_tasks = max_tasks;
  }
  return jobs;
}

std::optional<Priority> JobOrdering::DeferLateJobs(std::vector<QueuedJob>& jobs) const {
  Seconds work_ahead;
  std::optional<Priority> lowest_deferred;
  for (std::size_t begin = 0; begin < jobs.size();) {
    std::size_t end = begin;
    while (end < jobs.size() && jobs[end].rank == jobs[begin].rank) ++end;
    const std::span<QueuedJob> same_rank(jobs.data() + begin, end - begin);
    const Priority priority = same_rank.front().job->spec.priority;
    // Jobs of lower priority than a deferred job get only the floor, and no work precedes them
    // there.
    const bool has_floor_only = lowest_deferred && priority < *lowest_deferred;
    const Seconds work =
        has_floor_only ? DeferLateJobsOfRank(same_rank, Seconds{}, kFloorFraction)
                       : DeferLateJobsOfRank(same_rank, work_ahead + RunningWorkFrom(priority), 1);
    work_ahead = work_ahead + work;
    for (const QueuedJob& queued : same_rank)
      if (queued.deferred && (!lowest_deferred || priority < *lowest_deferred))
        lowest_deferred = priority;
    begin = end;
  }
  return lowest_deferred;
}

// Defers the jobs of one rank that can meet no target, given the work ahead of them and this
// fraction of the capacity. Returns the work of all jobs of the rank.
Seconds JobOrdering::DeferLateJobsOfRank(std::span<QueuedJob> jobs, Seconds work_ahead,
                                         double capacity_fraction) const {
  std::vector<QueuedJob*> arrays;
  std::vector<WaitingWork> waiting;
  Seconds deferred_work{};
  Seconds overdue_work{};
  for (QueuedJob& queued : jobs) {
    queued.sort_key = queued.due.target;
    if (queued.job->spec.kind == JobKind::kService) continue;
    const Seconds work = (1 / capacity_fraction) * RemainingWork(queued);
    if (queued.due.long_overdue) {
      overdue_work = overdue_work + work;
    } else if (queued.due.targets.empty()) {
      queued.deferred = true;
      queued.sort_key = work;
      deferred_work = deferred_work + work;
    } else {
      arrays.push_back(&queued);
      waiting.push_back({work, queued.due.run_time, queued.due.targets});
    }
  }
  const OverloadDecision decision =
      PlanForTargets(waiting, work_ahead + overdue_work, state_.options.weights.alpha);
  for (std::size_t i = 0; decision.overloaded && i < arrays.size(); ++i) {
    QueuedJob& queued = *arrays[i];
    const std::optional<std::size_t> target = decision.planned_target[i];
    queued.deferred = !target;
    queued.sort_key = target ? queued.due.targets[*target] : waiting[i].work;
    if (queued.deferred) deferred_work = deferred_work + waiting[i].work;
  }
  return overdue_work + decision.planned_work + deferred_work;
}

// The time for which the job's waiting tasks would occupy all the capacity that they may use.
Seconds JobOrdering::RemainingWork(const QueuedJob& queued) const {
  const JobSpec& spec = queued.job->spec;
  const Resources& per_task = spec.per_task;
  if (capacity_.by_kind.empty()) return {};
  double concurrent = 0;
  for (std::size_t kind = 0; kind < capacity_.by_kind.size(); ++kind) {
    const KindCapacity& capacity = capacity_.by_kind[kind];
    const KindInfo& info = state_.kinds.all()[kind];
    if (capacity.machines == 0 || !CanRunOnKind(spec, info)) continue;
    const Resources& free = capacity.without_services;
    double fitting =
        capacity.machines * static_cast<double>(TasksThatFit(info.type->capacity, per_task));
    if (per_task.cpus > 0) fitting = std::min(fitting, free.cpus / per_task.cpus);
    if (per_task.gpus > 0) fitting = std::min(fitting, free.gpus / per_task.gpus);
    if (per_task.memory_gb > 0) fitting = std::min(fitting, free.memory_gb / per_task.memory_gb);
    concurrent += fitting;
  }
  const auto tasks = std::min<std::size_t>(queued.job->pending.size(), queued.max_tasks);
  return {static_cast<double>(tasks) * queued.due.run_time.value / std::max(concurrent, 1.0)};
}

// The remaining work of running arrays of this or a higher priority, which jobs of this priority do
// not preempt.
Seconds JobOrdering::RunningWorkFrom(Priority priority) const {
  Seconds busy;
  for (auto p = static_cast<std::size_t>(priority); p < capacity_.remaining_run_time.size(); ++p)
    busy = busy + capacity_.remaining_run_time.at(p);
  return busy;
}

// CPUs in use by arrays of lower priority.
double JobOrdering::ArrayCpusBelow(Priority priority) const {
  double cpus = 0;
  for (std::size_t p = 0; p < static_cast<std::size_t>(priority); ++p)
    cpus += state_.array_cpus.at(p);
  return cpus;
}

// Moves less urgent jobs that can be in time forward, up to the floor, directly behind the jobs of
// tier 0 (JobRank::tier).
void JobOrdering::ReserveFloor(OrderedJobs& ordered) const {
  const double floor = kFloorFraction * capacity_.array_cpus;
  for (const Priority overloaded : {Priority::kNormal, Priority::kHigh, Priority::kProduction}) {
    if (!HasDeferredJob(ordered.jobs, overloaded)) continue;
    double floor_cpus_used = ArrayCpusBelow(overloaded);
    // Jobs of the overloaded priority are then ranked behind the moved jobs. Their arrays may
    // preempt lower-priority arrays only while these hold far more capacity than the floor.
    if (floor_cpus_used <= kMinFloorsForPreemption * floor)
      ordered.max_non_preempting_priority = overloaded;
    for (QueuedJob& queued : ordered.jobs) {
      if (floor_cpus_used >= floor) break;
      const JobSpec& spec = queued.job->spec;
      if (spec.kind == JobKind::kService || spec.priority >= overloaded || queued.deferred ||
          queued.rank <= kRankAfterGuaranteed)
        continue;
      queued.rank = kRankAfterGuaranteed;
      floor_cpus_used += static_cast<double>(queued.job->pending.size()) * spec.per_task.cpus;
    }
  }
}

}  // namespace magpie
