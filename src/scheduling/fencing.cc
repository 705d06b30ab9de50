#include "scheduling/fencing.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

#include "model/safety_checks.h"

namespace magpie {

bool ProvesAbsence(const Machine& machine, MessageSource source) {
  if (machine.seen_token < machine.fencing_token && !IsDisabled(SafetyCheck::kFencingTokenSeen))
    return false;
  if (machine.command_in_flight && !IsDisabled(SafetyCheck::kCommandInFlight)) return false;
  return !(source == MessageSource::kDirectCommandResponse && machine.response_in_flight) ||
         IsDisabled(SafetyCheck::kResponseInFlight);
}

bool IsNewer(const Machine& machine, const Heartbeat& heartbeat) {
  if (IsDisabled(SafetyCheck::kHeartbeatOrder)) return true;
  return std::tuple(heartbeat.agent_epoch, heartbeat.sequence) >
             std::tuple(machine.agent_epoch, machine.sequence) &&
         heartbeat.token >= machine.seen_token;
}

bool HasRestarted(const DirectCommand& direct_command, const Heartbeat& response) {
  if (IsDisabled(SafetyCheck::kAgentRestarted)) return false;
  return std::tuple(response.agent_epoch, response.sequence) <=
             std::tuple(direct_command.known_agent_epoch, direct_command.known_sequence) ||
         response.token < direct_command.known_token;
}

bool TokensExhausted(const Machine& machine) {
  constexpr std::uint64_t kLowBitsMask = (1ULL << kTokenLowBits) - 1;
  return (machine.token.value & kLowBitsMask) == kLowBitsMask;
}

void RecordStarts(Machine& machine, const DirectCommand& direct_command) {
  for (const Command& command : direct_command.commands) {
    if (command.kind != CommandKind::kRun) continue;
    const auto attempt =
        std::find_if(machine.tasks.begin(), machine.tasks.end(), [&](const HeldTask& held) {
          return held.index == command.task.index && held.job->spec.id == command.task.job;
        });
    if (attempt != machine.tasks.end()) attempt->start_token = direct_command.token;
  }
}

void RevokeStarts(Machine& machine, const HeldTask& attempt) {
  if (IsDisabled(SafetyCheck::kRaiseWhenUnbound)) return;
  machine.token = std::max(machine.token, FencingToken{attempt.start_token.value + 1});
}

bool RejectsStarts(const Machine& machine, const HeldTask& attempt) {
  if (IsDisabled(SafetyCheck::kRaiseWhenUnbound)) return true;
  const bool started = attempt.start_token != FencingToken{};
  return !started || machine.seen_token > attempt.start_token;
}

void FenceStarts(Machine& machine, const HeldTask& attempt) {
  RevokeStarts(machine, attempt);
  machine.fencing_token = machine.token;
}

DirectCommand MakeDirectCommand(const Machine& machine, std::vector<Command> commands) {
  return {machine.id,          machine.addr,        machine.agent_epoch, machine.token,
          std::move(commands), machine.agent_epoch, machine.sequence,    machine.seen_token};
}

}  // namespace magpie
