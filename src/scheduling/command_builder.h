// Builds the commands for a machine from the task statuses in its worker's latest message and from
// the tasks bound to the machine.
#pragma once

#include <vector>

#include "model/worker_messages.h"
#include "scheduling/cluster_state.h"

namespace magpie {

// A task is started only after its binding is durable, and only if the worker's latest message does
// not list it. A forget command for an ended attempt is sent only after the end is durable or the
// attempt is unbound, and only while no command in flight could start the attempt again.
class CommandBuilder {
 public:
  // `state` must outlive this object.
  explicit CommandBuilder(ClusterState& state) : state_(state) {}

  // Returns at most as many commands as one message may carry. If the quota or the zone rules do
  // not allow a bound task to be started yet, records the machine in the command queue for a retry.
  std::vector<Command> CommandsFor(const Machine& machine);

 private:
  void AddCommandsForReportedTasks(const Machine& machine, std::vector<Command>& commands) const;
  void AddRunCommands(const Machine& machine, std::vector<Command>& commands);
  static bool IsReadyToRun(const HeldTask& held);

  ClusterState& state_;
};

}  // namespace magpie
