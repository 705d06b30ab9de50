#include "controller/peer_clients.h"

#include "cancellation/cancellation_registry.h"
#include "protocol/codec.h"

namespace magpie {
namespace {
using protocol::Json;
constexpr Seconds kConnectTimeout{0.7};
constexpr Seconds kAnswerTimeout{2};
constexpr std::size_t kIdleConnections = 2;
}  // namespace

PeerClients::PeerClients(const std::vector<PeerSettings>& peers) {
  for (const PeerSettings& peer : peers)
    clients_[peer.label] = std::make_unique<HttpClient>(peer.peer_address, kConnectTimeout,
                                                        kAnswerTimeout, kIdleConnections);
}

std::vector<std::string> PeerClients::labels() const {
  std::vector<std::string> labels;
  for (const auto& [label, client] : clients_) labels.push_back(label);
  return labels;
}

HttpAnswer PeerClients::RelayHeartbeat(const std::string& peer, const std::string& body) {
  return clients_.at(peer)->Post(kPeerHeartbeatPath, body);
}

bool PeerClients::AnnounceCancellation(const std::string& peer,
                                       const JobCache::Cancellation& cancellation) {
  const HttpAnswer answer =
      clients_.at(peer)->Post(kPeerCancelledPath, CancellationRegistry::Announcement(cancellation));
  return answer.answered && answer.status == 200;
}

std::optional<HttpResponse> PeerClients::ForwardJobRequest(const HttpRequest& request) {
  if (!request.path.starts_with(protocol::kJobsPath)) return std::nullopt;
  const Json body{{"method", request.method}, {"path", request.path}, {"body", request.body}};
  const std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  for (const auto& [label, client] : clients_) {
    const HttpAnswer answer = client->Post(kPeerJobsPath, text);
    if (!answer.answered || answer.status == 503) continue;
    return HttpResponse{answer.status, answer.body};
  }
  return std::nullopt;
}

std::optional<std::string> PeerClients::FetchProgress(const std::string& leader) {
  const auto client = clients_.find(leader);
  if (client == clients_.end()) return std::nullopt;
  const HttpAnswer answer = client->second->Get(kPeerProgressPath);
  if (!answer.answered || answer.status != 200) return std::nullopt;
  return answer.body;
}

bool PeerClients::AnyReachable() {
  for (const auto& [label, client] : clients_)
    if (client->Get(kPeerPingPath).answered) return true;
  return false;
}

}  // namespace magpie
