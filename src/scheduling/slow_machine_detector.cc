#include "scheduling/slow_machine_detector.h"

#include <algorithm>

namespace magpie {
namespace {
// In expected run times.
constexpr double kSlowWhenCompleted = 2;
constexpr double kSlowWhileRunning = 2.5;
constexpr std::size_t kSamplesPerMachine = 3;
}  // namespace

// What began under an earlier leader has run for longer than this leader knows.
void SlowMachineDetector::OnCompleted(Machine& machine, Job& job, const Task& task, Instant now) {
  if (!task.running || !task.start_observed || job.cancelled) return;
  const Seconds took = now - task.since;
  if (!task.overrun_counted) RecordRunTime(machine, job, took, RunEnd::kCompleted);
  // A slow machine says nothing of its type, nor does an attempt that went on from a checkpoint.
  if (!machine.cordoned && (task.attempt.value == 1 || job.spec.checkpoint_interval.value <= 0))
    state_.run_times.Learn(machine, job, took);
}

void SlowMachineDetector::RecordRunTime(Machine& machine, const Job& job, Seconds took,
                                        RunEnd end) {
  if (job.spec.estimate.value <= 0) return;
  const auto elsewhere = job.pace.MedianOnOtherMachines(PaceNumberOf(machine.id));
  const double expected = elsewhere ? *elsewhere * job.spec.estimate.value
                                    : state_.run_times.ExpectedOnType(job.spec, machine.type).value;
  const double limit = end == RunEnd::kCompleted ? kSlowWhenCompleted : kSlowWhileRunning;
  const bool slow = took.value >= limit * expected;
  if (end == RunEnd::kStillRunning && !slow) return;
  if (!elsewhere)
    std::erase_if(machine.pace, [&](const auto& sample) { return sample.job == job.spec.id; });
  machine.pace.push_back({job.spec.id, slow});
  if (machine.pace.size() > kSamplesPerMachine) machine.pace.pop_front();
  if (machine.cordoned || machine.pace.size() < kSamplesPerMachine) return;
  if (std::all_of(machine.pace.begin(), machine.pace.end(),
                  [](const auto& sample) { return sample.slow; }))
    CordonSlow(machine);
}

void SlowMachineDetector::CordonSlow(Machine& machine) {
  machine.cordoned = true;
  state_.machines.heartbeats().Watch(machine);
  state_.signals.MarkChanged();
  if (state_.decisions.enabled()) state_.decisions.Add("slow " + machine.id.value);
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
  state_.overdue.Add(job, index, task.since + kSlowWhileRunning * expected);
}

void SlowMachineDetector::OnRunning(Job& job, std::uint32_t index, Instant now) {
  Task& task = job.tasks[index];
  if (!task.overdue) return;
  const Seconds expected = state_.run_times.ExpectedOnMachine(job, *task.machine);
  if (now - task.since < kSlowWhileRunning * expected) return;
  state_.overdue.Remove(job, index);
  task.overrun_counted = true;
  if (!task.machine->cordoned)
    RecordRunTime(*task.machine, job, now - task.since, RunEnd::kStillRunning);
}

void SlowMachineDetector::CheckOverdueTasks(Instant now) {
  OverdueTasks& overdue = state_.overdue;
  while (!overdue.empty() && overdue.first().when <= now) {
    const OverdueTasks::Entry first = overdue.first();
    Job& job = *state_.jobs.FindBySerial(first.job_serial);
    OnRunning(job, first.index, now);
    // Longer run times may be expected by now than when the task was added.
    if (job.tasks[first.index].overdue) OnStarted(job, first.index);
    if (!overdue.empty() && overdue.first().when == first.when) break;
  }
}

}  // namespace magpie
