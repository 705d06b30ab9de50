#include "controller/heartbeat_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "controller/http_responses.h"
#include "protocol/codec.h"

namespace magpie {
namespace {

// Whether the response starts or stops tasks.
bool IsUrgent(const HeartbeatResponse& response) {
  return std::any_of(response.commands.begin(), response.commands.end(),
                     [](const Command& command) { return command.kind != CommandKind::kForget; });
}

// 421 redirects a worker to the named leader or, without a label, to any other controller.
HttpResponse RedirectTo(const std::string& leader) {
  return {421, protocol::RedirectToJson(leader).dump()};
}

HttpResponse RedirectToAnyPeer() { return EmptyResponse(421); }

HttpResponse RenewalResponse(const HeartbeatResponse& response) {
  return {200, protocol::HeartbeatResponseToJson(response.token, response.commands).dump()};
}

HttpResponse RenewalByFollower(const Heartbeat& heartbeat, const HeartbeatResponse& response) {
  spdlog::debug("lease renewed machine={} token={} seen_token={} agent_epoch={} by=follower",
                heartbeat.machine.value, response.token.value, heartbeat.token.value,
                heartbeat.agent_epoch);
  return RenewalResponse(response);
}

}  // namespace

HeartbeatHandler::HeartbeatHandler(Options options, std::mutex& mutex, Scheduler& scheduler,
                                   LeaderHealth& leader_health, CancellationRegistry& cancellations,
                                   Hooks hooks)
    : options_(std::move(options)),
      mutex_(mutex),
      scheduler_(scheduler),
      leader_health_(leader_health),
      cancellations_(cancellations),
      hooks_(std::move(hooks)),
      redirect_tracker_(options_.lease),
      leader_reachability_(options_.leader_lease) {}

void HeartbeatHandler::OnLeaderChanged() {
  leader_reachability_.OnLeaderChanged();
  redirect_tracker_.OnLeaderChanged();
}

HttpResponse HeartbeatHandler::Handle(const std::string& body, HeartbeatRoute route) {
  Heartbeat heartbeat;
  try {
    heartbeat = protocol::HeartbeatFromJson(protocol::ParseObject(body));
  } catch (const protocol::InvalidMessage& error) {
    spdlog::warn("heartbeat rejected error=\"{}\"", error.what());
    return ErrorResponse(400, "malformed report");
  }
  if (auto response = HandleAsLeader(heartbeat, route)) return *response;
  if (route == HeartbeatRoute::kRelayed) return RedirectToAnyPeer();
  return Redirect(heartbeat, body);
}

std::optional<HttpResponse> HeartbeatHandler::HandleAsLeader(const Heartbeat& heartbeat,
                                                             HeartbeatRoute route) {
  std::unique_lock lock(mutex_);
  if (!scheduler_.leading()) return std::nullopt;
  const Instant now = hooks_.now();
  if (route == HeartbeatRoute::kRelayed)
    leader_health_.OnRelayedHeartbeat(heartbeat.machine, now);
  else
    leader_health_.OnDirectContact(now);
  scheduler_.AllowTaskStarts(cancellations_.Loaded());
  HeartbeatResponse response = scheduler_.OnHeartbeat(heartbeat, now, route);
  if (response.redirect_to_leader) return RedirectToAnyPeer();
  if (!response.accepted) {
    spdlog::debug("heartbeat rejected machine={} seen_token={} reason=later_token",
                  heartbeat.machine.value, heartbeat.token.value);
    return std::nullopt;
  }
  hooks_.on_heartbeat_applied();
  if (route == HeartbeatRoute::kDirect && !AwaitStarts(lock, heartbeat.machine, response))
    return std::nullopt;
  // The scheduler has applied the heartbeat even if the lease must not be renewed.
  const auto completed = cancellations_.CompleteResponse(heartbeat, std::move(response));
  if (!completed) return ErrorResponse(503, "not covered");
  return RenewalResponse(*completed);
}

bool HeartbeatHandler::AwaitStarts(std::unique_lock<std::mutex>& lock, const MachineId& machine,
                                   HeartbeatResponse& response) {
  if (delayed_responses_ >= options_.max_delayed_responses || !scheduler_.loaded() ||
      IsUrgent(response) ||
      scheduler_.MaxResponseDelay(machine, response.capacity_freed, hooks_.now()).value <= 0)
    return true;
  const FencingToken term = scheduler_.term_token();
  scheduler_.DelayResponse(machine);
  ++delayed_responses_;
  WaitWhileStartsExpected(lock, machine, response.capacity_freed);
  --delayed_responses_;
  if (scheduler_.term_token() != term) return false;
  scheduler_.AllowTaskStarts(cancellations_.Loaded());
  scheduler_.UpdateResponse(machine, response);
  return true;
}

void HeartbeatHandler::WaitWhileStartsExpected(std::unique_lock<std::mutex>& lock,
                                               const MachineId& machine, bool capacity_freed) {
  const FencingToken term = scheduler_.term_token();
  const std::uint64_t round = scheduler_.planning_rounds();
  const Instant begin = hooks_.now();
  while (scheduler_.term_token() == term) {
    const bool awaits_planning = capacity_freed && scheduler_.planning_rounds() == round;
    const Instant now = hooks_.now();
    const Seconds remaining =
        begin + scheduler_.MaxResponseDelay(machine, awaits_planning, now) - now;
    if (remaining.value <= 0) return;
    hooks_.wait_for_progress(lock, remaining);
  }
}

HttpResponse HeartbeatHandler::Redirect(const Heartbeat& heartbeat, const std::string& body) {
  const Redirection redirection = ChooseRedirection(heartbeat);
  if (redirection.renewal) return *redirection.renewal;
  if (redirection.leader.empty()) hooks_.on_no_leader();
  if (!options_.peers.contains(redirection.leader)) return EmptyResponse(503);
  if (!redirection.leader_unreachable) return RedirectTo(redirection.leader);
  return Relay(heartbeat, body, redirection.leader);
}

HeartbeatHandler::Redirection HeartbeatHandler::ChooseRedirection(const Heartbeat& heartbeat) {
  std::scoped_lock lock(mutex_);
  const ClusterView cluster_view = hooks_.cluster_view();
  Redirection redirection;
  if (!scheduler_.leading()) redirection.leader = cluster_view.leader;
  // There was no leader when this controller lost its connection to the key-value store, so it
  // can't redirect the worker. The worker has no token of a later leader, so this controller may
  // renew the worker's lease itself.
  if (redirection.leader.empty() && cluster_view.partitioned &&
      EpochOf(heartbeat.token) <= cluster_view.epoch) {
    if (const auto response = cancellations_.FollowerResponse(heartbeat)) {
      redirection.renewal = RenewalByFollower(heartbeat, *response);
      return redirection;
    }
  }
  // A worker with the current leader's token sends its heartbeat to a follower only if it has lost
  // its connection to the leader. The follower, which is this controller, may still reach the
  // leader. Workers are also not redirected to a leader that this controller can't reach or that
  // may have been replaced since the store became unreachable.
  redirection.leader_unreachable = EpochOf(heartbeat.token) == cluster_view.epoch ||
                                   cluster_view.partitioned || leader_reachability_.TimesOut();
  if (!redirection.leader_unreachable && !redirection.leader.empty())
    redirection.leader_unreachable =
        redirect_tracker_.ReturnedFromLeader(heartbeat.machine, hooks_.now());
  return redirection;
}

HttpResponse HeartbeatHandler::Relay(const Heartbeat& heartbeat, const std::string& body,
                                     const std::string& leader) {
  const auto answer = TryRelay(heartbeat, body, leader);
  {
    std::scoped_lock lock(mutex_);
    const Instant now = hooks_.now();
    if (!answer) return RenewLeaseIfAllowed(heartbeat, now);
    if (!answer->answered) {
      leader_reachability_.OnFailure(now, answer->timed_out);
      return RenewLeaseIfAllowed(heartbeat, now);
    }
    if (answer->status == 503)
      leader_reachability_.OnDeclined(now);
    else
      leader_reachability_.OnAnswer();
  }
  if (answer->status == 200) return {200, answer->body};
  // The leader's 421 means that the worker can reach the leader again.
  if (answer->status == 421) return RedirectTo(leader);
  return RedirectToAnyPeer();
}

std::optional<HttpAnswer> HeartbeatHandler::TryRelay(const Heartbeat& heartbeat,
                                                     const std::string& body,
                                                     const std::string& leader) {
  {
    std::scoped_lock lock(mutex_);
    if (!leader_reachability_.MayRelay(hooks_.now())) return std::nullopt;
  }
  HttpAnswer answer = hooks_.relay(leader, body);
  spdlog::debug("heartbeat relayed machine={} leader={} status={}", heartbeat.machine.value, leader,
                answer.status);
  return answer;
}

HttpResponse HeartbeatHandler::RenewLeaseIfAllowed(const Heartbeat& heartbeat, Instant now) {
  const ClusterView cluster_view = hooks_.cluster_view();
  if (leader_reachability_.MayRenewLease(heartbeat.token, cluster_view.epoch,
                                         cluster_view.partitioned, now))
    if (const auto response = cancellations_.FollowerResponse(heartbeat))
      return RenewalByFollower(heartbeat, *response);
  return RedirectToAnyPeer();
}

}  // namespace magpie
