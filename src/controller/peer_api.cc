#include "controller/peer_api.h"

#include <spdlog/spdlog.h>

#include <exception>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "controller/http_responses.h"
#include "controller/peer_clients.h"
#include "controller/progress_cache.h"
#include "protocol/codec.h"

namespace magpie {
namespace {

HttpResponse RejectRequest(const HttpRequest& request, const std::exception& error) {
  spdlog::warn("peer request rejected path={} error=\"{}\"", request.path, error.what());
  return EmptyResponse(400);
}

}  // namespace

PeerApi::PeerApi(LeaderState& state, HeartbeatHandler& heartbeats, JobRouter& jobs,
                 CancellationRegistry& cancellations)
    : state_(state), heartbeats_(heartbeats), jobs_(jobs), cancellations_(cancellations) {}

HttpResponse PeerApi::Handle(const HttpRequest& request) {
  if (request.method == "GET") return HandleGet(request);
  if (request.method == "POST") return HandlePost(request);
  return ErrorResponse(404, "no such path");
}

HttpResponse PeerApi::HandleGet(const HttpRequest& request) {
  if (request.path == kPeerPingPath) return EmptyResponse(200);
  if (request.path == kPeerProgressPath) return HandleProgress();
  return ErrorResponse(404, "no such path");
}

HttpResponse PeerApi::HandlePost(const HttpRequest& request) {
  if (request.path == kPeerHeartbeatPath)
    return heartbeats_.Handle(request.body, HeartbeatRoute::kRelayed);
  if (request.path == kPeerCancelledPath) return HandleCancellation(request);
  if (request.path == kPeerJobsPath) return HandleForwardedJobRequest(request);
  return ErrorResponse(404, "no such path");
}

HttpResponse PeerApi::HandleProgress() {
  std::map<JobId, JobProgress> progress;
  {
    std::scoped_lock lock(state_.mutex());
    if (!state_.scheduler().loaded()) return EmptyResponse(503);
    progress = state_.scheduler().GetAllJobProgress();
  }
  return {200, ProgressCache::ToJsonText(progress)};
}

HttpResponse PeerApi::HandleCancellation(const HttpRequest& request) {
  try {
    return EmptyResponse(cancellations_.RecordAnnouncement(request.body) ? 200 : 503);
  } catch (const protocol::InvalidMessage& error) {
    return RejectRequest(request, error);
  }
}

// Handles the request on this controller; it is never forwarded again.
HttpResponse PeerApi::HandleForwardedJobRequest(const HttpRequest& request) {
  if (!state_.StoreReachable()) return EmptyResponse(503);
  try {
    const protocol::Json body = protocol::ParseObject(request.body);
    return jobs_.Handle({body.at("method").get<std::string>(), body.at("path").get<std::string>(),
                         body.at("body").get<std::string>()});
  } catch (const protocol::InvalidMessage& error) {
    return RejectRequest(request, error);
  } catch (const nlohmann::json::exception& error) {
    return RejectRequest(request, error);
  }
}

}  // namespace magpie
