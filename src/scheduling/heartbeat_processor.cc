#include "scheduling/heartbeat_processor.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "model/safety_checks.h"
#include "scheduling/fencing.h"
#include "scheduling/heartbeat_request.h"

namespace magpie {
namespace {

// A worker drops responses after 4 s, and reports no changes while it waits for one.
constexpr Seconds kMaxBindingDelay{1};
constexpr Seconds kMaxDelayOfIdleWorker{2.5};

bool HasTaskIn(const Machine& machine, TaskPhase phase) {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(),
                     [phase](const HeldTask& held) { return held.task().state == phase; });
}

// Whether a response that is made now starts a task, unless its quota does not allow that yet.
bool HasTaskToStart(const Machine& machine) {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [](const HeldTask& held) {
    const Task& task = held.task();
    return task.state == TaskPhase::kBound && !task.listed && !task.stop_requested;
  });
}

}  // namespace

HeartbeatResponse HeartbeatProcessor::OnHeartbeat(const Heartbeat& heartbeat, HeartbeatRoute route,
                                                  Instant now) {
  HeartbeatResponse response;
  // A token of a later epoch shows that another controller has become the leader.
  if (EpochOf(heartbeat.token) > EpochOf(state_.term.token) &&
      !IsDisabled(SafetyCheck::kLaterEpochHeartbeat)) {
    response.accepted = false;
    return response;
  }
  if (!state_.term.loaded) {
    Buffer(heartbeat);
    response.token = std::max(state_.term.token, heartbeat.token);
    return response;
  }
  if (state_.machines.WasReleased(heartbeat.machine)) {
    response.token = std::max(state_.term.token, heartbeat.token);
    return response;
  }
  Machine& machine = state_.FindOrCreateMachine(heartbeat.machine, now);
  machine.token = std::max(machine.token, heartbeat.token);
  response.token = machine.token;
  const bool relayed = route == HeartbeatRoute::kRelayed;
  if (relayed && machine.relayed && machine.directly_reachable) {
    machine.relayed = false;
    response.redirect_to_leader = true;
    return response;
  }
  if (relayed && !machine.relayed) machine.directly_reachable = false;
  machine.relayed = relayed;
  if (!IsNewer(machine, heartbeat)) {
    CountOutOfOrder(machine, heartbeat);
    return response;
  }
  // The worker sends a heartbeat only after it has received the last response or its request has
  // timed out.
  machine.response_in_flight = false;
  const bool was_up = machine.up;
  const double used_cpus = machine.used.cpus;
  Apply(machine, heartbeat, MessageSource::kHeartbeat, now);
  response.capacity_freed = !was_up || machine.used.cpus < used_cpus;
  AddCommands(machine, response);
  if (response.token > heartbeat.token) RecordTokenRaise(machine, state_.options.lease, now);
  return response;
}

void HeartbeatProcessor::AddCommands(Machine& machine, HeartbeatResponse& response) {
  response.commands = command_builder_.CommandsFor(machine);
  response.token = machine.token;  // may have been raised for attempts that were given up
  LogCommands(state_.decisions, machine, response.commands, CommandPath::kHeartbeatResponse);
  state_.counters.commands_issued += response.commands.size();
  for (const Command& command : response.commands)
    if (command.kind == CommandKind::kRun) machine.response_in_flight = true;
  machine.command_deferred = false;
  state_.commands.Remove(machine);
}

Seconds HeartbeatProcessor::MaxResponseDelay(const MachineId& id, bool awaits_planning,
                                             Instant now) const {
  const Machine* machine = state_.machines.Find(id);
  if (machine == nullptr || !machine->up || machine->releasing || HasTaskToStart(*machine))
    return {};
  if (awaits_planning || HasTaskIn(*machine, TaskPhase::kBinding)) return kMaxBindingDelay;
  if (AnswersTokenRaise(*machine, state_.options.lease, now) || !MayGetTasks(*machine)) return {};
  return machine->tasks.empty() ? kMaxDelayOfIdleWorker : kMaxBindingDelay;
}

bool HeartbeatProcessor::MayGetTasks(const Machine& machine) const {
  constexpr double kMinFreeCpus = 1;
  if (!machine.kind || machine.cordoned || machine.draining || machine.preemption_deadline)
    return false;
  const MachineType& type = *state_.kinds.all()[*machine.kind].type;
  return type.capacity.cpus - machine.used.cpus >= kMinFreeCpus;
}

void HeartbeatProcessor::DelayResponse(const MachineId& id) {
  if (Machine* machine = state_.machines.Find(id)) machine->response_delayed = true;
}

void HeartbeatProcessor::UpdateResponse(const MachineId& id, HeartbeatResponse& response) {
  response.commands.clear();
  Machine* machine = state_.machines.Find(id);
  if (machine == nullptr) return;
  machine->response_delayed = false;
  AddCommands(*machine, response);
}

