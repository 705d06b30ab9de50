// Messages from the leader to workers: the response to a heartbeat, and direct commands, which the
// leader sends over its own connection to the worker.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/worker_messages.h"

namespace magpie {

// The leader's response to a heartbeat.
struct HeartbeatResponse {
  bool accepted = true;             // false: the worker has seen a later leader's token
  bool redirect_to_leader = false;  // the worker of a relayed heartbeat can reach the leader again
  FencingToken token;
  std::vector<Command> commands;
  bool capacity_freed = false;  // the machine is new or tasks have ended on it
};

// Commands sent over the leader's own connection. A direct command without commands is a probe.
struct DirectCommand {
  MachineId machine;
  std::string addr;
  std::uint64_t agent_epoch = 0;
  FencingToken token;
  std::vector<Command> commands;
  // The latest values that the worker had reported when the command was sent.
  std::uint64_t known_agent_epoch = 0;
  std::uint64_t known_sequence = 0;
  FencingToken known_token;
};

// The result of sending a direct command.
enum class DeliveryStatus {
  kAnswered,  // the worker responded: it executed or rejected the command
  kNotSent,   // no connection was established, so the command cannot arrive later
  kUnknown,   // the worker may have executed the command, or may execute it later
};

}  // namespace magpie
