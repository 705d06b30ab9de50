#include "scheduling/planner.h"

#include <algorithm>
#include <utility>

namespace magpie {
namespace {

// The least that any waiting task needs, separately for each resource.
Resources SmallestDemand(const std::vector<QueuedJob>& jobs) {
  if (jobs.empty()) return {};
  Resources smallest = jobs.front().job->spec.per_task;
  for (const QueuedJob& queued : jobs) {
    const Resources& per_task = queued.job->spec.per_task;
    smallest = {std::min(smallest.cpus, per_task.cpus), std::min(smallest.gpus, per_task.gpus),
                std::min(smallest.memory_gb, per_task.memory_gb)};
  }
  return smallest;
}

}  // namespace

void Planner::Clear() {
  capacity_ = {};
  headroom_.Clear();
  next_full_round_ = {};
  is_time_dependent_ = true;
}

void Planner::RecordArrival(Job& job, std::uint32_t tasks, Instant now) {
  job.arrived = now;
  headroom_.RecordArrival(job, tasks, now);
}

PlanningResult Planner::Plan(const ScaleOutStatus& scale_out, Instant now, WallTime wall) {
  if (state_.autoscaler.types().empty()) return {};
  const OrderedJobs ordered = ordering_.Order(now, wall);
  if (ordered.jobs.empty() && !NeedsFullRound(now)) return {};
  PlanningRound round = StartRound(ordered.jobs, scale_out.allowed, now);
  const bool headroom_reserved = PlaceJobs(round, ordered, now);
  if (!round.is_full) return {};
  if (!headroom_reserved) headroom_.ReserveForServices(round, now);
  is_time_dependent_ = round.is_time_dependent;
  headroom_.ReserveSpotMachines(round, now);
  // While machines are being provisioned, it is not yet known which machines are unneeded.
  if (!scale_out.pending && round.scale_outs.empty()) Consolidate(round.plan, now);
  PlanningResult result;
  result.planned_scale_out = round.may_scale_out;
  result.releases = IdleMachines(round.plan, now);
  result.scale_outs = std::move(round.scale_outs);
  return result;
}

bool Planner::NeedsFullRound(Instant now) const {
  return now >= next_full_round_ && (state_.signals.changed_since_plan || is_time_dependent_);
}

PlanningRound Planner::StartRound(const std::vector<QueuedJob>& jobs, bool may_scale_out,
                                  Instant now) {
  constexpr Seconds kFullRoundInterval{1};
  PlanningRound round(SmallestDemand(jobs));
  round.usage = round.near_term_usage = state_.quotas.usage();
  round.may_scale_out = may_scale_out;
  round.is_full = may_scale_out || now >= next_full_round_;
  if (round.is_full) {
    next_full_round_ = now + kFullRoundInterval;
    UpdateBootTimes(now);
  }
  if (may_scale_out) state_.signals.changed_since_plan = false;
  builder_.AddMachines(round, now);
  if (may_scale_out)
    for (const QueuedJob& queued : jobs)
      round.unplaced_by_shape[queued.job->shape] +=
          std::min(queued.max_tasks, static_cast<std::uint32_t>(queued.job->pending.size()));
  return round;
}

// Updates the expected boot times from recent boots and from the machines that are still booting.
void Planner::UpdateBootTimes(Instant now) {
  for (const HeartbeatIndex::Member* member : state_.machines.heartbeats().watched()) {
    const Machine& machine = MachineOf(*member);
    if (!machine.up && machine.provisioned_by_leader)
      state_.boot_times.RecordWait(machine.type, now - machine.created_at);
  }
  for (const MachineType& type : state_.autoscaler.types())
    state_.autoscaler.SetBootTime(type.name, state_.boot_times.ExpectedTime(type.name, now));
}

bool Planner::PlaceJobs(PlanningRound& round, const OrderedJobs& ordered, Instant now) {
  constexpr int kMaxTasksPerRound = 4000;
  int budget = kMaxTasksPerRound;
  bool headroom_reserved = false;
  for (const QueuedJob& queued : ordered.jobs) {
    const Job& job = *queued.job;
    if (!headroom_reserved && job.spec.priority != Priority::kProduction) {
      headroom_.ReserveForServices(round, now);
      headroom_reserved = true;
    }
    if (now < job.not_before || job.reload_pending) continue;
    // Between two full rounds, jobs that can neither start now nor preempt are skipped.
    if (!round.is_full && !round.plan.HasAvailableMachine() &&
        job.spec.priority <= round.lowest_array_priority)
      continue;
    placer_.Place(round, queued, ordered.max_non_preempting_priority, now, budget);
  }
  return headroom_reserved;
}

void Planner::Consolidate(const PlacementPlan& plan, Instant now) {
  constexpr Seconds kSaveMargin{1};
  const Consolidation consolidation = consolidator_.Plan(plan, now);
  for (Machine* destination : consolidation.destinations) destination->idle_since = now;
  for (Machine* machine : consolidation.to_drain) {
    machine->draining = true;
    state_.machines.heartbeats().Watch(*machine);
    state_.decisions.Add("drain machine=" + machine->id.value);
    for (const HeldTask& held : machine->tasks)
      lifecycle_.StopTask(held, held.job->spec.save_duration + kSaveMargin);
    state_.commands.Request(*machine);
  }
}

std::vector<Machine*> Planner::IdleMachines(const PlacementPlan& plan, Instant now) const {
  std::vector<Machine*> idle;
  const SchedulerOptions& options = state_.options;
  for (const PlannedMachine& planned : plan.machines()) {
    Machine* machine = planned.machine;
    if (machine == nullptr || planned.needed || !machine->up || !machine->tasks.empty()) continue;
    if (now - machine->idle_since > options.idle_timeout &&
        now - machine->created_at > options.min_billed_time &&
        now - state_.term.loaded_at > options.idle_timeout)
      idle.push_back(machine);
  }
  return idle;
}

}  // namespace magpie
