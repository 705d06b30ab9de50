// Log lines that tell why a task was started, given up or fenced on a machine: commands, attempts
// that were unbound, and fencing tokens that were raised. docs/operators.md lists them.
#pragma once

#include <cstdint>
#include <vector>

#include "model/ids.h"
#include "model/worker_messages.h"
#include "scheduling/cluster_state.h"
#include "scheduling/machine_state.h"

namespace magpie {

// How commands are sent to a worker.
enum class CommandPath : std::uint8_t { kHeartbeatResponse, kDirectCommand };

// Why an attempt was unbound from its machine.
enum class UnbindReason : std::uint8_t {
  kNotWritten,       // its binding was not made durable
  kEnded,            // the worker reported its end
  kCompleted,        // the record of its end is durable
  kAbsent,           // a message proves that it is not on its machine and cannot start there
  kLaterAgentEpoch,  // the worker has begun a later agent epoch
  kMachineReleased,  // the cloud has confirmed the release of the machine
};

// Why a machine's fencing token was raised.
enum class FenceReason : std::uint8_t {
  kNoAnswer,        // a direct command may still be executed
  kAgentRestarted,  // the worker lost its token
  kAttemptAbsent,   // a copy of an answered command may still start an absent attempt
};

// Adds a line for each command. To be called before the token of the message can change.
void LogCommands(DecisionLog& log, const Machine& machine, const std::vector<Command>& commands,
                 CommandPath path);
// Adds a line on an attempt that is no longer bound to the machine.
void LogUnbound(DecisionLog& log, const Machine& machine, const TaskId& task, Attempt attempt,
                UnbindReason reason);
// Adds a line on a token that was raised so that the worker sends a heartbeat.
void LogHeartbeatRequested(DecisionLog& log, const Machine& machine);
// Adds a notice on the machine's fencing token.
void LogFenceRaised(DecisionLog& log, const Machine& machine, FenceReason reason);

}  // namespace magpie
