// Detects that several machines have failed at about the same time.
//
// Such failures often affect further machines, so while the alarm is on, the other machines are
// probed before their heartbeats are late.
#pragma once

#include <deque>

#include "model/time.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class MassFailureAlarm {
 public:
  void Clear();
  // Records that a machine that sent heartbeats before did not answer its first probe.
  void RecordFailedProbe(Instant now);
  // Turns the alarm on; called when a machine is found to have failed.
  void Raise(Instant now);
  bool IsOn(Instant now) const { return now < until_; }

 private:
  Instant until_;
  std::deque<Instant> failed_probes_;  // within the last kFailureWindow
};

}  // namespace magpie
