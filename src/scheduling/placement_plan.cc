#include "scheduling/placement_plan.h"

#include <utility>

namespace magpie {

void PlacementPlan::Add(PlannedMachine machine) {
  const std::size_t index = machines_.size();
  if (by_kind_.size() <= machine.kind) by_kind_.resize(machine.kind + 1);
  by_kind_[machine.kind].push_back(index);
  if (FitsSmallestDemandNow(machine)) ++available_machines_;
  machines_.push_back(std::move(machine));
  versions_.push_back(0);
  changes_.push_back(index);
}

void PlacementPlan::Reserve(std::size_t machine_index, Instant start, const Resources& demand,
                            std::optional<Instant> end) {
  PlannedMachine& machine = machines_[machine_index];
  const bool was_available = FitsSmallestDemandNow(machine);
  machine.needed = true;
  machine.timeline.Reserve(start, demand, end);
  ++versions_[machine_index];
  changes_.push_back(machine_index);
  if (was_available && !FitsSmallestDemandNow(machine)) --available_machines_;
}

CandidateIndex& PlacementPlan::IndexFor(const Resources& per_task, std::uint32_t image,
                                        double image_gb) {
  constexpr std::size_t kMaxIndexes = 16;
  ++index_requests_;
  auto least_recently_used = indexes_.begin();
  for (auto index = indexes_.begin(); index != indexes_.end(); ++index) {
    if (index->Matches(per_task, image, image_gb)) {
      index->last_used = index_requests_;
      return *index;
    }
    if (index->last_used < least_recently_used->last_used) least_recently_used = index;
  }
  if (indexes_.size() >= kMaxIndexes) indexes_.erase(least_recently_used);
  CandidateIndex& index = indexes_.emplace_back(per_task, image, image_gb);
  index.last_used = index_requests_;
  index.applied_changes = changes_.size();
  return index;
}

}  // namespace magpie
