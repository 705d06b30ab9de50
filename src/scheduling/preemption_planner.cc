#include "scheduling/preemption_planner.h"

#include <algorithm>
#include <utility>

#include "scheduling/queued_job.h"

namespace magpie {
namespace {

constexpr Seconds kVictimStopTime{3};  // victims usually stop within this time
constexpr double kMaxLossRatio = 1;    // lost CPU time per CPU time of the preempting task
constexpr std::size_t kMaxPreemptionsPerPlan = 16;  // for one job

// The run time, in seconds, that is lost when the task is stopped.
double LostRunTime(const JobSpec& spec, const Task& task, Instant now) {
  if (!task.running) return 0;
  const bool saves_checkpoint = spec.checkpoint_interval.value > 0;
  return saves_checkpoint ? spec.save_duration.value : (now - task.since).value;
}

}  // namespace

std::vector<Preemption> PreemptionPlanner::Plan(const PlanningRound& round, Job& job,
                                                std::optional<Priority> max_non_preempting_priority,
                                                Instant now) const {
  if (job.spec.priority <= round.lowest_array_priority || now < job.preempt_after) return {};
  const bool is_array = job.spec.kind == JobKind::kArray;
  if (is_array && max_non_preempting_priority && job.spec.priority <= *max_non_preempting_priority)
    return {};
  job.preempt_after = now + kVictimStopTime;
  std::vector<Preemption> preemptions;
  for (const PlannedMachine& planned : round.plan.machines()) {
    if (!IsAllowedOn(planned, job)) continue;
    if (auto preemption = PreemptionOn(planned, job, now))
      preemptions.push_back(*std::move(preemption));
  }
  std::sort(preemptions.begin(), preemptions.end(), [](const Preemption& a, const Preemption& b) {
    return a.lost_cpu_time < b.lost_cpu_time;
  });
  return WithoutGuaranteedWork(preemptions, std::min(job.pending.size(), kMaxPreemptionsPerPlan));
}

bool PreemptionPlanner::IsAllowedOn(const PlannedMachine& planned, const Job& job) const {
  const Machine* machine = planned.machine;
  // Commands might not reach a worker if another controller relays its heartbeats.
  if (!planned.available_now || machine == nullptr || machine->relayed || machine->array_tasks == 0)
    return false;
  const KindInfo& kind = state_.kinds.all()[planned.kind];
  if (!CanRunOnKind(job.spec, kind) || !IsZoneAllowed(job, kind.kind.zone)) return false;
  return job.spec.kind != JobKind::kService || HasImage(*machine, job.image);
}

bool PreemptionPlanner::MayBePreempted(const HeldTask& held, const Job& job) const {
  const Job& other = *held.job;
  const Task& task = held.task();
  return other.spec.kind == JobKind::kArray && other.spec.priority < job.spec.priority &&
         RankOf(job, state_.quotas) < RankOf(other, state_.quotas) &&
         task.state == TaskPhase::kBound && !task.stop_requested && !task.result_unconfirmed;
}

std::vector<PreemptionPlanner::Candidate> PreemptionPlanner::CandidatesOn(const Machine& machine,
                                                                          const Job& job,
                                                                          Instant now) const {
  std::vector<Candidate> candidates;
  for (const HeldTask& held : machine.tasks) {
    if (!MayBePreempted(held, job)) continue;
    const JobSpec& spec = held.job->spec;
    candidates.push_back({LostRunTime(spec, held.task(), now) * spec.per_task.cpus, held});
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.lost_cpu_time < b.lost_cpu_time; });
  return candidates;
}

std::optional<Preemption> PreemptionPlanner::PreemptionOn(const PlannedMachine& planned,
                                                          const Job& job, Instant now) const {
  const Resources& demand = job.spec.per_task;
  Resources free = state_.kinds.all()[planned.kind].type->capacity;
  free -= planned.machine->used;
  Preemption preemption{0, planned.machine, {}};
  for (const Candidate& candidate : CandidatesOn(*planned.machine, job, now)) {
    if (demand.Fits(free)) break;
    free += candidate.task.job->spec.per_task;
    preemption.lost_cpu_time += candidate.lost_cpu_time;
    preemption.victims.push_back(candidate.task);
  }
  if (preemption.victims.empty() || !demand.Fits(free)) return std::nullopt;
  const double own_cpu_time =
      state_.run_times.ExpectedOnKind(job, planned.kind).value * demand.cpus;
  if (job.spec.kind == JobKind::kArray && preemption.lost_cpu_time > kMaxLossRatio * own_cpu_time)
    return std::nullopt;
  return preemption;
}

std::vector<Preemption> PreemptionPlanner::WithoutGuaranteedWork(
    const std::vector<Preemption>& preemptions, std::size_t max_count) const {
  std::vector<Preemption> chosen;
  TeamUsage usage = state_.quotas.usage();
  for (const Preemption& preemption : preemptions) {
    if (chosen.size() == max_count) break;
    TeamUsage usage_after = usage;
    bool is_guaranteed = false;
    for (const HeldTask& victim : preemption.victims) {
      const JobSpec& spec = victim.job->spec;
      is_guaranteed |= state_.quotas.IsGuaranteed(spec.team, usage_after[spec.team]);
      usage_after[spec.team] -= spec.per_task;
    }
    if (is_guaranteed) continue;
    usage = std::move(usage_after);
    chosen.push_back(preemption);
  }
  return chosen;
}

}  // namespace magpie
