// The HTTP API for workers and users.
#pragma once

#include <cstddef>

#include "controller/concurrency_limiter.h"
#include "controller/heartbeat_handler.h"
#include "controller/job_router.h"
#include "controller/leader_state.h"
#include "controller/peer_clients.h"
#include "net/http_server.h"

namespace magpie {

// Handles heartbeats, health checks and users' requests. Thread safe; blocks on I/O.
class UserApi {
 public:
  // `concurrent_requests`: the limit of concurrent requests on the server. Users' requests may use
  // only a part of it, so that they can't starve heartbeats and health checks.
  UserApi(std::size_t concurrent_requests, LeaderState& state, HeartbeatHandler& heartbeats,
          JobRouter& jobs, PeerClients& peers);

  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse HandleHeartbeat(const HttpRequest& request);
  HttpResponse HandleHealthCheck(const HttpRequest& request);
  HttpResponse HandleUserRequest(const HttpRequest& request);

  LeaderState& state_;
  HeartbeatHandler& heartbeats_;
  JobRouter& jobs_;
  PeerClients& peers_;
  ConcurrencyLimiter user_requests_;
};

}  // namespace magpie