void HeartbeatProcessor::Buffer(const Heartbeat& heartbeat) {
  Heartbeat& latest = buffered_[heartbeat.machine];
  if (std::tuple(heartbeat.agent_epoch, heartbeat.sequence) >=
      std::tuple(latest.agent_epoch, latest.sequence))
    latest = heartbeat;
}

void HeartbeatProcessor::ApplyBuffered(Instant now) {
  for (auto& [id, heartbeat] : buffered_) {
    Machine& machine = state_.FindOrCreateMachine(id, now);
    if (heartbeat.token < state_.term.token)
      RecordTokenRaise(machine, state_.options.lease, now);  // by the response
    Apply(machine, heartbeat, MessageSource::kHeartbeat, now);
  }
  buffered_.clear();
}

// The message is a duplicate, was delivered out of order, or comes from a worker that lost its
// state. If such messages continue, the worker is probed to find out which.
void HeartbeatProcessor::CountOutOfOrder(Machine& machine, const Heartbeat& heartbeat) {
  if (std::tuple(heartbeat.agent_epoch, heartbeat.sequence) ==
      std::tuple(machine.agent_epoch, machine.sequence))
    return;
  ++machine.out_of_order_messages;
  state_.machines.heartbeats().Watch(machine);
}

void HeartbeatProcessor::OnDirectCommandResponse(Machine& machine,
                                                 const DirectCommand& direct_command,
                                                 const Heartbeat& response, Instant now) {
  if (HasRestarted(direct_command, response)) OnAgentRestarted(machine, response);
  machine.token = std::max(machine.token, response.token);
  if (IsNewer(machine, response))
    Apply(machine, response, MessageSource::kDirectCommandResponse, now);
}

// The worker was restarted and lost its sequence numbers, token and tasks. All its tasks have
// ended, but copies of earlier commands may still be in flight, and the worker would not reject
// them, since it has lost its token. So the leader first sends a token above the tokens of these
// commands, and the tasks stay bound until the worker has seen it (ProvesAbsence).
void HeartbeatProcessor::OnAgentRestarted(Machine& machine, const Heartbeat& heartbeat) {
  state_.decisions.Add("agent restarted machine=" + machine.id.value);
  if (TokensExhausted(machine)) {
    cloud_.Release(machine);
    return;
  }
  machine.token = {std::max(machine.token, heartbeat.token).value + 1};
  machine.fencing_token =
      IsDisabled(SafetyCheck::kFenceAgentRestarted) ? FencingToken{} : machine.token;
  LogFenceRaised(state_.decisions, machine, FenceReason::kAgentRestarted);
  machine.seen_token = heartbeat.token;
  machine.agent_epoch = heartbeat.agent_epoch;
  machine.sequence = 0;
  machine.response_in_flight = false;
  machine.images.clear();
  machine.out_of_order_messages = 0;
  for (const HeldTask& held : machine.tasks) {
    Task& task = held.task();
    if (task.state != TaskPhase::kBound) continue;
    task.stop_requested = true;
    lifecycle_.ClearStart(*held.job, held.index);
  }
  machine.next_probe_at = {};
  state_.machines.heartbeats().Watch(machine);
}

void HeartbeatProcessor::Apply(Machine& machine, const Heartbeat& heartbeat, MessageSource source,
                               Instant now) {
  if (heartbeat.token > machine.seen_token) RecordTokenRaise(machine, state_.options.lease, now);
  const bool new_agent_epoch =
      machine.agent_epoch != 0 && heartbeat.agent_epoch > machine.agent_epoch;
  ApplyDescription(machine, heartbeat);
  ApplyLiveness(machine, source, now);
  ApplyPreemptionNotice(machine, heartbeat, now);
  // A worker rejects commands of earlier leaders only after it has seen a token of this term.
  const bool rejects_earlier_leaders =
      machine.seen_token >= state_.term.token || IsDisabled(SafetyCheck::kLaterAgentEpoch);
  if (new_agent_epoch) {
    // The tasks of the earlier agent epoch have ended, and this leader's commands for it have no
    // effect any more. A direct command in flight must still finish before the next one is sent.
    // A new agent epoch alone does not prove absence: an earlier leader may have sent commands
    // for it, and the message of the earlier agent epoch may have been a delayed copy.
    machine.fencing_token =
        std::max(state_.term.token, std::min(machine.fencing_token, machine.seen_token));
    machine.response_in_flight = false;
  }
  const bool proves_absence =
      (new_agent_epoch && rejects_earlier_leaders) || ProvesAbsence(machine, source);
  for (const HeldTask& held : machine.tasks) held.task().listed = false;
  machine.reported_statuses = heartbeat.tasks;
  for (const TaskStatus& status : heartbeat.tasks) task_statuses_.Apply(machine, status, now);
  if (proves_absence) FinishAbsentTasks(machine, new_agent_epoch, now);
}

