// Events that the users and workers of a load test observe, in their order. All are observed in one
// process, so one steady clock orders them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "model/ids.h"
#include "model/job.h"
#include "model/time.h"

namespace magpie::load_test {

// A machine has booted and its worker starts.
struct MachineBooted {
  MachineId machine;
  std::string type;
  std::string zone;
  bool spot = false;
};

// A task starts on a machine, after its image was fetched.
struct TaskStarted {
  MachineId machine;
  TaskId task;
};

// A task is no longer on the machine.
struct TaskEnded {
  MachineId machine;
  TaskId task;
  bool completed = false;
};

// The first attempt to submit a job.
struct JobSubmitted {
  JobSpec spec;
};

// The state of a job in a response.
enum class ReportedState : std::uint8_t {
  kActive,  // queued or running
  kDone,
  kCancelled,
  kUnknown,   // 404: no such job
  kRejected,  // 400 or 422
  kNoAnswer,  // any other status, or no response in time
};

// The kind of request that a user sends to a controller about a job.
enum class UserRequest : std::uint8_t { kSubmit, kPoll, kCancel };

// The response to a user's request, or the lack of one.
struct UserRequestAnswered {
  JobId job;
  UserRequest request = UserRequest::kPoll;
  ReportedState state = ReportedState::kNoAnswer;
  Instant sent;  // when the request was sent
};

// The first attempt to cancel a job.
struct CancelRequested {
  JobId job;
};

// One entry of the history: what was observed, and when it was recorded.
struct Event {
  Instant at;
  std::variant<MachineBooted, TaskStarted, TaskEnded, JobSubmitted, UserRequestAnswered,
               CancelRequested>
      payload;
};

}  // namespace magpie::load_test
