#include "scheduling/fencing.h"

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

DirectCommand MakeDirectCommand(const Machine& machine, std::vector<Command> commands) {
  return {machine.id,          machine.addr,        machine.agent_epoch, machine.token,
          std::move(commands), machine.agent_epoch, machine.sequence,    machine.seen_token};
}

}  // namespace magpie
