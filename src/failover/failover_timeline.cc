#include "failover/failover_timeline.h"

namespace magpie {
namespace {
std::size_t NumberOf(FailoverTimeline::Step step) { return static_cast<std::size_t>(step); }
}  // namespace

const char* FailoverTimeline::NameOf(Step step) {
  constexpr std::array<const char*, kSteps> kNames{"reached", "leads", "read", "first_order",
                                                   "half",    "most",  "calm"};
  return kNames.at(NumberOf(step));
}

void FailoverTimeline::Record(Step step, Instant now) {
  auto& at = at_.at(NumberOf(step));
  if (!at) at = now;
}

void FailoverTimeline::OnReconciled(std::size_t reconciled, std::size_t all, Instant now) {
  constexpr double kHalfReconciled = 0.5;
  constexpr double kMostReconciled = 0.99;
  const auto part = static_cast<double>(reconciled);
  if (part >= kHalfReconciled * static_cast<double>(all)) Record(Step::kHalfReconciled, now);
  if (part >= kMostReconciled * static_cast<double>(all)) Record(Step::kMostReconciled, now);
}

void FailoverTimeline::Restart() {
  for (std::size_t i = NumberOf(Step::kElected); i < kSteps; ++i) at_.at(i).reset();
}

std::optional<Seconds> FailoverTimeline::ElapsedUntil(Step step) const {
  const auto& at = at_.at(NumberOf(step));
  if (!at) return std::nullopt;
  return *at - listening_;
}

}  // namespace magpie
