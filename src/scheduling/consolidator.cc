#include "scheduling/consolidator.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "scheduling/plan_builder.h"

namespace magpie {

Consolidation Consolidator::Plan(const PlacementPlan& plan, Instant now) {
  constexpr Seconds kInterval{5};
  constexpr double kMaxMovedFraction = 0.015;  // of Candidates::replicas; one machine may exceed it
  if (now < next_plan_at_) return {};
  const Candidates candidates = FindCandidates(plan);
  if (candidates.machines.empty()) return {};
  const std::vector<const PlannedMachine*> destinations = FindDestinations(plan);
  const auto max_moved =
      static_cast<std::size_t>(kMaxMovedFraction * static_cast<double>(candidates.replicas));
  Consolidation consolidation;
  ResourcesByDestination taken;
  std::set<const Machine*> drained;
  std::set<const Machine*> used_as_destination;
  std::size_t moved = 0;
  for (const Candidate& candidate : candidates.machines) {
    Machine& machine = *candidate.machine;
    if (moved > 0 && moved + machine.tasks.size() > max_moved) continue;
    if (used_as_destination.contains(&machine)) continue;
    std::optional<ResourcesByDestination> taken_after_move =
        PlanMoves(machine, destinations, drained, taken, now);
    if (!taken_after_move) continue;
    moved += machine.tasks.size();
    taken = *std::move(taken_after_move);
    for (const auto& [destination, resources] : taken)
      if (used_as_destination.insert(destination->machine).second)
        consolidation.destinations.push_back(destination->machine);
    drained.insert(&machine);
    consolidation.to_drain.push_back(&machine);
    if (moved >= max_moved) break;
  }
  if (moved > 0) next_plan_at_ = now + kInterval;
  return consolidation;
}

Consolidator::Candidates Consolidator::FindCandidates(const PlacementPlan& plan) const {
  constexpr double kMaxUsedFraction = 0.5;
  constexpr std::size_t kMaxCandidates = 32;
  Candidates candidates;
  for (const PlannedMachine& planned : plan.machines()) {
    Machine* machine = planned.machine;
    const KindInfo& kind = state_.kinds.all()[planned.kind];
    if (machine == nullptr || !machine->up || kind.kind.spot || !IsSchedulable(*machine) ||
        machine->tasks.empty())
      continue;
    candidates.replicas +=
        machine->tasks.size() - std::min<std::size_t>(machine->array_tasks, machine->tasks.size());
    const double used_fraction = machine->used.cpus / std::max(kind.type->capacity.cpus, 1.0);
    if (used_fraction <= kMaxUsedFraction)
      candidates.machines.push_back({kind.type->price * (1 - used_fraction), machine});
  }
  std::sort(candidates.machines.begin(), candidates.machines.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(b.waste, a.machine->id) < std::tie(a.waste, b.machine->id);
            });
  if (candidates.machines.size() > kMaxCandidates) candidates.machines.resize(kMaxCandidates);
  return candidates;
}

std::vector<const PlannedMachine*> Consolidator::FindDestinations(const PlacementPlan& plan) const {
  std::vector<const PlannedMachine*> destinations;
  for (const PlannedMachine& planned : plan.machines())
    if (planned.machine != nullptr && planned.available_now &&
        !state_.kinds.all()[planned.kind].kind.spot && !planned.machine->releasing)
      destinations.push_back(&planned);
  std::sort(destinations.begin(), destinations.end(),
            [](const PlannedMachine* a, const PlannedMachine* b) {
              return std::tie(a->timeline.free().cpus, a->machine->id) <
                     std::tie(b->timeline.free().cpus, b->machine->id);
            });
  return destinations;
}

bool Consolidator::MayMove(const HeldTask& held, Instant now) const {
  const Job& job = *held.job;
  const Task& task = held.task();
  return job.spec.kind == JobKind::kService && !job.cancelled && task.running &&
         now - task.since > state_.options.min_replica_age;
}

std::optional<Consolidator::ResourcesByDestination> Consolidator::PlanMoves(
    const Machine& machine, const std::vector<const PlannedMachine*>& destinations,
    const std::set<const Machine*>& drained, ResourcesByDestination taken, Instant now) const {
  double kept_price = 0;
  for (const HeldTask& held : machine.tasks) {
    if (!MayMove(held, now)) return std::nullopt;
    const auto destination =
        DestinationFor(*held.job, machine, destinations, drained, taken, kept_price);
    if (!destination) return std::nullopt;
    if (destination->idle) kept_price += state_.kinds.all()[destination->planned->kind].type->price;
    taken[destination->planned] = destination->taken;
  }
  return taken;
}

std::optional<Consolidator::Destination> Consolidator::DestinationFor(
    const Job& job, const Machine& source, const std::vector<const PlannedMachine*>& destinations,
    const std::set<const Machine*>& drained, const ResourcesByDestination& taken,
    double kept_price) const {
  constexpr double kMaxKeptPriceFraction = 0.7;  // of the source's price
  const double source_price = state_.kinds.all()[*source.kind].type->price;
  const Resources& per_task = job.spec.per_task;
  for (const PlannedMachine* planned : destinations) {
    const Resources& free = planned->timeline.free();
    if (!per_task.Fits(free)) continue;
    const Machine* machine = planned->machine;
    if (machine == &source || machine->draining || drained.contains(machine)) continue;
    const KindInfo& kind = state_.kinds.all()[planned->kind];
    if (kind.type->price > source_price || !CanRunOnKind(job.spec, kind) ||
        !HasImage(*machine, job.image))
      continue;
    const auto taken_there = taken.find(planned);
    const bool idle = machine->tasks.empty() && taken_there == taken.end();
    if (idle && kept_price + kind.type->price > kMaxKeptPriceFraction * source_price) continue;
    Resources total = taken_there == taken.end() ? Resources{} : taken_there->second;
    total += per_task;
    if (total.Fits(free)) return Destination{planned, total, idle};
  }
  return std::nullopt;
}

}  // namespace magpie
