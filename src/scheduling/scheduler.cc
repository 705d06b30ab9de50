#include "scheduling/scheduler.h"

#include <utility>

namespace magpie {

Scheduler::Scheduler(Options options, Autoscaler::Options autoscaler_options)
    : state_(std::move(options), autoscaler_options),
      lifecycle_(state_),
      cloud_(state_, lifecycle_),
      slow_machines_(state_, lifecycle_),
      task_statuses_(state_, lifecycle_, slow_machines_),
      command_builder_(state_),
      heartbeats_(state_, lifecycle_, cloud_, task_statuses_, command_builder_),
      probes_(state_, alarm_),
      dispatcher_(state_, command_builder_, heartbeats_, probes_, alarm_),
      failure_detector_(state_, lifecycle_, cloud_, alarm_),
      loader_(state_, lifecycle_),
      writer_(state_, lifecycle_),
      planner_(state_, lifecycle_) {}

void Scheduler::Start(Revision epoch, std::string request_prefix, Instant now) {
  Stop();
  state_.term.token = FirstFencingToken(epoch);
  cloud_.Start(std::move(request_prefix), now);
  writer_.Start(now);
}

void Scheduler::Stop() {
  state_.Clear();
  alarm_.Clear();
  cloud_.Clear();
  heartbeats_.Clear();
  probes_.Clear();
  failure_detector_.Clear();
  writer_.Clear();
  planner_.Clear();
}

void Scheduler::SetTypes(std::vector<MachineType> types) {
  for (const MachineType& type : types) state_.boot_times.SetNominalTime(type.name, type.boot_time);
  state_.autoscaler.SetTypes(std::move(types));
  state_.kinds.RefreshTypes();
  state_.signals.MarkChanged();
}

void Scheduler::FinishLoad(Instant now) {
  loader_.Finish(now);
  // Jobs of earlier terms show the job classes to expect, but not the rate of arrivals.
  for (const auto& [id, job] : state_.jobs.all()) planner_.RecordArrival(*job, 0, now);
  heartbeats_.ApplyBuffered(now);
}

void Scheduler::Tick(Instant now, WallTime wall) {
  if (!state_.term.loaded) return;
  state_.signals.tick_requested = false;
  ApplyJobChanges(now);
  InspectMachines(now);
  const ScaleOutStatus scale_out{cloud_.MayScaleOut(now), cloud_.HasPendingScaleOuts()};
  ApplyPlanningResult(planner_.Plan(scale_out, now, wall), now);
  ++state_.counters.planning_rounds;
}

// Applies arrivals and cancellations of jobs since the last tick.
void Scheduler::ApplyJobChanges(Instant now) {
  std::vector<Job*> arrived;
  for (const JobId& id : state_.jobs.TakeChanged()) {
    Job* job = state_.jobs.Find(id);
    if (job == nullptr) continue;
    if (job->arrived.value == 0) {
      planner_.RecordArrival(*job, job->spec.tasks, now);
      arrived.push_back(job);
    }
    if (!job->cancelled) continue;
    state_.quotas.DropClaim(*job);
    if (job->cancelled_at.value == 0) job->cancelled_at = now;
  }
  state_.quotas.ClaimGuarantees(std::move(arrived));
}

void Scheduler::InspectMachines(Instant now) {
  constexpr Seconds kInspectionInterval{0.25};
  if (now < state_.signals.next_inspection) return;
  state_.signals.next_inspection = now + kInspectionInterval;
  slow_machines_.CheckOverdueTasks(now);
  failure_detector_.InspectMachines(now);
  state_.commands.RetryWithheld();
}

void Scheduler::ApplyPlanningResult(const PlanningResult& result, Instant now) {
  constexpr Seconds kScaleOutInterval{1};
  if (result.planned_scale_out) cloud_.DelayScaleOut(now + kScaleOutInterval);
  for (const auto& [kind, count] : result.scale_outs) cloud_.ScaleOut(kind, count);
  for (Machine* machine : result.releases) cloud_.Release(*machine);
}

std::optional<JobProgress> Scheduler::GetJobProgress(const JobId& id) const {
  const Job* job = state_.jobs.Find(id);
  if (!state_.term.loaded || job == nullptr) return std::nullopt;
  return ProgressOf(*job);
}

}  // namespace magpie
