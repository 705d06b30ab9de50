#include "scheduling/command_builder.h"

#include "model/safety_checks.h"
#include "scheduling/fencing.h"

namespace magpie {
namespace {
constexpr std::size_t kMaxCommandsPerMessage = 64;

bool IsFull(const std::vector<Command>& commands) {
  return commands.size() >= kMaxCommandsPerMessage;
}
}  // namespace

std::vector<Command> CommandBuilder::CommandsFor(const Machine& machine) {
  std::vector<Command> commands;
  if (machine.releasing || !machine.up) return commands;
  AddCommandsForReportedTasks(machine, commands);
  if (machine.preemption_deadline) return commands;
  if (!state_.term.may_start && !IsDisabled(SafetyCheck::kJobsReadBeforeStart)) return commands;
  AddRunCommands(machine, commands);
  return commands;
}

// Adds stop commands for attempts that must not run on the machine, and forget commands for ended
// attempts.
void CommandBuilder::AddCommandsForReportedTasks(const Machine& machine,
                                                 std::vector<Command>& commands) const {
  for (const TaskStatus& status : machine.reported_statuses) {
    if (IsFull(commands)) break;
    const Job* job = state_.jobs.FindFrom(machine, status.task.job);
    const Task* task = job == nullptr || status.task.index >= job->tasks.size()
                           ? nullptr
                           : &job->tasks[status.task.index];
    const bool held_here = task != nullptr && task->machine == &machine &&
                           task->attempt == status.attempt && task->state != TaskPhase::kPending &&
                           task->state != TaskPhase::kDone;
    if (status.state == TaskState::kEnded) {
      if (!held_here && (ProvesAbsence(machine, MessageSource::kDirectCommandResponse) ||
                         IsDisabled(SafetyCheck::kForgetOnlyIfProven)))
        commands.push_back({CommandKind::kForget, status.task, status.attempt, {}});
    } else if (!held_here || job->cancelled) {
      commands.push_back({CommandKind::kStop, status.task, status.attempt, {}});
    } else if (task->stop_requested && status.state != TaskState::kSaving) {
      commands.push_back(
          {CommandKind::kStop, status.task, status.attempt, task->termination_grace_period});
    }
  }
}

void CommandBuilder::AddRunCommands(const Machine& machine, std::vector<Command>& commands) {
  for (const HeldTask& held : machine.tasks) {
    if (IsFull(commands)) break;
    if (!IsReadyToRun(held)) continue;
    if (state_.quotas.MayStart(*held.job))
      commands.push_back({CommandKind::kRun, held.id(), held.task().attempt, {}});
    else
      state_.commands.Withhold(machine);
  }
}

bool CommandBuilder::IsReadyToRun(const HeldTask& held) {
  if (held.job->cancelled && !IsDisabled(SafetyCheck::kNoStartWhileStopping)) return false;
  const Task& task = held.task();
  if (task.state != TaskPhase::kBound && !IsDisabled(SafetyCheck::kStartOnlyDurable)) return false;
  if (task.listed || task.result_unconfirmed) return false;
  return !task.stop_requested || IsDisabled(SafetyCheck::kNoStartWhileStopping);
}

}  // namespace magpie
