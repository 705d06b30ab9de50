// The HTTP calls to other controllers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "records/job_cache.h"

namespace magpie {

// The paths of calls between controllers, served by PeerApi.
inline constexpr char kPeerHeartbeatPath[] = "/mesh/report";
inline constexpr char kPeerJobsPath[] = "/mesh/jobs";
inline constexpr char kPeerProgressPath[] = "/mesh/counts";
inline constexpr char kPeerPingPath[] = "/mesh/ping";
inline constexpr char kPeerCancelledPath[] = "/mesh/cancelled";

// Thread safe. Each function blocks on I/O, at most for the call timeout times the number of peers
// called.
class PeerClients {
 public:
  explicit PeerClients(const std::vector<PeerSettings>& peers);

  bool empty() const { return clients_.empty(); }
  std::vector<std::string> labels() const;

  // Relays a worker's heartbeat to `peer`, which must be one of labels().
  HttpAnswer RelayHeartbeat(const std::string& peer, const std::string& body);
  // Announces the cancellation to `peer`, which must be one of labels(). Returns whether the peer
  // acknowledged it.
  bool AnnounceCancellation(const std::string& peer, const JobCache::Cancellation& cancellation);
  // Forwards a user's request about jobs to a peer that can reach the key-value store, and returns
  // the response. None if there is no such peer or the request is not about jobs.
  std::optional<HttpResponse> ForwardJobRequest(const HttpRequest& request);
  // The leader's task counts as JSON. None if `leader` is not a peer, does not answer or has not
  // loaded the records.
  std::optional<std::string> FetchProgress(const std::string& leader);
  // Whether any peer answers.
  bool AnyReachable();

 private:
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;  // by label
};

}  // namespace magpie
