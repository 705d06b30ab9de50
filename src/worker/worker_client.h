// Direct commands to workers (PROTOCOL, "Controller nodes -> workers").
#pragma once

#include <optional>

#include "model/direct_command.h"
#include "model/time.h"
#include "model/worker_messages.h"

namespace magpie {

// `heartbeat` is set only with DeliveryStatus::kAnswered.
struct DirectCommandResult {
  DeliveryStatus status = DeliveryStatus::kUnknown;
  std::optional<Heartbeat> heartbeat;
};

// Sends the command over a new connection and waits up to `timeout` for the response.
DirectCommandResult SendDirectCommand(const DirectCommand& direct_command, Seconds timeout);

}  // namespace magpie
