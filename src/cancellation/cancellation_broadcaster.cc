#include "cancellation/cancellation_broadcaster.h"

#include <utility>

#include "model/safety_checks.h"

namespace magpie {
namespace {
constexpr Seconds kPeerRetryInterval{2};  // after an unacknowledged announcement
constexpr Seconds kBroadcastTimeout{1.5};
// Covers the messages in flight when a lease ends: a heartbeat response (4 s, counted from its
// heartbeat), an unanswered direct command (4 s) and the heartbeat that follows it.
constexpr Seconds kMaxMessageDelay{8};
constexpr double kMaxClockDrift = 0.001;  // seconds per second
}  // namespace

bool CancellationBroadcaster::AllowsEarlyAcknowledgement(Seconds lease, Seconds cancel_limit) {
  return cancel_limit >= lease + kMaxMessageDelay + kMaxClockDrift * (lease + cancel_limit);
}

CancellationBroadcaster::CancellationBroadcaster(Options options, Hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

CancellationBroadcaster::Recipients CancellationBroadcaster::SelectRecipients() {
  std::scoped_lock lock(mutex_);
  Recipients recipients;
  std::vector<std::string> retried_peers;
  for (const std::string& peer : options_.peers) {
    const auto failure = last_failures_.find(peer);
    if (failure == last_failures_.end())
      recipients.peers.push_back(peer);
    else if (hooks_.now() - failure->second >= kPeerRetryInterval)
      retried_peers.push_back(peer);
    else
      recipients.complete = false;
  }
  recipients.peers.insert(recipients.peers.end(), retried_peers.begin(), retried_peers.end());
  return recipients;
}

bool CancellationBroadcaster::Broadcast(const JobId& job, Revision revision) {
  const Instant deadline = hooks_.now() + kBroadcastTimeout;
  const bool recorded = hooks_.record(job, revision);
  const Recipients recipients = SelectRecipients();
  bool all_acknowledged = recorded && recipients.complete;
  for (const std::string& peer : recipients.peers) {
    if (hooks_.now() >= deadline) return false;
    const bool acknowledged = hooks_.announce(peer, job, revision);
    all_acknowledged = all_acknowledged && acknowledged;
    std::scoped_lock lock(mutex_);
    if (acknowledged)
      last_failures_.erase(peer);
    else
      last_failures_[peer] = hooks_.now();
  }
  if (options_.acknowledge_only_when_final) return false;
  return all_acknowledged || IsDisabled(SafetyCheck::kAllControllersAcknowledged);
}

}  // namespace magpie
