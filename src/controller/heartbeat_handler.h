// Handles workers' heartbeats.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "cancellation/cancellation_registry.h"
#include "controller/leader_reachability.h"
#include "controller/redirect_tracker.h"
#include "election/leader_health.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "scheduling/scheduler.h"

namespace magpie {

// The leader passes a heartbeat to its scheduler and returns the response, as soon as tasks that
// are being bound to the machine can be started by it. A follower redirects the worker to the
// leader. If the worker can't reach the leader, the follower relays the heartbeat; if the follower
// can't reach the leader either, it renews the worker's lease itself.
//
// Each 200 response has passed through the CancellationRegistry of this controller or, for a
// relayed heartbeat, of the leader.
//
// Thread safe. Blocks on I/O while it relays, and for up to 2.5 s while tasks may be bound.
class HeartbeatHandler {
 public:
  // The leadership according to the latest answer of the key-value store.
  struct ClusterView {
    std::string leader;  // empty: there is no leader
    Revision epoch;
    bool partitioned = false;  // this controller can't reach the store
  };
  struct Hooks {
    std::function<Instant()> now;
    std::function<ClusterView()> cluster_view;   // called with the mutex held
    std::function<void()> on_heartbeat_applied;  // called with the mutex held
    std::function<void()> on_no_leader;          // called without the mutex if there is no leader
    // Relays a heartbeat to another controller.
    std::function<HttpAnswer(const std::string& peer, const std::string& body)> relay;
    // Blocks until a planning round or a write has ended, at most for `max_wait`. `lock` holds the
    // mutex. Not called if Options::max_delayed_responses is 0.
    std::function<void(std::unique_lock<std::mutex>& lock, Seconds max_wait)> wait_for_progress =
        nullptr;
  };
  struct Options {
    Seconds lease;         // duration of a worker's lease
    Seconds leader_lease;  // duration of the lease on the leader's key in the store
    std::set<std::string> peers;
    // Maximum number of responses that wait at the same time for tasks to be bound.
    std::size_t max_delayed_responses = 0;
  };

  // `mutex` guards `scheduler` and `leader_health`; it is not held across I/O.
  HeartbeatHandler(Options options, std::mutex& mutex, Scheduler& scheduler,
                   LeaderHealth& leader_health, CancellationRegistry& cancellations, Hooks hooks);

  // `body` is the heartbeat as JSON.
  HttpResponse Handle(const std::string& body, HeartbeatRoute route);
  // Called with the mutex held when the leader's label changes, also if there is no leader any
  // more.
  void OnLeaderChanged();

 private:
  // How a follower responds to a worker's heartbeat.
  struct Redirection {
    std::string leader;                   // empty: there is no leader
    bool leader_unreachable = false;      // relay the heartbeat instead
    std::optional<HttpResponse> renewal;  // sent instead, if this controller renewed the lease
  };
  // The leader's response. None if this controller does not lead or the worker has the token of a
  // later leader.
  std::optional<HttpResponse> HandleAsLeader(const Heartbeat& heartbeat, HeartbeatRoute route);
  // Delays the response if a task is expected to be bound to the machine, so that it can start the
  // task. Returns false if the term has ended meanwhile.
  bool AwaitStarts(std::unique_lock<std::mutex>& lock, const MachineId& machine,
                   HeartbeatResponse& response);
  void WaitWhileStartsExpected(std::unique_lock<std::mutex>& lock, const MachineId& machine,
                               bool capacity_freed);
  HttpResponse Redirect(const Heartbeat& heartbeat, const std::string& body);
  Redirection ChooseRedirection(const Heartbeat& heartbeat);
  HttpResponse Relay(const Heartbeat& heartbeat, const std::string& body,
                     const std::string& leader);
  std::optional<HttpAnswer> TryRelay(const Heartbeat& heartbeat, const std::string& body,
                                     const std::string& leader);
  // Called if the leader did not answer or relaying is paused. The caller holds `mutex_`.
  HttpResponse RenewLeaseIfAllowed(const Heartbeat& heartbeat, Instant now);

  Options options_;
  // Guards scheduler_, leader_health_ and the members below.
  std::mutex& mutex_;
  Scheduler& scheduler_;
  LeaderHealth& leader_health_;
  CancellationRegistry& cancellations_;
  Hooks hooks_;
  RedirectTracker redirect_tracker_;
  LeaderReachability leader_reachability_;
  std::size_t delayed_responses_ = 0;
};

}  // namespace magpie
