#include "scheduling/task_status_processor.h"

#include <utility>

#include "model/safety_checks.h"
#include "scheduling/image_cache.h"

namespace magpie {
namespace {
// Delays before the next placement of a job after a worker refused to start one of its tasks.
constexpr Seconds kUnknownTaskDelay{2};  // the worker has not received the task's description yet
constexpr Seconds kInsufficientCapacityDelay{0.5};

// Whether the task's image is in the machine's cache, judged by the task's status.
bool HasFetchedImage(const TaskStatus& status) {
  return status.state != TaskState::kFetching &&
         status.reason != ExitReason::kInsufficientCapacity &&
         status.reason != ExitReason::kUnknown && status.reason != ExitReason::kBusy;
}
}  // namespace

void TaskStatusProcessor::Apply(Machine& machine, const TaskStatus& status, Instant now) {
  Job* job = state_.jobs.FindFrom(machine, status.task.job);
  if (job == nullptr || status.task.index >= job->tasks.size()) return;
  Task& task = job->tasks[status.task.index];
  const bool bound_here = task.machine == &machine && task.attempt == status.attempt &&
                          (task.state == TaskPhase::kBound || task.state == TaskPhase::kEnding);
  if (!bound_here) {
    ApplyToUnboundAttempt(*job, status, now);
    return;
  }
  task.listed = true;
  if (HasFetchedImage(status)) RecordImage(machine, *job, state_.autoscaler);
  if (status.state == TaskState::kEnded)
    ApplyEnded(machine, *job, status, now);
  else
    ApplyActive(machine, *job, status, now);
}

void TaskStatusProcessor::ApplyToUnboundAttempt(Job& job, const TaskStatus& status, Instant now) {
  const Task& task = job.tasks[status.task.index];
  if (status.state == TaskState::kEnded && status.reason == ExitReason::kDone &&
      (task.state == TaskPhase::kPending || IsDisabled(SafetyCheck::kResultOnlyIfUnbound)) &&
      !job.cancelled)
    lifecycle_.SetDone(job, status.task.index, now);
}

void TaskStatusProcessor::ApplyActive(Machine& machine, Job& job, const TaskStatus& status,
                                      Instant now) {
  const std::uint32_t index = status.task.index;
  Task& task = job.tasks[index];
  // The attempt was started again. The worker ends it as done as soon as its image is fetched,
  // since it has recorded that the task completed.
  if (task.result_unconfirmed) return;
  const bool running = status.state == TaskState::kRunning;
  const bool started = running && !task.running;
  if (started) task.since = now;
  if (started && !std::exchange(job.has_started, true))
    state_.service_metrics.Count(job.spec, &ServiceMetrics::Row::started);
  task.running = running;
  if (started) slow_machines_.OnStarted(job, index);
  if (!running) return;
  slow_machines_.OnRunning(job, index, now);
  if (state_.failure_attribution.HasSuspicion(job.serial))
    ApplyVerdict(
        state_.failure_attribution.OnTaskRunning(job.serial, machine.id, now - task.since));
}

// It is safe to unbind an attempt that the worker lists as ended: while it is listed, a delayed
// `run` of it has no effect, and a forget command for it is sent only when no such `run` is in
// flight (CommandBuilder).
void TaskStatusProcessor::ApplyEnded(Machine& machine, Job& job, const TaskStatus& status,
                                     Instant now) {
  const std::uint32_t index = status.task.index;
  const Task& task = job.tasks[index];
  if (task.state == TaskPhase::kEnding) return;
  // The message may be from before this term, and the attempt may be running again. A result
  // remains valid, but the attempt's quota must not be reused while the attempt may run. So the
  // task stays bound until the worker has seen this term's token and repeats the result, usually in
  // its next message, or until the attempt is proved to have ended in another way.
  if (machine.seen_token < state_.term.token && !IsDisabled(SafetyCheck::kEndBeforeThisEpoch)) {
    if (status.reason == ExitReason::kDone && task.state == TaskPhase::kBound && !job.cancelled)
      lifecycle_.SetResultUnconfirmed(job, index);
    return;
  }
  switch (status.reason) {
    case ExitReason::kDone:
      ApplyCompleted(machine, job, index, now);
      return;
    case ExitReason::kError:
      ApplyVerdict(state_.failure_attribution.OnTaskFailed(
          job.serial, machine.id, task.running ? now - task.since : Seconds{}, now));
      break;
    case ExitReason::kUnknown:
      job.not_before = now + kUnknownTaskDelay;
      break;
    case ExitReason::kInsufficientCapacity:
      job.not_before = now + kInsufficientCapacityDelay;
      break;
    case ExitReason::kNone:
    case ExitReason::kStopped:
    case ExitReason::kBusy:
      break;
  }
  lifecycle_.FinishAttempt(job, index, UnbindReason::kEnded, now);
}

void TaskStatusProcessor::ApplyCompleted(Machine& machine, Job& job, std::uint32_t index,
                                         Instant now) {
  ApplyVerdict(state_.failure_attribution.OnTaskCompleted(job.serial, machine.id));
  slow_machines_.OnCompleted(machine, job, job.tasks[index], now);
  if (job.cancelled)
    lifecycle_.Unbind(job, index, UnbindReason::kEnded, now);
  else
    lifecycle_.SetDone(job, index, now);
}

void TaskStatusProcessor::ApplyVerdict(const FailureAttribution::Verdict& verdict) {
  for (const MachineId& id : verdict.faulty) {
    Machine* machine = state_.machines.Find(id);
    if (machine == nullptr || std::exchange(machine->cordoned, true)) continue;
    state_.decisions.Add("cordon machine=" + id.value + " reason=faulty");
    state_.machines.heartbeats().Watch(*machine);
    state_.signals.RequestInspection();
  }
  if (!verdict.faulty.empty() || !verdict.suspected.empty()) state_.signals.MarkChanged();
}

}  // namespace magpie
