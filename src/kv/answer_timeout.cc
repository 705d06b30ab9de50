#include "kv/answer_timeout.h"

#include <algorithm>
#include <cmath>

namespace magpie {
namespace {
constexpr std::size_t kMinSamples = 8;  // with fewer latencies, the timeout is options_.maximum
// Consecutive unanswered transactions that do not raise the timeout.
constexpr int kToleratedUnanswered = 2;
constexpr int kMaxDoublings = 10;  // enough to reach options_.maximum
// The timeout is rounded up to a multiple of this: an unchanged socket timeout saves a system call.
constexpr Seconds kTimeoutStep{0.01};
}  // namespace

void LatencyWindow::Add(Seconds latency) {
  samples_.at(next_) = static_cast<float>(latency.value);
  next_ = (next_ + 1) % kCapacity;
  size_ = std::min(size_ + 1, kCapacity);
}

Seconds LatencyWindow::Quantile(double quantile) const {
  if (size_ == 0) return {};
  std::array<float, kCapacity> sorted = samples_;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(size_);
  const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(size_)));
  const std::size_t index = std::clamp<std::size_t>(rank, 1, size_) - 1;
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(sorted.begin(), nth, end);
  return {static_cast<double>(*nth)};
}

Seconds AnswerTimeout::Current() const {
  if (reads_.size() + transactions_.size() < kMinSamples) return options_.maximum;
  const Seconds typical_latency =
      std::max(reads_.Quantile(options_.quantile), transactions_.Quantile(options_.quantile));
  const double adaptive_timeout =
      std::max(options_.minimum.value, options_.factor * typical_latency.value);
  const int doublings =
      std::clamp(consecutive_unanswered_ - kToleratedUnanswered, 0, kMaxDoublings);
  const double rounded =
      std::ceil(std::ldexp(adaptive_timeout, doublings) / kTimeoutStep.value) * kTimeoutStep.value;
  return std::min(options_.maximum, Seconds{rounded});
}

void AnswerTimeout::OnReadAnswered(Seconds latency) { reads_.Add(latency); }

void AnswerTimeout::OnTransactionAnswered(Seconds latency) {
  transactions_.Add(latency);
  consecutive_unanswered_ = 0;
}

void AnswerTimeout::OnTransactionUnanswered() {
  if (consecutive_unanswered_ < kToleratedUnanswered + kMaxDoublings) ++consecutive_unanswered_;
}

}  // namespace magpie
