// Delivery of direct commands and probes to workers.
#pragma once

#include "controller/leader_state.h"
#include "scheduling/scheduler.h"

namespace magpie {

// Sends a direct command and passes its result to the scheduler. Blocks on I/O for at most the
// timeout of the command, without holding the mutex of `state`. Thread safe.
void DeliverCommand(LeaderState& state, const DirectCommand& command);

}  // namespace magpie
