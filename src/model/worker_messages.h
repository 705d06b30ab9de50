// What workers report and what they are commanded to do (PROTOCOL, "Workers -> controller
// nodes").
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

// Where a task is between its start command and its end.
enum class TaskState { kFetching, kRunning, kSaving, kEnded };

// Why a task is in TaskState::kEnded.
enum class ExitReason {
  kNone,                  // it has not ended
  kDone,                  // completed
  kStopped,               // stopped by command
  kError,                 // failed
  kInsufficientCapacity,  // start refused: not enough free resources on the machine
  kBusy,                  // start refused: another attempt of the task is on this machine
  kUnknown,               // start refused: no such job or task
};

// One attempt of a task as its machine's worker sees it.
struct TaskStatus {
  TaskId task;
  Attempt attempt;
  TaskState state = TaskState::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;  // its progress was saved when it was stopped
};

// What a worker says of itself, in a heartbeat or in the answer to direct commands.
struct Heartbeat {
  MachineId machine;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t agent_epoch = 0;             // increases whenever the worker's lease expires
  std::uint64_t sequence = 0;                // increases with each message
  FencingToken token;                        // highest that the worker has seen
  std::optional<Seconds> preemption_notice;  // time until the cloud takes the machine back
  std::vector<TaskStatus> tasks;
};

// Start a task, stop it, or remove an ended one from the heartbeats.
enum class CommandKind { kRun, kStop, kForget };

// A command on one attempt of a task.
struct Command {
  CommandKind kind = CommandKind::kRun;
  TaskId task;
  Attempt attempt;
  Seconds termination_grace_period;  // of kStop: how long the task may save
};

// How a heartbeat reached the controller that handles it.
enum class HeartbeatRoute : std::uint8_t {
  kDirect,
  kRelayed,  // passed on by another controller, since the worker could not reach the leader
};

}  // namespace magpie
