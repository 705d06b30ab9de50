#include "scheduling/resource_timeline.h"

#include <algorithm>

namespace magpie {

void ResourceTimeline::AddRelease(Instant at, const Resources& released) {
  const auto position =
      std::upper_bound(releases_.begin(), releases_.end(), at,
                       [](Instant time, const Release& release) { return time < release.at; });
  releases_.insert(position, {at, released});
}

std::optional<Instant> ResourceTimeline::EarliestFit(const Resources& demand) const {
  if (demand.Fits(free_)) return available_from_;
  Resources free = free_;
  for (const Release& release : releases_) {
    free += release.released;
    if (demand.Fits(free)) return std::max(available_from_, release.at);
  }
  return std::nullopt;
}

void ResourceTimeline::Reserve(Instant start, const Resources& demand, std::optional<Instant> end) {
  if (!demand.Fits(free_)) {
    // The task waits, so no other task may start on the machine before it. Resources released until
    // its start are free from then on.
    auto release = releases_.begin();
    for (; release != releases_.end() && !demand.Fits(free_); ++release) free_ += release->released;
    releases_.erase(releases_.begin(), release);
    available_from_ = std::max(available_from_, start);
  }
  free_ -= demand;
  if (end) AddRelease(*end, demand);
}

}  // namespace magpie