void HeartbeatProcessor::ApplyDescription(Machine& machine, const Heartbeat& heartbeat) {
  machine.addr = heartbeat.addr;
  // A machine that is counted in a zone stays in that zone, whatever its worker sends later.
  if (machine.zone.empty()) machine.zone = heartbeat.zone;
  if (!machine.kind || machine.type != heartbeat.type || machine.spot != heartbeat.spot)
    machine.kind.reset();
  machine.type = heartbeat.type;
  machine.spot = heartbeat.spot;
  machine.agent_epoch = heartbeat.agent_epoch;
  machine.sequence = heartbeat.sequence;
  machine.seen_token = std::max(machine.seen_token, heartbeat.token);
  machine.out_of_order_messages = 0;
}

void HeartbeatProcessor::ApplyLiveness(Machine& machine, MessageSource source, Instant now) {
  HeartbeatIndex& heartbeats = state_.machines.heartbeats();
  if (heartbeats.RecordHeartbeat(machine, now) || machine.suspected) state_.signals.MarkChanged();
  if (!machine.relayed) heartbeats.RecordDirectHeartbeat(machine.zone, now);
  machine.suspected = false;
  machine.failed_probes = 0;
  UpdateInboundReachability(machine, source, now);
  if (!machine.up) {
    if (std::exchange(machine.awaiting_reconciliation, false)) --state_.reconciliation.unreconciled;
    machine.up = true;
    if (machine.provisioned_by_leader)
      state_.boot_times.RecordBoot(machine.type, now - machine.created_at, now);
    state_.signals.RequestTick();
    machine.idle_since = now;
    state_.signals.MarkChanged();
  }
  state_.machines.UpdateZoneCount(machine);
  if (!IsHealthy(machine)) heartbeats.Watch(machine);
}

void HeartbeatProcessor::ApplyPreemptionNotice(Machine& machine, const Heartbeat& heartbeat,
                                               Instant now) {
  if (heartbeat.preemption_notice.has_value() != machine.preemption_deadline.has_value()) {
    state_.signals.MarkChanged();
    state_.signals.RequestInspection();
  }
  if (heartbeat.preemption_notice)
    machine.preemption_deadline = now + *heartbeat.preemption_notice;
  else
    machine.preemption_deadline.reset();
  if (machine.preemption_deadline) state_.machines.heartbeats().Watch(machine);
}

// A worker that reaches no controller may still respond to probes, but probes do not renew its
// lease: tasks would be started there and stopped when the lease expires, again and again.
void HeartbeatProcessor::UpdateInboundReachability(Machine& machine, MessageSource source,
                                                   Instant now) {
  constexpr double kMaxMissedIntervals = 4;
  constexpr double kMaxLeaseFraction = 0.5;
  if (source == MessageSource::kHeartbeat || !machine.up) machine.heartbeat_received_at = now;
  const Seconds maximum = std::max(kMaxMissedIntervals * state_.options.heartbeat_interval,
                                   kMaxLeaseFraction * state_.options.lease);
  const bool inbound_unreachable = now - machine.heartbeat_received_at > maximum;
  if (std::exchange(machine.inbound_unreachable, inbound_unreachable) != inbound_unreachable)
    state_.signals.MarkChanged();
}

// Handles bound tasks that are proved absent because the message does not list them. The attempt is
// finished if its job was cancelled, it was to be stopped, its result is unconfirmed, it is from an
// earlier agent epoch and so was killed, the machine has a preemption notice, or MayStart does not
// allow another start. Otherwise the task stays bound, and its `run` command is sent again.
// MayStart is checked for each task, since each unbound task frees quota for the others.
void HeartbeatProcessor::FinishAbsentTasks(Machine& machine, bool new_agent_epoch, Instant now) {
  const std::vector<HeldTask> tasks = machine.tasks;
  for (const HeldTask& held : tasks) {
    const Task& task = held.task();
    if (task.listed || task.state != TaskPhase::kBound) continue;
    if (held.job->cancelled || task.stop_requested || task.result_unconfirmed || new_agent_epoch ||
        machine.preemption_deadline || !state_.quotas.MayStart(*held.job)) {
      FinishAbsentAttempt(machine, held, new_agent_epoch, now);
    } else if (task.running) {  // the machine was restarted; the task is started again
      lifecycle_.ClearStart(*held.job, held.index);
    }
  }
}

void HeartbeatProcessor::FinishAbsentAttempt(Machine& machine, const HeldTask& attempt,
                                             bool new_agent_epoch, Instant now) {
  if (new_agent_epoch || RejectsStarts(machine, attempt)) {
    lifecycle_.FinishAttempt(
        *attempt.job, attempt.index,
        new_agent_epoch ? UnbindReason::kLaterAgentEpoch : UnbindReason::kAbsent, now);
    return;
  }
  FenceStarts(machine, attempt);
  LogFenceRaised(state_.decisions, machine, FenceReason::kAttemptAbsent);
  state_.machines.heartbeats().Watch(machine);
}

}  // namespace magpie
