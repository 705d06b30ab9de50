#include "rate_limit/adaptive_rate_limiter.h"

#include <algorithm>

namespace magpie {
namespace {
constexpr Seconds kBurstTime{1};  // bucket capacity, as time at the current rate
constexpr double kMinBurstCalls = 1;
constexpr Seconds kInitialBurstTime{0.3};  // an earlier process may have used up the rate
constexpr double kDecreaseFactor = 0.5;
constexpr double kRoundingTolerance = 1e-9;
}  // namespace

AdaptiveRateLimiter::AdaptiveRateLimiter(Options options)
    : options_(options),
      rate_(options.initial * options.maximum),
      tokens_(std::max(kMinBurstCalls, rate_ * kInitialBurstTime.value)) {}

double AdaptiveRateLimiter::BucketCapacity() const {
  return std::max(kMinBurstCalls, rate_ * kBurstTime.value);
}

void AdaptiveRateLimiter::Refill(Instant now) {
  if (!started_) last_refill_ = now;
  started_ = true;
  const Seconds elapsed{std::max(0.0, (now - last_refill_).value)};
  last_refill_ = now;
  tokens_ = std::min(BucketCapacity(), tokens_ + rate_ * elapsed.value);
  AdjustRate(elapsed);
  if (elapsed.value > 0) waited_since_refill_ = false;
}

// The rate grows while calls wait, and otherwise moves back to the initial rate.
void AdaptiveRateLimiter::AdjustRate(Seconds elapsed) {
  const double step = options_.growth * options_.maximum * std::min(elapsed.value, 1.0);
  const double initial = options_.initial * options_.maximum;
  if (waited_since_refill_)
    rate_ = std::min(options_.maximum, rate_ + step);
  else if (rate_ > initial)
    rate_ = std::max(initial, rate_ - step);
  else
    rate_ = std::min(initial, rate_ + step);
}

Seconds AdaptiveRateLimiter::TryAcquire(double cost, Instant now) {
  Refill(now);
  // A cost above the capacity is granted when the bucket is full and makes tokens_ negative.
  const double needed = std::min(cost, BucketCapacity());
  if (tokens_ + kRoundingTolerance >= needed) {
    tokens_ -= cost;
    return {};
  }
  waited_since_refill_ = true;
  return {(needed - tokens_) / rate_};
}

void AdaptiveRateLimiter::AcquireNow(double cost, Instant now) {
  Refill(now);
  tokens_ -= cost;
}

Seconds AdaptiveRateLimiter::WaitTime(double cost, Instant now) {
  Refill(now);
  return {std::max(0.0, (cost - tokens_) / rate_)};
}

void AdaptiveRateLimiter::OnRefused(Instant now) {
  Refill(now);
  tokens_ = std::min(tokens_, 0.0);
  if (now - last_decrease_ < options_.refusal_window) return;
  last_decrease_ = now;
  rate_ = std::max(options_.minimum * options_.maximum, kDecreaseFactor * rate_);
}

}  // namespace magpie
