#include "failover/failover_timeline.h"

namespace magpie {
namespace {
std::size_t IndexOf(FailoverTimeline::Step step) { return static_cast<std::size_t>(step); }
}  // namespace

const char* FailoverTimeline::NameOf(Step step) {
  constexpr std::array<const char*, kSteps> kNames{"reached", "leads", "read", "first_order",
                                                   "half",    "most",  "calm"};
  return kNames.at(IndexOf(step));
}

void FailoverTimeline::Record(Step step, Instant now) {
  auto& at = at_.at(IndexOf(step));
  if (!at) at = now;
}

void FailoverTimeline::OnReconciled(std::size_t reconciled, std::size_t all, Instant now) {
  constexpr double kHalfReconciled = 0.5;
  constexpr double kMostReconciled = 0.99;
  const auto reconciled_count = static_cast<double>(reconciled);
  if (reconciled_count >= kHalfReconciled * static_cast<double>(all))
    Record(Step::kHalfReconciled, now);
  if (reconciled_count >= kMostReconciled * static_cast<double>(all))
    Record(Step::kMostReconciled, now);
}

void FailoverTimeline::Restart() {
  for (std::size_t i = IndexOf(Step::kElected); i < kSteps; ++i) at_.at(i).reset();
}

std::optional<Seconds> FailoverTimeline::ElapsedUntil(Step step) const {
  const auto& at = at_.at(IndexOf(step));
  if (!at) return std::nullopt;
  return *at - listening_since_;
}

}  // namespace magpie
