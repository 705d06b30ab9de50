// Heartbeats of workers and commands to workers (PROTOCOL, "Workers -> controller nodes").
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

// The state of a task from its start command to its end.
enum class TaskState { kFetching, kRunning, kSaving, kEnded };

// Why a task is in TaskState::kEnded.
enum class ExitReason {
  kNone,                  // the task has not ended
  kDone,                  // the task has completed
  kStopped,               // a command stopped the task
  kError,                 // the task failed
  kInsufficientCapacity,  // start rejected: the free capacity of the machine is too small
  kBusy,                  // start rejected: another attempt of the task is on this machine
  kUnknown,               // start rejected: no such job or task
};

// The state of one attempt of a task as reported by the worker.
struct TaskStatus {
  TaskId task;
  Attempt attempt;
  TaskState state = TaskState::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;  // the task saved its progress when it was stopped
};

// A worker's report of its state, in a heartbeat or in the response to a direct command.
struct Heartbeat {
  MachineId machine;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t agent_epoch = 0;  // increases when the worker's lease expires or the agent restarts
  std::uint64_t sequence = 0;     // increases with each message
  FencingToken token;             // highest token that the worker has seen
  std::optional<Seconds> preemption_notice;  // time until the cloud preempts the machine
  std::vector<TaskStatus> tasks;
};

// What the worker must do: start a task, stop it, or remove an ended task from its heartbeats.
enum class CommandKind { kRun, kStop, kForget };

// A command on one attempt of a task.
struct Command {
  CommandKind kind = CommandKind::kRun;
  TaskId task;
  Attempt attempt;
  Seconds termination_grace_period;  // for kStop: time for the task to save its progress
};

// The path by which a heartbeat reached the controller that handles it.
enum class HeartbeatRoute : std::uint8_t {
  kDirect,
  kRelayed,  // relayed by another controller because the worker cannot reach the leader
};

}  // namespace magpie
