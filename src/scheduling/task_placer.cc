#include "scheduling/task_placer.h"

#include <algorithm>
#include <string>
#include <utility>

namespace magpie {

struct TaskPlacer::JobPlacement {
  PlanningRound& round;
  const QueuedJob& queued;
  std::optional<Priority> max_non_preempting_priority;
  Instant now;
  CandidateSelector selector;
  std::size_t waiting = 0;   // pending tasks with a reservation
  bool within_quota = true;  // the next task is within the quota with all reservations counted

  Job& job() const { return *queued.job; }
  const JobSpec& spec() const { return queued.job->spec; }
  bool is_service() const { return spec().kind == JobKind::kService; }
  // The job may be faulty: it preempts no tasks, and no machine is provisioned for it while an
  // existing one suits its task.
  bool is_limited() const { return queued.max_tasks != FailureAttribution::kUnlimited; }
  void CountUsage() { round.usage[spec().team] += spec().per_task; }
  void CountNearTermUsage() { round.near_term_usage[spec().team] += spec().per_task; }
};

void TaskPlacer::Place(PlanningRound& round, const QueuedJob& queued,
                       std::optional<Priority> max_non_preempting_priority, Instant now,
                       int& budget) {
  const Job& job = *queued.job;
  ++state_.counters.jobs_planned;
  JobPlacement placement{round, queued, max_non_preempting_priority, now,
                         CandidateSelector(state_, round.plan, job, queued.due.target, now)};
  std::uint32_t tasks_left = queued.max_tasks;
  while (job.pending.size() > placement.waiting && budget > 0 && tasks_left > 0) {
    placement.within_quota = state_.quotas.WithinQuota(job, round.usage, job.spec.per_task);
    // Near-term usage is part of the total usage, so it is checked only if the total is too high.
    if (!placement.within_quota &&
        !state_.quotas.WithinQuota(job, round.near_term_usage, job.spec.per_task))
      return;
    --budget;
    --tasks_left;
    if (PlaceNextTask(placement) == Progress::kStop) return;
  }
}

TaskPlacer::Progress TaskPlacer::PlaceNextTask(JobPlacement& placement) {
  PlanningRound& round = placement.round;
  const QueuedJob& queued = placement.queued;
  if (round.may_scale_out) {
    std::uint32_t& unplaced = round.unplaced_by_shape[placement.job().shape];
    if (unplaced > 0) --unplaced;
  }
  const auto selection = placement.selector.Select();
  const bool available_now = selection && selection->option.available_now;
  // If the quota is exceeded with all reservations counted, including those far in the future, a
  // task that cannot start now is not placed: nothing is reserved, provisioned or preempted for it.
  if (!placement.within_quota && !available_now) return Progress::kStop;
  const bool late = !IsInTime(queued.due.provisioning_target, selection);
  const bool may_provision = !placement.is_limited() || !selection;
  if (late && round.may_scale_out && !available_now && may_provision &&
      ScaleOut(placement, selection)) {
    placement.CountUsage();
    placement.CountNearTermUsage();
    ++placement.waiting;
    return Progress::kContinue;
  }
  if (PreemptIfLate(placement, selection) == Progress::kStop || !selection) return Progress::kStop;
  ApplySelection(placement, *selection);
  return Progress::kContinue;
}

bool TaskPlacer::IsInTime(Seconds target,
                          const std::optional<CandidateSelector::Selection>& selection) const {
  return selection && Slack(target, selection->option, state_.options.weights).value >= 0;
}

TaskPlacer::Progress TaskPlacer::PreemptIfLate(
    JobPlacement& placement, const std::optional<CandidateSelector::Selection>& selection) {
  const QueuedJob& queued = placement.queued;
  if (IsInTime(queued.due.target, selection) || placement.is_limited()) return Progress::kContinue;
  const bool available_now = selection && selection->option.available_now;
  if (!available_now) {
    // A deferred job would be late anyway.
    if (!queued.deferred) Preempt(placement);
    return Progress::kContinue;
  }
  // A replica starts earlier on a machine that has its image, once work is preempted there, than on
  // the selected machine after an image fetch.
  const bool has_to_fetch = selection->option.wait.value > 0;
  return placement.is_service() && has_to_fetch && Preempt(placement) ? Progress::kStop
                                                                      : Progress::kContinue;
}

void TaskPlacer::ApplySelection(JobPlacement& placement,
                                const CandidateSelector::Selection& selection) {
  constexpr Seconds kNearTermWait{60};
  PlanningRound& round = placement.round;
  Job& job = placement.job();
  const PlacementOption& option = selection.option;
  const Instant end = placement.now + option.wait + option.run_time;
  round.plan.Reserve(selection.machine_index, selection.start, placement.spec().per_task,
                     placement.is_service() ? std::nullopt : std::optional(end));
  placement.CountUsage();
  Machine* machine = round.plan.machines()[selection.machine_index].machine;
  const bool is_booting = machine == nullptr || !machine->up;
  if (option.available_now || is_booting || option.wait <= kNearTermWait)
    placement.CountNearTermUsage();
  if (!option.available_now) {
    ++placement.waiting;
    return;
  }
  const std::uint32_t task_index = job.pending.front();
  job.pending.pop_front();
  lifecycle_.Bind(job, task_index, *machine, placement.now);
}

bool TaskPlacer::ScaleOut(JobPlacement& placement,
                          const std::optional<CandidateSelector::Selection>& selection) {
  constexpr double kMinGainFraction = 0.25;  // fraction of the boot time and of the run time
  PlanningRound& round = placement.round;
  const Job& job = placement.job();
  const Instant now = placement.now;
  CapacityDemand demand;
  demand.spec = &job.spec;
  demand.zone_allowed = [&](const std::string& zone) { return IsZoneAllowed(job, zone); };
  demand.tasks = std::max(1U, round.unplaced_by_shape[job.shape]);
  demand.target = placement.queued.due.provisioning_target;
  demand.required = !selection;
  demand.run_time = [&](const MachineType& type) {
    return state_.run_times.ExpectedOnType(job.spec, type.name);
  };
  const auto offer = state_.autoscaler.ChooseMachine(demand, round.machines_by_kind, now);
  if (!offer) return false;
  const Seconds run_time = state_.run_times.ExpectedOnType(job.spec, offer->kind.type);
  const Seconds min_gain =
      std::max(kMinGainFraction * offer->type->boot_time, kMinGainFraction * run_time);
  if (selection &&
      offer->ready + run_time + min_gain >= selection->option.wait + selection->option.run_time)
    return false;
  ++round.scale_outs[offer->kind];
  ++round.machines_by_kind[offer->kind];
  const Instant up_at = now + offer->type->boot_time;
  const Instant end = now + offer->ready + run_time;
  PlannedMachine planned{nullptr, state_.kinds.NumberOf(offer->kind),
                         ResourceTimeline(offer->type->capacity, up_at), false, true};
  planned.timeline.Reserve(up_at, job.spec.per_task,
                           placement.is_service() ? std::nullopt : std::optional(end));
  round.plan.Add(std::move(planned));
  return true;
}

bool TaskPlacer::Preempt(JobPlacement& placement) {
  constexpr Seconds kSaveMargin{1};
  const std::vector<Preemption> preemptions = preemption_planner_.Plan(
      placement.round, placement.job(), placement.max_non_preempting_priority, placement.now);
  for (const Preemption& preemption : preemptions) {
    for (const HeldTask& victim : preemption.victims) {
      const JobSpec& spec = victim.job->spec;
      const bool saves_checkpoint = spec.checkpoint_interval.value > 0;
      lifecycle_.StopTask(victim, saves_checkpoint ? spec.save_duration + kSaveMargin : Seconds{0});
      if (state_.decisions.enabled())
        state_.decisions.Add("preempt job=" + spec.id.value +
                             " for_job=" + placement.spec().id.value);
    }
    state_.commands.Request(*preemption.machine);
  }
  return !preemptions.empty();
}

}  // namespace magpie
