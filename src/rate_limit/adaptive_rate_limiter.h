// Limits the rate of calls to a service that an unknown number of controllers share: additive
// increase while calls wait, multiplicative decrease when a call is refused.
#pragma once

#include "model/time.h"

namespace magpie {

// A token bucket with a capacity of one second of calls and a rate that adapts to refusals. The
// caller passes the time and sleeps. Not thread-safe.
class AdaptiveRateLimiter {
 public:
  struct Options {
    double maximum = 1;           // calls per second that the service accepts from all callers
    double initial = 0.1;         // initial and idle rate, as a fraction of `maximum`
    double minimum = 0.01;        // lowest rate, as a fraction of `maximum`
    double growth = 0.12;         // increase per second of waiting, as a fraction of `maximum`
    Seconds refusal_window{0.5};  // after a decrease, when refusals do not lower the rate
  };

  explicit AdaptiveRateLimiter(Options options);

  // Takes `cost` calls from the bucket and returns 0 if they may be sent now. Otherwise takes
  // nothing and returns the time to wait before the next try.
  Seconds TryAcquire(double cost, Instant now);
  // Takes `cost` calls from the bucket unconditionally, for calls that are not delayed. Later calls
  // wait longer instead.
  void AcquireNow(double cost, Instant now);
  // The time until `cost` calls could be sent at the current rate.
  Seconds WaitTime(double cost, Instant now);
  // To be called when the service has refused a call because of its rate limit.
  void OnRefused(Instant now);
  double rate() const { return rate_; }  // calls per second

 private:
  double BucketCapacity() const;
  void Refill(Instant now);
  void AdjustRate(Seconds elapsed);

  Options options_;
  double rate_;
  double tokens_;  // negative after AcquireNow() or a cost above the capacity
  Instant last_refill_;
  bool started_ = false;
  bool waited_since_refill_ = false;
  Instant last_decrease_{-1e18};
};

}  // namespace magpie
