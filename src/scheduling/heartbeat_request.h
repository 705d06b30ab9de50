// How the leader makes a worker send a heartbeat at once, so that the response can start tasks.
//
// Tasks are started only in responses to heartbeats (see fencing.h). Between its regular heartbeats
// a worker sends one when it sees a higher token, but at most once per half lease (PROTOCOL,
// "Workers -> controller nodes").
#pragma once

#include "model/time.h"
#include "scheduling/machine_state.h"

namespace magpie {

// Records that the worker sees a higher token at `now`. `lease`: of the worker.
void RecordTokenRaise(Machine& machine, Seconds lease, Instant now);

// Whether the worker would send a heartbeat at once if it saw a higher token at `now`.
bool AnswersTokenRaise(const Machine& machine, Seconds lease, Instant now);

// The time until a task that is bound to the machine at `now` can be started, apart from the time
// that messages and writes take: 0 if a heartbeat can be requested, else the time until the next
// regular one.
Seconds StartDelay(const Machine& machine, Seconds lease, Seconds heartbeat_interval, Instant now);

// Whether a task that is ready to start on the machine should not wait for the worker's next
// regular heartbeat. Replicas and tasks of high priority never should. Other tasks should not if
// the machine runs nothing: otherwise the end of a running task soon causes a heartbeat, and the
// request is left to more urgent tasks.
bool NeedsHeartbeatNow(const Machine& machine);

}  // namespace magpie
