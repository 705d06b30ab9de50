#include "controller/user_api.h"

#include "controller/http_responses.h"
#include "protocol/codec.h"

namespace magpie {

UserApi::UserApi(std::size_t concurrent_requests, LeaderState& state, HeartbeatHandler& heartbeats,
                 JobRouter& jobs, PeerClients& peers)
    : state_(state),
      heartbeats_(heartbeats),
      jobs_(jobs),
      peers_(peers),
      user_requests_({.max_requests = concurrent_requests * 3 / 4,
                      .max_requests_for_poll = concurrent_requests / 2}) {}

HttpResponse UserApi::Handle(const HttpRequest& request) {
  const std::string path = PathOf(request);
  if (path == protocol::kHeartbeatPath) return HandleHeartbeat(request);
  if (path == protocol::kHealthPath) return HandleHealthCheck(request);
  return HandleUserRequest(request);
}

HttpResponse UserApi::HandleHeartbeat(const HttpRequest& request) {
  HttpResponse response = request.method == "POST"
                              ? heartbeats_.Handle(request.body, HeartbeatRoute::kDirect)
                              : MethodNotAllowedResponse("POST");
  response.close_if_busy = true;  // workers can outnumber the sockets
  return response;
}

// A controller that has peers is unhealthy if it can reach neither the key-value store nor any
// peer. If no controller can reach the store, those that reach a peer stay healthy, because a load
// balancer without targets would only prolong the outage.
HttpResponse UserApi::HandleHealthCheck(const HttpRequest& request) {
  if (request.method != "GET") return MethodNotAllowedResponse("GET");
  const bool healthy = state_.StoreReachable() || peers_.empty() || peers_.AnyReachable();
  return healthy ? HttpResponse{200, R"({"ok":true})"} : HttpResponse{503, R"({"ok":false})"};
}

HttpResponse UserApi::HandleUserRequest(const HttpRequest& request) {
  const RequestPermit permit(user_requests_);
  const RequestKind kind = request.method == "GET" ? RequestKind::kPoll : RequestKind::kChange;
  if (!permit.Admits(kind)) return BusyResponse("busy", 1);
  // If the key-value store is unreachable, try a peer first. Otherwise handle the request here and
  // forward it only if the store became unreachable in the meantime.
  const bool store_reachable = state_.StoreReachable();
  if (!store_reachable)
    if (auto response = peers_.ForwardJobRequest(request)) return *response;
  HttpResponse response = jobs_.Handle(request);
  if (store_reachable && response.status == 503 && !state_.StoreReachable())
    if (auto forwarded = peers_.ForwardJobRequest(request)) return *forwarded;
  return response;
}

}  // namespace magpie
