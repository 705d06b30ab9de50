// The rate limit of the simulated services.
#pragma once

#include <algorithm>

#include "model/time.h"

namespace magpie::load_test {

// A token bucket. Its capacity is the number of tokens that its rate yields in the time `burst`,
// but at least 1. Not thread-safe.
class RateLimit {
 public:
  // A rate of 0 means no limit.
  RateLimit(double per_second, Seconds burst)
      : per_second_(per_second),
        capacity_(std::max(1.0, per_second * burst.value)),
        available_(capacity_) {}

  // Takes `count` tokens if all of them are available, else none.
  bool TryAcquire(double count, Instant now) {
    if (per_second_ <= 0) return true;
    available_ =
        std::min(capacity_, available_ + per_second_ * std::max(0.0, (now - refilled_).value));
    refilled_ = now;
    if (available_ < count) return false;
    available_ -= count;
    return true;
  }

 private:
  double per_second_;
  double capacity_;
  double available_;
  Instant refilled_;
};

}  // namespace magpie::load_test
