#include "controller/command_delivery.h"

#include <spdlog/spdlog.h>

#include <mutex>

#include "clock/clock.h"
#include "worker/worker_client.h"

namespace magpie {
namespace {

constexpr Seconds kCommandTimeout{2};
// A responsive worker answers a probe within milliseconds. A worker that hangs blocks a probe
// thread for the whole timeout, and a hundred may hang at the same time.
constexpr Seconds kProbeTimeout{1};

void LogResult(const DirectCommand& command, const DirectCommandResult& result) {
  if (result.status != DeliveryStatus::kAnswered) {
    spdlog::debug("command failed machine={} token={} agent_epoch={} reason={}",
                  command.machine.value, command.token.value, command.agent_epoch,
                  result.status == DeliveryStatus::kNotSent ? "not_sent" : "no_answer");
    return;
  }
  spdlog::debug(
      "command answered machine={} token={} agent_epoch={} commands={} seen_token={} "
      "answer_agent_epoch={} sequence={}",
      command.machine.value, command.token.value, command.agent_epoch, command.commands.size(),
      result.heartbeat->token.value, result.heartbeat->agent_epoch, result.heartbeat->sequence);
}

}  // namespace

void DeliverCommand(LeaderState& state, const DirectCommand& command) {
  const bool probe = command.commands.empty();
  const DirectCommandResult result =
      SendDirectCommand(command, probe ? kProbeTimeout : kCommandTimeout);
  const bool answered = result.status == DeliveryStatus::kAnswered;
  {
    std::scoped_lock lock(state.mutex());
    if (answered) state.health().OnDirectContact(SteadyNow());
    state.scheduler().OnDirectCommandResult(command, result.status, result.heartbeat, SteadyNow());
    state.NotifyCommandThreads();
    state.RequestPlanningIfWanted();
  }
  LogResult(command, result);
}

}  // namespace magpie
