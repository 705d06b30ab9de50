// The machines of one planning round and the reservations made on them so far.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/cloud_call.h"
#include "model/job.h"
#include "model/resources.h"
#include "model/time.h"
#include "scheduling/candidate_index.h"
#include "scheduling/job_state.h"
#include "scheduling/machine_state.h"
#include "scheduling/quota_ledger.h"
#include "scheduling/resource_timeline.h"

namespace magpie {

// An existing machine, or one that the round plans to provision.
struct PlannedMachine {
  Machine* machine = nullptr;  // not owned; null if it is still to be provisioned
  std::size_t kind = 0;        // number in MachineKinds
  ResourceTimeline timeline;
  bool available_now = false;  // commands can be sent to the machine
  bool needed = false;         // has tasks or reservations, so it is not released
};

// Invariant: adding a machine or a reservation gives the machine a new version and an entry in the
// list of changes, from which the candidate indexes are updated. Machine indexes never change.
class PlacementPlan {
 public:
  // `smallest_demand`: for each resource, the least that any waiting task needs.
  explicit PlacementPlan(const Resources& smallest_demand) : smallest_demand_(smallest_demand) {}

  void ExpectMachines(std::size_t count) { machines_.reserve(count); }
  void Add(PlannedMachine machine);
  void Reserve(std::size_t machine_index, Instant start, const Resources& demand,
               std::optional<Instant> end);

  const std::vector<PlannedMachine>& machines() const { return machines_; }
  // Machine indexes by kind number. Kinds beyond the end have no machines in the plan.
  const std::vector<std::vector<std::size_t>>& by_kind() const { return by_kind_; }
  const CandidateIndex::Versions& versions() const { return versions_; }
  // Indexes of changed machines, latest change last.
  const std::vector<std::size_t>& changes() const { return changes_; }
  // Whether a task of `smallest_demand` could start on any machine at once.
  bool HasAvailableMachine() const { return available_machines_ > 0; }

  // Returns the index for tasks of this size and image, and creates it if there is none. The
  // reference is valid until the next call.
  CandidateIndex& IndexFor(const Resources& per_task, std::uint32_t image, double image_gb);

 private:
  bool FitsSmallestDemandNow(const PlannedMachine& machine) const {
    return machine.available_now && smallest_demand_.Fits(machine.timeline.free());
  }

  Resources smallest_demand_;
  std::vector<PlannedMachine> machines_;
  std::vector<std::vector<std::size_t>> by_kind_;
  CandidateIndex::Versions versions_;
  std::vector<std::size_t> changes_;
  std::size_t available_machines_ = 0;
  std::list<CandidateIndex> indexes_;
  std::uint64_t index_requests_ = 0;
};

// One planning round: its plan, its limits and its decisions so far.
struct PlanningRound {
  explicit PlanningRound(const Resources& smallest_demand) : plan(smallest_demand) {}

  PlacementPlan plan;
  // A full round plans all jobs; other rounds skip jobs that can neither start now nor preempt.
  bool is_full = true;
  bool may_scale_out = false;
  // Another full round could decide differently only because time has passed.
  bool is_time_dependent = false;
  Priority lowest_array_priority = Priority::kProduction;  // lowest priority of the running arrays
  std::map<MachineKind, int> machines_by_kind;             // including those to be provisioned
  std::map<MachineKind, std::uint32_t> scale_outs;         // machines to be provisioned
  TeamUsage usage;                                         // including reservations
  // `usage` without reservations that start far in the future. Whether a task may start now depends
  // on this usage; otherwise it would wait for minutes while its team uses nothing.
  TeamUsage near_term_usage;
  // Tasks still to be placed, by shape. A machine provisioned for one of them suits the others too.
  std::map<std::string, std::uint32_t> unplaced_by_shape;
};

}  // namespace magpie
