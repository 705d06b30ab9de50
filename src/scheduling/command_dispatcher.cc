#include "scheduling/command_dispatcher.h"

#include <algorithm>
#include <utility>

#include "model/safety_checks.h"
#include "scheduling/fencing.h"
#include "scheduling/fencing_log.h"
#include "scheduling/heartbeat_request.h"

namespace magpie {
namespace {
constexpr Seconds kCommandRetryDelay{1};
constexpr Seconds kProbeRetryDelay{0.5};
constexpr Seconds kProbeRetryDelayInAlarm{0.1};

bool IsStart(const Command& command) { return command.kind == CommandKind::kRun; }
bool IsStop(const Command& command) { return command.kind == CommandKind::kStop; }

}  // namespace

std::optional<DirectCommand> CommandDispatcher::Next(Instant now) {
  if (!state_.term.loaded) return std::nullopt;
  while (!state_.commands.empty()) {
    Machine* machine = state_.machines.Find(state_.commands.Pop());
    if (machine == nullptr || machine->releasing) continue;
    if (!CanSend(*machine, now)) {
      machine->command_deferred = true;
      state_.machines.heartbeats().Watch(*machine);
      continue;
    }
    std::optional<DirectCommand> direct_command = CommandFor(*machine, now);
    if (!direct_command) continue;
    machine->command_in_flight = true;
    return direct_command;
  }
  return std::nullopt;
}

std::optional<DirectCommand> CommandDispatcher::CommandFor(Machine& machine, Instant now) {
  std::vector<Command> commands = command_builder_.CommandsFor(machine);
  if (!IsDisabled(SafetyCheck::kStartOnlyInResponse)) {
    const bool has_starts = std::erase_if(commands, IsStart) > 0;
    // The next response forgets ended attempts early enough.
    if (std::none_of(commands.begin(), commands.end(), IsStop))
      return has_starts ? HeartbeatRequestFor(machine, now) : std::nullopt;
  }
  if (commands.empty()) return std::nullopt;
  DirectCommand direct_command = MakeDirectCommand(machine, std::move(commands));
  RecordStarts(machine, direct_command);
  LogCommands(state_.decisions, machine, direct_command.commands, CommandPath::kDirectCommand);
  state_.counters.commands_issued += direct_command.commands.size();
  return direct_command;
}

// A delayed response will start the tasks, and a worker that is receiving a response with starts
// sends a heartbeat by itself.
std::optional<DirectCommand> CommandDispatcher::HeartbeatRequestFor(Machine& machine, Instant now) {
  if (machine.response_in_flight || machine.response_delayed || !NeedsHeartbeatNow(machine) ||
      !AnswersTokenRaise(machine, state_.options.lease, now))
    return std::nullopt;
  machine.token = {machine.token.value + 1};
  RecordTokenRaise(machine, state_.options.lease, now);
  LogHeartbeatRequested(state_.decisions, machine);
  return MakeDirectCommand(machine, {});
}

// Commands to a machine with late heartbeats are deferred until it sends one.
bool CommandDispatcher::CanSend(const Machine& machine, Instant now) const {
  return !machine.command_in_flight && machine.up && now >= machine.next_command_at &&
         (!machine.relayed || machine.directly_reachable) &&
         now - machine.last_heartbeat <= 2.0 * state_.options.heartbeat_interval &&
         !TokensExhausted(machine);
}

void CommandDispatcher::OnResult(const DirectCommand& direct_command, DeliveryStatus status,
                                 const std::optional<Heartbeat>& response, Instant now) {
  Machine* found = state_.machines.Find(direct_command.machine);
  if (!state_.term.loaded || EpochOf(direct_command.token) != EpochOf(state_.term.token) ||
      found == nullptr)
    return;
  Machine& machine = *found;
  machine.command_in_flight = false;
  // The commands are requested once for each deferral: otherwise a worker that refuses commands
  // would be sent them in an endless loop without a pause.
  if (std::exchange(machine.command_deferred, false)) state_.commands.Request(machine);
  state_.machines.heartbeats().Watch(machine);
  machine.directly_reachable = status == DeliveryStatus::kAnswered;
  if (direct_command.commands.empty() && status != DeliveryStatus::kAnswered) {
    OnProbeFailed(machine, now);  // a late probe executes nothing, so the token is not raised
    return;
  }
  switch (status) {
    case DeliveryStatus::kUnknown:
      if (!IsDisabled(SafetyCheck::kRaiseAfterNoAnswer)) {
        machine.token = std::max(machine.token, FencingToken{direct_command.token.value + 1});
        machine.fencing_token = machine.token;
        LogFenceRaised(state_.decisions, machine, FenceReason::kNoAnswer);
      }
      machine.next_command_at = now + kCommandRetryDelay;
      break;
    case DeliveryStatus::kNotSent:
      machine.next_command_at = now + kCommandRetryDelay;
      break;
    case DeliveryStatus::kAnswered:
      if (response && response->machine == machine.id)
        OnResponse(machine, direct_command, *response, now);
      break;
  }
}

void CommandDispatcher::OnProbeFailed(Machine& machine, Instant now) {
  // A machine that does not respond to a probe is suspected if its last heartbeat is older than
  // this, or than the heartbeat interval if that is shorter.
  constexpr Seconds kMaxHeartbeatAge{4};
  if (machine.failed_probes++ == 0) {
    machine.failing_since = now;
    const bool was_in_use = machine.up || !machine.tasks.empty();
    if (was_in_use && !machine.relayed) alarm_.RecordFailedProbe(now);
  }
  machine.suspected =
      !machine.relayed &&
      now - machine.last_heartbeat > std::min(state_.options.heartbeat_interval, kMaxHeartbeatAge);
  machine.next_probe_at = now + (alarm_.IsOn(now) ? kProbeRetryDelayInAlarm : kProbeRetryDelay);
  state_.signals.RequestInspection();
}

void CommandDispatcher::OnResponse(Machine& machine, const DirectCommand& direct_command,
                                   const Heartbeat& response, Instant now) {
  // This leader must never adopt a later leader's token: workers would then execute commands that
  // are based on the outdated state of a deposed leader.
  if (EpochOf(response.token) > EpochOf(state_.term.token) &&
      !IsDisabled(SafetyCheck::kLaterEpochCommand))
    return;
  heartbeats_.OnDirectCommandResponse(machine, direct_command, response, now);
  // The worker refused the probe because the agent epoch in it was outdated. The response has the
  // current agent epoch, so the next probe can be accepted.
  if (direct_command.commands.empty() && machine.seen_token < machine.token)
    probes_.ProbeNow(machine, now);
}

}  // namespace magpie
