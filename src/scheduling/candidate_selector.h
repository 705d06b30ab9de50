// Selects the machine for the next task of a job by the slack rule.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "model/time.h"
#include "scheduling/candidate_index.h"
#include "scheduling/cluster_state.h"
#include "scheduling/job_state.h"
#include "scheduling/placement.h"
#include "scheduling/placement_plan.h"

namespace magpie {

// Makes the same choice as ChooseOption (Algorithm 2 of the PARIS/ELSA paper) without comparing all
// machines for each task. The machines are ordered once, in an index shared by jobs with the same
// task size and image; afterwards only changed machines are added again.
//
// An instance places the tasks of one job. The plan may change between calls.
class CandidateSelector {
 public:
  struct Selection {
    std::size_t machine_index = 0;
    PlacementOption option;
    Instant start;  // when the machine has free capacity for the task, before the image fetch
  };

  // All references must outlive the selector. `target`: the time, relative to now, by which the
  // task should end.
  CandidateSelector(ClusterState& state, PlacementPlan& plan, const Job& job, Seconds target,
                    Instant now);

  // Returns the machine for the next task under the current plan; nullopt if no machine is
  // predicted to have enough free capacity for it.
  std::optional<Selection> Select();

 private:
  // A kind of machine that the job may use, ordered by the preference of the slack rule.
  struct AllowedKind {
    bool on_demand = false;  // on-demand kind, for a job that may run on spot machines
    double machine_cpus = 0;
    std::size_t kind = 0;
    auto operator<=>(const AllowedKind&) const = default;
  };

  void AddAllowedKinds();
  void ApplyChanges();
  void FillAvailableNow(std::size_t kind, CandidateIndex::Heap& heap);
  void FillAll(std::size_t kind, CandidateIndex::Heap& heap);
  void AddAvailableNow(CandidateIndex::Heap& heap, std::size_t machine_index);
  void AddAny(CandidateIndex::Heap& heap, std::size_t machine_index);
  CandidateIndex::Candidate CandidateAt(std::size_t machine_index, Instant start) const;
  PlacementOption OptionOf(const AllowedKind& kind, const CandidateIndex::Candidate& candidate,
                           bool available_now) const;
  bool IsZoneStillAllowed(const AllowedKind& kind) const;
  Selection SelectionOf(const AllowedKind& kind, const CandidateIndex::Candidate& candidate) const;
  // The smallest machine available now that leaves slack.
  std::optional<Selection> SmallestWithSlack();
  // The machine that finishes the task first, available now or not.
  std::optional<Selection> EarliestFinishing();

  ClusterState& state_;
  PlacementPlan& plan_;
  const Job& job_;
  CandidateIndex& index_;
  Seconds target_;
  Instant now_;
  std::vector<AllowedKind> kinds_;
  std::size_t checked_kinds_ = 0;  // number of the plan's kinds already checked
};

}  // namespace magpie
