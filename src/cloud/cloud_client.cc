#include "cloud/cloud_client.h"

#include <spdlog/spdlog.h>

#include "protocol/codec.h"

namespace magpie {
namespace {

constexpr std::uint32_t kPageSize = 500;
constexpr int kMaxPages = 100;
constexpr Seconds kConnectTimeout{1};
constexpr std::size_t kIdleConnections = 2;

CloudStatus StatusOf(const HttpAnswer& answer) {
  if (!answer.sent) return CloudStatus::kRefused;
  if (!answer.answered) return CloudStatus::kUnknown;
  if (answer.status == 503 && answer.body.find("no capacity") != std::string::npos)
    return CloudStatus::kNoCapacity;
  if (answer.status == 400) return CloudStatus::kNoCapacity;  // malformed: a retry would fail too
  if (answer.status == 429 || answer.status == 503) return CloudStatus::kRefused;
  return CloudStatus::kUnknown;
}

}  // namespace

CloudClient::CloudClient(const Address& address, Seconds timeout)
    : client_(address, kConnectTimeout, timeout, kIdleConnections) {}

std::optional<std::vector<MachineType>> CloudClient::Types() {
  const HttpAnswer answer = client_.Get(protocol::kTypesPath);
  if (answer.status != 200) return std::nullopt;
  try {
    return protocol::TypesFromJson(protocol::ParseObject(answer.body));
  } catch (const protocol::InvalidMessage& error) {
    spdlog::error("machine types rejected error=\"{}\"", error.what());
    return std::nullopt;
  }
}

ProvisionResult CloudClient::Provision(const ScaleOutRequest& request) {
  const MachineKind& kind = request.kind;
  const protocol::Json body =
      protocol::ProvisionToJson(request.name, kind.type, kind.zone, kind.spot, request.count);
  const HttpAnswer answer = client_.Post(protocol::kMachinesPath, body.dump());
  if (answer.status != 200) return {StatusOf(answer), {}};
  try {
    return {CloudStatus::kOk, protocol::MachineIdsFromJson(protocol::ParseObject(answer.body))};
  } catch (const protocol::InvalidMessage& error) {
    spdlog::error("provisioning response rejected error=\"{}\"", error.what());
    return {CloudStatus::kUnknown, {}};
  }
}

CloudStatus CloudClient::Release(const std::vector<MachineId>& machines) {
  const HttpAnswer answer =
      client_.Post(protocol::kReleasePath, protocol::MachineIdsToJson(machines).dump());
  if (answer.status == 200) return CloudStatus::kOk;
  const CloudStatus status = StatusOf(answer);
  return status == CloudStatus::kNoCapacity ? CloudStatus::kRefused : status;
}

std::optional<std::vector<ListedMachine>> CloudClient::List() {
  std::vector<ListedMachine> machines;
  MachineId after;
  for (int i = 0; i < kMaxPages; ++i) {
    const HttpAnswer answer = client_.Get(protocol::MachineListQuery(after, kPageSize));
    if (answer.status != 200) return std::nullopt;
    try {
      protocol::MachinePage page =
          protocol::MachinePageFromJson(protocol::ParseObject(answer.body));
      machines.insert(machines.end(), page.machines.begin(), page.machines.end());
      if (!page.more || page.machines.empty()) return machines;
      after = page.machines.back().id;
    } catch (const protocol::InvalidMessage& error) {
      spdlog::error("machine list rejected error=\"{}\"", error.what());
      return std::nullopt;
    }
  }
  return machines;
}

}  // namespace magpie
