#include "scheduling/task_lifecycle.h"

#include <algorithm>
#include <string>

#include "model/safety_checks.h"
#include "scheduling/fencing.h"
#include "scheduling/image_cache.h"

namespace magpie {

void TaskLifecycle::AssignToMachine(Job& job, std::uint32_t index, Machine& machine) {
  Task& task = job.tasks[index];
  task.machine = &machine;
  task.holds_resources = true;
  machine.tasks.push_back({&job, index});
  machine.used += job.spec.per_task;
  if (job.spec.kind == JobKind::kArray) {
    ++machine.array_tasks;
    state_.array_cpus.at(static_cast<std::size_t>(job.spec.priority)) += job.spec.per_task.cpus;
  }
  ++job.bound;
  ++job.tasks_by_zone[machine.zone];
  state_.quotas.AddTask(job);
  state_.machines.UpdateZoneCount(machine);
  state_.signals.MarkChanged();
}

void TaskLifecycle::RemoveFromMachine(Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  Machine& machine = *task.machine;
  const auto attempt =
      std::find_if(machine.tasks.begin(), machine.tasks.end(),
                   [&](const HeldTask& held) { return held.job == &job && held.index == index; });
  RevokeStarts(machine, *attempt);
  machine.tasks.erase(attempt);
  FreeResources(job, task);
  task.machine = nullptr;
  --job.bound;
  if (--job.tasks_by_zone[machine.zone] == 0) job.tasks_by_zone.erase(machine.zone);
  state_.quotas.RemoveTask(job);
  state_.machines.UpdateZoneCount(machine);
  state_.signals.MarkChanged();
}

void TaskLifecycle::FreeResources(const Job& job, Task& task) {
  if (!task.holds_resources || task.machine == nullptr) return;
  task.holds_resources = false;
  state_.signals.MarkChanged();
  task.machine->used -= job.spec.per_task;
  if (job.spec.kind != JobKind::kArray) return;
  --task.machine->array_tasks;
  state_.array_cpus.at(static_cast<std::size_t>(job.spec.priority)) -= job.spec.per_task.cpus;
}

void TaskLifecycle::Bind(Job& job, std::uint32_t index, Machine& machine, Instant now) {
  Task& task = job.tasks[index];
  task.state = TaskPhase::kBinding;
  ++task.attempt.value;
  task.listed = false;
  task.running = false;
  task.stop_requested = false;
  task.result_unconfirmed = false;
  task.overrun_counted = false;
  task.start_observed = true;
  task.since = now;
  AssignToMachine(job, index, machine);
  state_.unpersisted.MarkTask(job, index, now);
  job.bindings_unpersisted = true;
  if (state_.decisions.enabled())
    state_.decisions.Add(
        "bind task=" + job.spec.id.value + "/" + std::to_string(index) +
        " class=" + job.spec.job_class + " attempt=" + std::to_string(task.attempt.value) +
        " machine=" + machine.id.value + (HasImage(machine, job.image) ? "" : " fetch_image=true"));
}

void TaskLifecycle::Unbind(Job& job, std::uint32_t index, UnbindReason reason, Instant now) {
  Task& task = job.tasks[index];
  state_.overdue.Remove(job, index);
  if (task.machine != nullptr) {
    Machine& machine = *task.machine;
    RemoveFromMachine(job, index);
    LogUnbound(state_.decisions, machine, {job.spec.id, index}, task.attempt, reason);
    if (machine.tasks.empty()) machine.used = {};
    machine.idle_since = now;
  }
  task.listed = task.running = task.stop_requested = task.result_unconfirmed = false;
  if (task.state == TaskPhase::kEnding || task.state == TaskPhase::kDone) {
    task.state = TaskPhase::kDone;
    return;
  }
  state_.signals.RequestTick();
  task.state = TaskPhase::kPending;
  if (!job.cancelled) {
    job.pending.push_front(index);
    state_.jobs.queued().insert(&job);
  }
  if (IsFinal(job)) state_.unpersisted.MarkJob(job.spec.id);
}

void TaskLifecycle::ConfirmBinding(Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  task.state = TaskPhase::kBound;
  if (job.cancelled) task.stop_requested = true;
  state_.commands.Request(*task.machine);
}

void TaskLifecycle::RestoreBinding(Job& job, std::uint32_t index, Machine& machine) {
  Task& task = job.tasks[index];
  task.state = TaskPhase::kBound;
  task.stop_requested = job.cancelled;
  AssignToMachine(job, index, machine);
}

void TaskLifecycle::DiscardBinding(Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  if (task.machine == nullptr) return;
  RemoveFromMachine(job, index);
  task.state = TaskPhase::kPending;
}

void TaskLifecycle::SetDone(Job& job, std::uint32_t index, Instant now) {
  Task& task = job.tasks[index];
  if (task.state == TaskPhase::kPending)
    job.pending.erase(std::remove(job.pending.begin(), job.pending.end(), index),
                      job.pending.end());
  state_.overdue.Remove(job, index);
  task.result_unconfirmed = false;
  task.state = TaskPhase::kEnding;
  if (++job.done == job.spec.tasks) state_.quotas.DropClaim(job);
  FreeResources(job, task);
  if (task.machine != nullptr && IsDisabled(SafetyCheck::kQuotaUntilDurable))
    RemoveFromMachine(job, index);
  state_.signals.RequestTick();
  state_.unpersisted.MarkTask(job, index, now);
}

void TaskLifecycle::SetResultUnconfirmed(Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  task.result_unconfirmed = true;
  ClearStart(job, index);
  FreeResources(job, task);
  state_.signals.RequestTick();
}

void TaskLifecycle::ClearStart(Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  task.running = task.start_observed = false;
  state_.overdue.Remove(job, index);
}

void TaskLifecycle::EndWithJob(Job& job, std::uint32_t index, Instant now) {
  job.tasks[index].state = TaskPhase::kEnding;
  Unbind(job, index, UnbindReason::kCompleted, now);
}

void TaskLifecycle::FinishAttempt(Job& job, std::uint32_t index, UnbindReason reason, Instant now) {
  if (job.tasks[index].result_unconfirmed && !job.cancelled)
    SetDone(job, index, now);
  else
    Unbind(job, index, reason, now);
}

void TaskLifecycle::StopAll(Job& job) {
  job.pending.clear();
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    Task& task = job.tasks[index];
    if (task.machine == nullptr) continue;
    if (task.state == TaskPhase::kEnding) {  // it has ended, so there is no attempt to stop
      Unbind(job, index, UnbindReason::kCompleted, task.since);
      continue;
    }
    task.stop_requested = true;
    task.termination_grace_period = {};
    state_.commands.Request(*task.machine);
  }
}

void TaskLifecycle::StopTask(const HeldTask& held, Seconds termination_grace_period) {
  Task& task = held.task();
  task.stop_requested = true;
  task.termination_grace_period = termination_grace_period;
  state_.service_metrics.Count(held.job->spec, &ServiceMetrics::Row::stopped);
}

bool TaskLifecycle::IsFinal(const Job& job) const {
  if (job.cancelled) return job.bound == 0 || IsDisabled(SafetyCheck::kFinalAfterUnbound);
  return job.done == job.spec.tasks;
}

}  // namespace magpie
