// Selects direct commands, which the leader sends to workers, and applies their results.
//
// Invariant: a machine has at most one direct command in flight. A worker may execute an unanswered
// command at any time until it sees a higher token, so the machine's token and its fencing_token
// are raised after one (see fencing.h).
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

// Not thread-safe: used by one scheduler.
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

  // Returns the next commands to send; none if no queued machine can receive commands.
  std::optional<DirectCommand> Next(Instant now);
  // Applies the result of a command or a probe. `answer` is set only if the worker answered.
  void OnResult(const DirectCommand& direct_command, DeliveryStatus status,
                const std::optional<Heartbeat>& answer, Instant now);

 private:
  bool CanSend(const Machine& machine, Instant now) const;
  void OnProbeFailed(Machine& machine, Instant now);
  void OnAnswer(Machine& machine, const DirectCommand& direct_command, const Heartbeat& answer,
                Instant now);

  ClusterState& state_;
  CommandBuilder& command_builder_;
  HeartbeatProcessor& heartbeats_;
  ProbeScheduler& probes_;
  MassFailureAlarm& alarm_;
};

}  // namespace magpie
