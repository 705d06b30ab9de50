// Selects direct commands, which the leader sends to workers, and applies their results.
//
// Direct commands stop tasks and request heartbeats, but start no task: tasks are started in the
// responses to heartbeats. A worker may execute a direct command at any time until it sees a higher
// token, also once more after it has answered it, and a worker whose machine was restarted has seen
// no token. It drops late responses.
//
// Invariant: a machine has at most one direct command in flight. The machine's token and its
// fencing_token are raised after a command without an answer (see fencing.h).
#pragma once

#include <optional>

#include "model/direct_command.h"
#include "model/time.h"
#include "model/worker_messages.h"
#include "scheduling/cluster_state.h"
#include "scheduling/command_builder.h"
#include "scheduling/heartbeat_processor.h"
#include "scheduling/mass_failure_alarm.h"
#include "scheduling/probe_scheduler.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class CommandDispatcher {
 public:
  // All arguments must outlive this object.
  CommandDispatcher(ClusterState& state, CommandBuilder& command_builder,
                    HeartbeatProcessor& heartbeats, ProbeScheduler& probes, MassFailureAlarm& alarm)
      : state_(state),
        command_builder_(command_builder),
        heartbeats_(heartbeats),
        probes_(probes),
        alarm_(alarm) {}

  // Returns the next direct command to send; none if no queued machine can receive commands.
  std::optional<DirectCommand> Next(Instant now);
  // Applies the result of a direct command or a probe. `response` is set only if the worker
  // responded.
  void OnResult(const DirectCommand& direct_command, DeliveryStatus status,
                const std::optional<Heartbeat>& response, Instant now);

 private:
  // Returns the command to send to the machine now, if any.
  std::optional<DirectCommand> CommandFor(Machine& machine, Instant now);
  // Returns an empty command that makes the worker send a heartbeat; none if it would not, or if
  // the next regular heartbeat is early enough.
  std::optional<DirectCommand> HeartbeatRequestFor(Machine& machine, Instant now);
  bool CanSend(const Machine& machine, Instant now) const;
  void OnProbeFailed(Machine& machine, Instant now);
  void OnResponse(Machine& machine, const DirectCommand& direct_command, const Heartbeat& response,
                  Instant now);

  ClusterState& state_;
  CommandBuilder& command_builder_;
  HeartbeatProcessor& heartbeats_;
  ProbeScheduler& probes_;
  MassFailureAlarm& alarm_;
};

}  // namespace magpie
