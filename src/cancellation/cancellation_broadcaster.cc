#include "cancellation/cancellation_broadcaster.h"

#include <utility>

#include "model/safety_checks.h"

namespace magpie {
namespace {
constexpr Seconds kRetryInterval{2};  // of a member that did not answer
constexpr Seconds kPatience{1.5};     // of one broadcast
// What may be on its way when a lease ends: a response (4 s, counted from its heartbeat), a direct
// command without an answer (4 s) and the heartbeat after it.
constexpr Seconds kMaxMessagesInFlight{8};
constexpr double kMaxClockDrift = 0.001;  // as a fraction
}  // namespace

bool CancellationBroadcaster::AllowsEarlyAcknowledgement(Seconds lease, Seconds cancel) {
  return cancel >= lease + kMaxMessagesInFlight + kMaxClockDrift * (lease + cancel);
}

CancellationBroadcaster::CancellationBroadcaster(Options options, Hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

CancellationBroadcaster::Recipients CancellationBroadcaster::SelectRecipients() {
  std::scoped_lock lock(mutex_);
  Recipients recipients;
  std::vector<std::string> last;
  for (const std::string& member : options_.peers) {
    const auto failure = last_failures_.find(member);
    if (failure == last_failures_.end())
      recipients.members.push_back(member);
    else if (hooks_.now() - failure->second >= kRetryInterval)
      last.push_back(member);
    else
      recipients.complete = false;
  }
  recipients.members.insert(recipients.members.end(), last.begin(), last.end());
  return recipients;
}

bool CancellationBroadcaster::Broadcast(const JobId& job, Revision revision) {
  const Instant until = hooks_.now() + kPatience;
  const bool recorded = hooks_.record(job, revision);
  const Recipients recipients = SelectRecipients();
  bool all_acknowledged = recorded && recipients.complete;
  for (const std::string& member : recipients.members) {
    if (hooks_.now() >= until) return false;
    const bool acknowledged = hooks_.announce(member, job, revision);
    all_acknowledged = all_acknowledged && acknowledged;
    std::scoped_lock lock(mutex_);
    if (acknowledged)
      last_failures_.erase(member);
    else
      last_failures_[member] = hooks_.now();
  }
  if (options_.acknowledge_only_when_final) return false;
  return all_acknowledged || IsDisabled(SafetyCheck::kAllControllersAcknowledged);
}

}  // namespace magpie
