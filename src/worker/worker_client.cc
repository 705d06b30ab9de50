#include "worker/worker_client.h"

#include <spdlog/spdlog.h>

#include "net/http_client.h"
#include "protocol/codec.h"

namespace magpie {
namespace {

constexpr Seconds kConnectTimeout{1};
// Many probes are sent at once when machines fail, and most of these machines do not respond. A
// live machine accepts a connection within milliseconds.
constexpr Seconds kProbeConnectTimeout{0.4};
constexpr std::size_t kNoIdleConnections = 0;  // many workers, rare calls to any one of them
constexpr int kExecuted = 200;
constexpr int kNotExecuted = 409;  // token or agent epoch mismatch; the body is a heartbeat too

}  // namespace

DirectCommandResult SendDirectCommand(const DirectCommand& direct_command, Seconds timeout) {
  const auto address = Address::Parse(direct_command.addr);
  if (!address) return {DeliveryStatus::kNotSent, std::nullopt};
  const bool probe = direct_command.commands.empty();
  HttpClient client(*address, probe ? kProbeConnectTimeout : kConnectTimeout, timeout,
                    kNoIdleConnections);
  const protocol::Json body = protocol::DirectCommandToJson(
      direct_command.token, direct_command.agent_epoch, direct_command.commands);
  const HttpAnswer answer = client.Post(protocol::kCommandsPath, body.dump());
  if (!answer.sent) return {DeliveryStatus::kNotSent, std::nullopt};
  if (!answer.answered || (answer.status != kExecuted && answer.status != kNotExecuted))
    return {DeliveryStatus::kUnknown, std::nullopt};
  try {
    return {DeliveryStatus::kAnswered,
            protocol::HeartbeatFromJson(protocol::ParseObject(answer.body))};
  } catch (const protocol::InvalidMessage& error) {
    spdlog::error("direct command response rejected machine={} error=\"{}\"",
                  direct_command.machine.value, error.what());
    return {DeliveryStatus::kUnknown, std::nullopt};
  }
}

}  // namespace magpie
