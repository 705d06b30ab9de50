// A token bucket whose burst is a number of seconds of its rate.
#pragma once

#include <algorithm>

#include "model/time.h"

namespace magpie::load_test {

class RateLimit {
 public:
  // A rate of 0 means no limit.
  RateLimit(double a_second, Seconds burst)
      : a_second_(a_second), max_(std::max(1.0, a_second * burst.value)), left_(max_) {}

  // Takes `count` tokens if all of them are available, else none.
  bool Take(double count, Instant now) {
    if (a_second_ <= 0) return true;
    left_ = std::min(max_, left_ + a_second_ * std::max(0.0, (now - refilled_).value));
    refilled_ = now;
    if (left_ < count) return false;
    left_ -= count;
    return true;
  }

 private:
  double a_second_;
  double max_;
  double left_;
  Instant refilled_;
};

}  // namespace magpie::load_test
