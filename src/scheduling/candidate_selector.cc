#include "scheduling/candidate_selector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "scheduling/heartbeat_request.h"

namespace magpie {

CandidateSelector::CandidateSelector(ClusterState& state, PlacementPlan& plan, const Job& job,
                                     Seconds target, Instant now)
    : state_(state),
      plan_(plan),
      job_(job),
      index_(plan.IndexFor(job.spec.per_task, job.image, job.spec.image_gb)),
      target_(target),
      now_(now) {
  AddAllowedKinds();
}

std::optional<CandidateSelector::Selection> CandidateSelector::Select() {
  ApplyChanges();
  if (auto smallest = SmallestWithSlack()) return smallest;
  return EarliestFinishing();
}

// Checks the kinds that were added to the plan since the last call. Kinds are left out if the job
// must not use them or may have no more tasks in their zone.
void CandidateSelector::AddAllowedKinds() {
  for (; checked_kinds_ < plan_.by_kind().size(); ++checked_kinds_) {
    const KindInfo& info = state_.kinds.all()[checked_kinds_];
    if (plan_.by_kind()[checked_kinds_].empty() || !CanRunOnKind(job_.spec, info) ||
        !IsZoneAllowed(job_, info.kind.zone))
      continue;
    kinds_.push_back({job_.spec.spot && !info.kind.spot, info.type->capacity.cpus, checked_kinds_});
  }
  std::sort(kinds_.begin(), kinds_.end());
}

// Updates the index with the machines that changed since it was last used.
void CandidateSelector::ApplyChanges() {
  const std::vector<std::size_t>& changes = plan_.changes();
  for (; index_.applied_changes < changes.size(); ++index_.applied_changes) {
    const std::size_t machine_index = changes[index_.applied_changes];
    CandidateIndex::KindCandidates& candidates =
        index_.CandidatesOfKind(plan_.machines()[machine_index].kind);
    if (candidates.available_now.filled) AddAvailableNow(candidates.available_now, machine_index);
    if (candidates.all.filled) AddAny(candidates.all, machine_index);
  }
  if (checked_kinds_ < plan_.by_kind().size()) AddAllowedKinds();
}

void CandidateSelector::FillAvailableNow(std::size_t kind, CandidateIndex::Heap& heap) {
  if (std::exchange(heap.filled, true)) return;
  for (const std::size_t machine_index : plan_.by_kind()[kind])
    AddAvailableNow(heap, machine_index);
}

void CandidateSelector::FillAll(std::size_t kind, CandidateIndex::Heap& heap) {
  if (std::exchange(heap.filled, true)) return;
  for (const std::size_t machine_index : plan_.by_kind()[kind]) AddAny(heap, machine_index);
}

void CandidateSelector::AddAvailableNow(CandidateIndex::Heap& heap, std::size_t machine_index) {
  const PlannedMachine& machine = plan_.machines()[machine_index];
  ++state_.counters.candidates_evaluated;
  if (!machine.available_now || !index_.per_task().Fits(machine.timeline.free())) return;
  const auto start = machine.timeline.EarliestFit(index_.per_task());
  if (start && *start <= now_) heap.Add(CandidateAt(machine_index, *start));
}

void CandidateSelector::AddAny(CandidateIndex::Heap& heap, std::size_t machine_index) {
  ++state_.counters.candidates_evaluated;
  const auto start = plan_.machines()[machine_index].timeline.EarliestFit(index_.per_task());
  if (start) heap.Add(CandidateAt(machine_index, *start));
}

CandidateIndex::Candidate CandidateSelector::CandidateAt(std::size_t machine_index,
                                                         Instant start) const {
  const PlannedMachine& machine = plan_.machines()[machine_index];
  const MachineType& type = *state_.kinds.all()[machine.kind].type;
  Seconds wait = start - now_;
  const bool cached = machine.machine != nullptr && HasImage(*machine.machine, index_.image());
  if (type.fetch_gb_per_s > 0 && !cached)
    wait = wait + Seconds{index_.image_gb() / type.fetch_gb_per_s};
  if (machine.available_now)
    wait = std::max(wait, StartDelay(*machine.machine, state_.options.lease,
                                     state_.options.heartbeat_interval, now_));
  return {wait, machine.timeline.free().cpus, static_cast<std::uint32_t>(machine_index),
          plan_.versions()[machine_index]};
}

PlacementOption CandidateSelector::OptionOf(const AllowedKind& kind,
                                            const CandidateIndex::Candidate& candidate,
                                            bool available_now) const {
  return {kind.on_demand, kind.machine_cpus, candidate.free_cpus,
          available_now,  candidate.wait,    state_.run_times.ExpectedOnKind(job_, kind.kind)};
}

// Tasks placed after the kinds were checked may have used up the job's share of the zone; the zone
// then stays excluded for the rest of the round.
bool CandidateSelector::IsZoneStillAllowed(const AllowedKind& kind) const {
  return IsZoneAllowed(job_, state_.kinds.all()[kind.kind].kind.zone);
}

CandidateSelector::Selection CandidateSelector::SelectionOf(
    const AllowedKind& kind, const CandidateIndex::Candidate& candidate) const {
  const PlannedMachine& machine = plan_.machines()[candidate.machine_index];
  const Instant start = *machine.timeline.EarliestFit(index_.per_task());
  const bool available_now = machine.available_now && start <= now_;
  return {candidate.machine_index, OptionOf(kind, candidate, available_now), start};
}

std::optional<CandidateSelector::Selection> CandidateSelector::SmallestWithSlack() {
  const AllowedKind* best_kind = nullptr;
  CandidateIndex::Candidate best;
  for (const AllowedKind& kind : kinds_) {
    // Kinds are sorted: all following kinds are less preferred, regardless of their candidates.
    if (best_kind != nullptr && std::tie(best_kind->on_demand, best_kind->machine_cpus) <
                                    std::tie(kind.on_demand, kind.machine_cpus))
      break;
    CandidateIndex::Heap& heap = index_.CandidatesOfKind(kind.kind).available_now;
    FillAvailableNow(kind.kind, heap);
    const auto top = heap.Best(plan_.versions());
    if (!top || (best_kind != nullptr && !(*top < best))) continue;
    const Seconds slack = Slack(target_, OptionOf(kind, *top, true), state_.options.weights);
    if (slack.value < 0 || !IsZoneStillAllowed(kind)) continue;
    best_kind = &kind;
    best = *top;
  }
  if (best_kind == nullptr) return std::nullopt;
  return SelectionOf(*best_kind, best);
}

std::optional<CandidateSelector::Selection> CandidateSelector::EarliestFinishing() {
  const AllowedKind* best_kind = nullptr;
  CandidateIndex::Candidate best;
  Seconds earliest_end;
  for (const AllowedKind& kind : kinds_) {
    CandidateIndex::Heap& heap = index_.CandidatesOfKind(kind.kind).all;
    FillAll(kind.kind, heap);
    const auto top = heap.Best(plan_.versions());
    if (!top) continue;
    const Seconds end = top->wait + state_.run_times.ExpectedOnKind(job_, kind.kind);
    if (best_kind != nullptr &&
        std::tie(earliest_end, best_kind->on_demand, best_kind->machine_cpus, best.free_cpus) <=
            std::tie(end, kind.on_demand, kind.machine_cpus, top->free_cpus))
      continue;
    if (!IsZoneStillAllowed(kind)) continue;
    best_kind = &kind;
    best = *top;
    earliest_end = end;
  }
  if (best_kind == nullptr) return std::nullopt;
  return SelectionOf(*best_kind, best);
}

}  // namespace magpie
