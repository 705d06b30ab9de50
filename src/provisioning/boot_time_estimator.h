// Estimates the boot times of machines from recent boots.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "model/time.h"

namespace magpie {

// Predicts boot times by machine type from the nominal time and the latest boots.
//
// Policy: predictions use the boots of the last minutes; older ones are ignored. When a machine has
// been booting for much longer than a recorded boot took, that record is discarded. By the
// predictions, a booting machine first counts as future capacity, then as late, so that a
// replacement is planned. Finally it is released, since a machine that never boots is charged until
// its release.
//
// Not thread safe; does no I/O and reads no clock.
class BootTimeEstimator {
 public:
  // Sets the boot time that the cloud states for a type.
  void SetNominalTime(const std::string& type, Seconds boot) { nominal_times_[type] = boot; }
  // A provisioned machine became ready `boot` after its request.
  void RecordBoot(const std::string& type, Seconds boot, Instant now);
  // A machine of this age is still booting. Returns whether that changes the predictions.
  bool RecordWait(const std::string& type, Seconds age);

  // The expected boot time of a machine that is provisioned now.
  Seconds ExpectedTime(const std::string& type, Instant now) const;
  // The age at which a booting machine is late and no longer counts as future capacity.
  Seconds LateAfter(const std::string& type, Instant now) const;
  // The age at which a booting machine is released: at most `maximum` unless it is not yet late
  // then, and at least `min_billed`, the time that is charged in any case.
  Seconds GiveUpAfter(const std::string& type, Seconds min_billed, Seconds maximum,
                      Instant now) const;

 private:
  struct BootSample {
    Instant at;
    double ratio = 1;  // boot time divided by the nominal boot time
  };
  Seconds NominalTime(const std::string& type) const;
  // The quantile of the recent boots' ratios; 1 if there are too few.
  double RatioAt(const std::string& type, double quantile, Instant now) const;

  std::map<std::string, Seconds> nominal_times_;
  std::map<std::string, std::deque<BootSample>> recent_boots_;  // by machine type, oldest first
};

}  // namespace magpie
