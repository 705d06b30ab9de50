// Applies heartbeats to machines and their tasks, and responds with commands.
//
// A heartbeat is applied only if it is newer than all earlier messages of its machine. A task that
// it does not list is treated as absent only if its absence is proved (see fencing.h). Until the
// records are loaded, the latest heartbeat of each machine is buffered, and the responses have no
// commands.
#pragma once

#include <map>

#include "model/direct_command.h"
#include "model/ids.h"
#include "model/time.h"
#include "model/worker_messages.h"
#include "scheduling/cloud_coordinator.h"
#include "scheduling/cluster_state.h"
#include "scheduling/command_builder.h"
#include "scheduling/fencing.h"
#include "scheduling/task_lifecycle.h"
#include "scheduling/task_status_processor.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class HeartbeatProcessor {
 public:
  // All arguments must outlive this object.
  HeartbeatProcessor(ClusterState& state, TaskLifecycle& lifecycle, CloudCoordinator& cloud,
                     TaskStatusProcessor& task_statuses, CommandBuilder& command_builder)
      : state_(state),
        lifecycle_(lifecycle),
        cloud_(cloud),
        task_statuses_(task_statuses),
        command_builder_(command_builder) {}

  void Clear() { buffered_.clear(); }
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, HeartbeatRoute route, Instant now);
  // How long the response to the machine's heartbeat may be delayed so that it can start a task: 0
  // if it must be sent now. `awaits_planning`: the next planning round may bind a task to the
  // machine.
  Seconds MaxResponseDelay(const MachineId& id, bool awaits_planning, Instant now) const;
  // Records that the response to the machine's heartbeat is delayed, until UpdateResponse is
  // called.
  void DelayResponse(const MachineId& id);
  // Replaces the commands and the token of a response that was not sent at once. The response then
  // has no commands if the machine has been released.
  void UpdateResponse(const MachineId& id, HeartbeatResponse& response);
  // Applies the heartbeats that were received while the records were loaded.
  void ApplyBuffered(Instant now);
  // Applies a worker's response to a direct command.
  void OnDirectCommandResponse(Machine& machine, const DirectCommand& direct_command,
                               const Heartbeat& response, Instant now);

 private:
  void Buffer(const Heartbeat& heartbeat);
  bool MayGetTasks(const Machine& machine) const;
  void AddCommands(Machine& machine, HeartbeatResponse& response);
  void OnAgentRestarted(Machine& machine, const Heartbeat& heartbeat);
  void CountOutOfOrder(Machine& machine, const Heartbeat& heartbeat);
  void Apply(Machine& machine, const Heartbeat& heartbeat, MessageSource source, Instant now);
  void ApplyDescription(Machine& machine, const Heartbeat& heartbeat);
  void ApplyLiveness(Machine& machine, MessageSource source, Instant now);
  void ApplyPreemptionNotice(Machine& machine, const Heartbeat& heartbeat, Instant now);
  void UpdateInboundReachability(Machine& machine, MessageSource source, Instant now);
  void FinishAbsentTasks(Machine& machine, bool new_agent_epoch, Instant now);
  // Finishes the attempt, or fences the worker if an answered command could start it once more.
  void FinishAbsentAttempt(Machine& machine, const HeldTask& attempt, bool new_agent_epoch,
                           Instant now);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  CloudCoordinator& cloud_;
  TaskStatusProcessor& task_statuses_;
  CommandBuilder& command_builder_;
  std::map<MachineId, Heartbeat> buffered_;
};

}  // namespace magpie
