#include "scheduling/fencing_log.h"

#include <string>

namespace magpie {
namespace {

const char* ToText(CommandKind kind) {
  switch (kind) {
    case CommandKind::kRun:
      return "start";
    case CommandKind::kStop:
      return "stop";
    case CommandKind::kForget:
      return "forget";
  }
  return "";
}

const char* ToText(CommandPath path) {
  return path == CommandPath::kDirectCommand ? "direct" : "response";
}

const char* ToText(UnbindReason reason) {
  switch (reason) {
    case UnbindReason::kNotWritten:
      return "not_written";
    case UnbindReason::kEnded:
      return "ended";
    case UnbindReason::kCompleted:
      return "completed";
    case UnbindReason::kAbsent:
      return "absent";
    case UnbindReason::kLaterAgentEpoch:
      return "later_agent_epoch";
    case UnbindReason::kMachineReleased:
      return "machine_released";
  }
  return "";
}

const char* ToText(FenceReason reason) {
  switch (reason) {
    case FenceReason::kNoAnswer:
      return "no_answer";
    case FenceReason::kAgentRestarted:
      return "agent_restarted";
    case FenceReason::kAttemptAbsent:
      return "attempt_absent";
  }
  return "";
}

std::string AttemptText(const TaskId& task, Attempt attempt) {
  return "task=" + task.job.value + "/" + std::to_string(task.index) +
         " attempt=" + std::to_string(attempt.value);
}

std::string FenceText(const Machine& machine) {
  return "machine=" + machine.id.value + " token=" + std::to_string(machine.token.value) +
         " seen_token=" + std::to_string(machine.seen_token.value) +
         " agent_epoch=" + std::to_string(machine.agent_epoch);
}

}  // namespace

void LogCommands(DecisionLog& log, const Machine& machine, const std::vector<Command>& commands,
                 CommandPath path) {
  if (!log.enabled()) return;
  for (const Command& command : commands)
    log.Add(std::string(ToText(command.kind)) + " " + AttemptText(command.task, command.attempt) +
            " " + FenceText(machine) + " path=" + ToText(path));
}

void LogUnbound(DecisionLog& log, const Machine& machine, const TaskId& task, Attempt attempt,
                UnbindReason reason) {
  if (!log.enabled()) return;
  log.Add("unbind " + AttemptText(task, attempt) + " " + FenceText(machine) +
          " reason=" + ToText(reason));
}

void LogHeartbeatRequested(DecisionLog& log, const Machine& machine) {
  if (log.enabled()) log.Add("request heartbeat " + FenceText(machine));
}

void LogFenceRaised(DecisionLog& log, const Machine& machine, FenceReason reason) {
  log.AddNotice("fence raised " + FenceText(machine) + " reason=" + ToText(reason));
}

}  // namespace magpie
