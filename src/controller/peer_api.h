// The HTTP API for other controllers.
#pragma once

#include "cancellation/cancellation_registry.h"
#include "controller/heartbeat_handler.h"
#include "controller/job_router.h"
#include "controller/leader_state.h"
#include "net/http_server.h"

namespace magpie {

// Handles the calls that PeerClients makes. Thread safe; blocks on I/O.
class PeerApi {
 public:
  PeerApi(LeaderState& state, HeartbeatHandler& heartbeats, JobRouter& jobs,
          CancellationRegistry& cancellations);

  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse HandleGet(const HttpRequest& request);
  HttpResponse HandlePost(const HttpRequest& request);
  HttpResponse HandleProgress();
  HttpResponse HandleCancellation(const HttpRequest& request);
  HttpResponse HandleForwardedJobRequest(const HttpRequest& request);

  LeaderState& state_;
  HeartbeatHandler& heartbeats_;
  JobRouter& jobs_;
  CancellationRegistry& cancellations_;
};

}  // namespace magpie
