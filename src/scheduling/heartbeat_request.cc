#include "scheduling/heartbeat_request.h"

#include <algorithm>

namespace magpie {
namespace {

// The part of a lease in which a worker sends at most one heartbeat because of a higher token.
constexpr double kLeaseFraction = 0.5;
// For the time that a message takes to the worker.
constexpr Seconds kMargin{0.25};

bool IsUrgent(const JobSpec& spec) {
  return spec.kind == JobKind::kService || spec.priority >= Priority::kHigh;
}

}  // namespace

void RecordTokenRaise(Machine& machine, Seconds lease, Instant now) {
  if (AnswersTokenRaise(machine, lease, now)) machine.token_raise_answered_at = now;
}

bool AnswersTokenRaise(const Machine& machine, Seconds lease, Instant now) {
  return !machine.token_raise_answered_at ||
         now - *machine.token_raise_answered_at >= kLeaseFraction * lease + kMargin;
}

Seconds StartDelay(const Machine& machine, Seconds lease, Seconds heartbeat_interval, Instant now) {
  if (AnswersTokenRaise(machine, lease, now)) return {};
  return std::max(Seconds{0}, machine.heartbeat_received_at + heartbeat_interval - now);
}

bool NeedsHeartbeatNow(const Machine& machine) {
  const auto is_live = [](const HeldTask& held) { return held.task().listed; };
  const auto is_urgent_start = [](const HeldTask& held) {
    const Task& task = held.task();
    return task.state == TaskPhase::kBound && !task.listed && IsUrgent(held.job->spec);
  };
  return std::none_of(machine.tasks.begin(), machine.tasks.end(), is_live) ||
         std::any_of(machine.tasks.begin(), machine.tasks.end(), is_urgent_start);
}

}  // namespace magpie
