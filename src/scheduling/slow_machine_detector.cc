#include "scheduling/slow_machine_detector.h"

#include <algorithm>

namespace magpie {
namespace {
// In multiples of the expected run time.
constexpr double kSlowFactorWhenCompleted = 2;
constexpr double kSlowFactorWhileRunning = 2.5;
constexpr std::size_t kSamplesPerMachine = 3;
}  // namespace

// The run time of a task that started under an earlier leader is unknown.
void SlowMachineDetector::OnCompleted(Machine& machine, Job& job, const Task& task, Instant now) {
  if (!task.running || !task.start_observed || job.cancelled) return;
  const Seconds run_time = now - task.since;
  if (!task.overrun_counted) RecordRunTime(machine, job, run_time, RunStatus::kCompleted);
  // Run times on slow machines and of attempts resumed from a checkpoint are not representative of
  // the machine type.
  if (!machine.cordoned && (task.attempt.value == 1 || job.spec.checkpoint_interval.value <= 0))
    state_.run_times.Learn(machine, job, run_time);
}

void SlowMachineDetector::RecordRunTime(Machine& machine, const Job& job, Seconds run_time,
                                        RunStatus status) {
  if (job.spec.estimate.value <= 0) return;
  const auto median_ratio = job.pace.MedianOnOtherMachines(PaceKeyOf(machine.id));
  const double expected = median_ratio
                              ? *median_ratio * job.spec.estimate.value
                              : state_.run_times.ExpectedOnType(job.spec, machine.type).value;
  const double limit =
      status == RunStatus::kCompleted ? kSlowFactorWhenCompleted : kSlowFactorWhileRunning;
  const bool slow = run_time.value >= limit * expected;
  if (status == RunStatus::kStillRunning && !slow) return;
  if (!median_ratio)
    std::erase_if(machine.pace, [&](const auto& sample) { return sample.job == job.spec.id; });
  machine.pace.push_back({job.spec.id, slow});
  if (machine.pace.size() > kSamplesPerMachine) machine.pace.pop_front();
  if (machine.cordoned || machine.pace.size() < kSamplesPerMachine) return;
  if (std::all_of(machine.pace.begin(), machine.pace.end(),
                  [](const auto& sample) { return sample.slow; }))
    CordonSlowMachine(machine);
}

void SlowMachineDetector::CordonSlowMachine(Machine& machine) {
  machine.cordoned = true;
  state_.machines.heartbeats().Watch(machine);
  state_.signals.MarkChanged();
  if (state_.decisions.enabled())
    state_.decisions.Add("cordon machine=" + machine.id.value + " reason=slow");
  state_.signals.RequestInspection();
  for (const HeldTask& held : machine.tasks) {
    const JobSpec& spec = held.job->spec;
    if (spec.kind != JobKind::kArray || spec.checkpoint_interval.value <= 0 ||
        held.task().stop_requested)
      continue;
    lifecycle_.StopTask(held, spec.save_duration + Seconds{1});
  }
  state_.commands.Request(machine);
}

void SlowMachineDetector::OnStarted(Job& job, std::uint32_t index) {
  const Task& task = job.tasks[index];
  state_.overdue.Remove(job, index);
  if (!task.start_observed || task.overrun_counted || task.machine == nullptr ||
      job.spec.kind != JobKind::kArray)
    return;
  const Seconds expected = state_.run_times.ExpectedOnMachine(job, *task.machine);
  if (expected.value <= 0) return;
  state_.overdue.Add(job, index, task.since + kSlowFactorWhileRunning * expected);
}

void SlowMachineDetector::OnRunning(Job& job, std::uint32_t index, Instant now) {
  Task& task = job.tasks[index];
  if (!task.overdue) return;
  const Seconds expected = state_.run_times.ExpectedOnMachine(job, *task.machine);
  if (now - task.since < kSlowFactorWhileRunning * expected) return;
  state_.overdue.Remove(job, index);
  task.overrun_counted = true;
  if (!task.machine->cordoned)
    RecordRunTime(*task.machine, job, now - task.since, RunStatus::kStillRunning);
}

void SlowMachineDetector::CheckOverdueTasks(Instant now) {
  OverdueTasks& overdue = state_.overdue;
  while (!overdue.empty() && overdue.first().overdue_at <= now) {
    const OverdueTasks::Entry first = overdue.first();
    Job& job = *state_.jobs.FindBySerial(first.job_serial);
    OnRunning(job, first.index, now);
    // The expected run time may have increased since the task was added.
    if (job.tasks[first.index].overdue) OnStarted(job, first.index);
    if (!overdue.empty() && overdue.first().overdue_at == first.overdue_at) break;
  }
}

}  // namespace magpie
