// Moves replicas off mostly unused machines, so that these machines can be released.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "model/resources.h"
#include "model/time.h"
#include "scheduling/cluster_state.h"
#include "scheduling/machine_state.h"
#include "scheduling/placement_plan.h"

namespace magpie {

// Machines to drain, and the machines that take over their replicas.
struct Consolidation {
  std::vector<Machine*> to_drain;      // the most wasteful first
  std::vector<Machine*> destinations;  // must not be released until the moves are done
};

// Policy: a machine that is at most half used, and only by replicas, is drained if all its replicas
// can start at once on other machines: on machines that are kept anyway, or on cheaper ones that
// would otherwise be released. Each move interrupts a replica briefly, so only a small fraction of
// all replicas moves at a time.
class Consolidator {
 public:
  // `state` must outlive this object.
  explicit Consolidator(const ClusterState& state) : state_(state) {}

  // Returns the drains to start now; none within a few seconds of the previous drains.
  Consolidation Plan(const PlacementPlan& plan, Instant now);

 private:
  // Resources that the moves planned so far use on each destination.
  using ResourcesByDestination = std::map<const PlannedMachine*, Resources>;
  struct Candidate {
    double waste = 0;  // price of the unused part
    Machine* machine = nullptr;
  };
  struct Candidates {
    std::vector<Candidate> machines;  // the most wasteful first
    std::size_t replicas = 0;         // on all schedulable on-demand machines that are up
  };
  struct Destination {
    const PlannedMachine* planned = nullptr;
    Resources taken;    // by all moves, including this one
    bool idle = false;  // without tasks or earlier moves; would otherwise be released
  };

  Candidates FindCandidates(const PlacementPlan& plan) const;
  // Machines that replicas may move to, fullest first so that the other machines become empty.
  std::vector<const PlannedMachine*> FindDestinations(const PlacementPlan& plan) const;
  // Whether the task is a replica that has run long enough to be moved.
  bool MayMove(const HeldTask& held, Instant now) const;
  // Plans to move all tasks of the machine; idle machines kept only for the moves must cost clearly
  // less than it. Returns `taken` plus the resources of these tasks; nullopt if that is impossible.
  std::optional<ResourcesByDestination> PlanMoves(
      const Machine& machine, const std::vector<const PlannedMachine*>& destinations,
      const std::set<const Machine*>& drained, ResourcesByDestination taken, Instant now) const;
  // The first suitable destination for a task of the job. `kept_price`: total price of the idle
  // machines that would be kept only for the moves.
  std::optional<Destination> DestinationFor(const Job& job, const Machine& source,
                                            const std::vector<const PlannedMachine*>& destinations,
                                            const std::set<const Machine*>& drained,
                                            const ResourcesByDestination& taken,
                                            double kept_price) const;

  const ClusterState& state_;
  Instant next_plan_at_;
};

}  // namespace magpie
