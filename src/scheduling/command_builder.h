// Builds the commands for a machine from the task statuses its worker sent and the tasks bound to
// it.
#pragma once

#include <vector>

#include "model/worker_messages.h"
#include "scheduling/cluster_state.h"

namespace magpie {

// A task is started only after its binding is durable, and only if the worker's latest message does
// not list it. A worker is told to forget an ended attempt only after the end is durable or the
// attempt is unbound, and while no command in flight could start the attempt again.
class CommandBuilder {
 public:
  // `state` must outlive this object.
  explicit CommandBuilder(ClusterState& state) : state_(state) {}

  // Returns at most as many commands as one message may carry. A machine with tasks that must not
  // be started yet is recorded in the command queue, for a retry.
  std::vector<Command> CommandsFor(const Machine& machine);

 private:
  void AddCommandsForReported(const Machine& machine, std::vector<Command>& commands) const;
  void AddRuns(const Machine& machine, std::vector<Command>& commands);
  static bool IsReadyToRun(const HeldTask& held);

  ClusterState& state_;
};

}  // namespace magpie
