#include "scheduling/mass_failure_alarm.h"

namespace magpie {
namespace {
constexpr Seconds kAlarmDuration{10};
constexpr Seconds kFailureWindow{2};
constexpr std::size_t kMinFailures = 3;
}  // namespace

void MassFailureAlarm::Clear() {
  until_ = {};
  failed_probes_.clear();
}

void MassFailureAlarm::RecordFailedProbe(Instant now) {
  failed_probes_.push_back(now);
  while (now - failed_probes_.front() > kFailureWindow) failed_probes_.pop_front();
  if (failed_probes_.size() >= kMinFailures) Raise(now);
}

void MassFailureAlarm::Raise(Instant now) { until_ = now + kAlarmDuration; }

}  // namespace magpie
