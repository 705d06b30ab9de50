// Runs the planning rounds, which decide where tasks run and which machines are provisioned,
// drained and released.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "model/cloud_call.h"
#include "model/time.h"
#include "scheduling/cluster_capacity.h"
#include "scheduling/cluster_state.h"
#include "scheduling/consolidator.h"
#include "scheduling/headroom_planner.h"
#include "scheduling/job_ordering.h"
#include "scheduling/placement_plan.h"
#include "scheduling/plan_builder.h"
#include "scheduling/task_lifecycle.h"
#include "scheduling/task_placer.h"

namespace magpie {

// Whether the planner may request machines in a round.
struct ScaleOutStatus {
  bool allowed = false;  // machines may be requested now
  bool pending = false;  // an earlier request has no response yet
};

// The decisions of a round about machines, for the caller to carry out.
struct PlanningResult {
  // The round has completely planned which machines to request, possibly none.
  bool planned_scale_out = false;
  std::map<MachineKind, std::uint32_t> scale_outs;  // how many machines of each kind to request
  std::vector<Machine*> releases;
};

// Policy: jobs are planned one after another, in the order of JobOrdering, on a plan that contains
// the reservations of all earlier jobs. Headroom for services is reserved after production jobs and
// before all others. A full round plans all jobs and then handles the machines that are not needed;
// the rounds in between only start tasks that can start at once.
//
// Bindings, preemptions and drains are applied to the state during planning, since later decisions
// of the round depend on them.
class Planner {
 public:
  // Both must outlive the planner.
  Planner(ClusterState& state, TaskLifecycle& lifecycle)
      : state_(state),
        lifecycle_(lifecycle),
        ordering_(state, capacity_),
        builder_(state, capacity_),
        placer_(state, lifecycle),
        headroom_(state),
        consolidator_(state) {}

  // Discards the results of the last term of leadership.
  void Clear();
  // Records the arrival of a job. `tasks`: how many of its tasks count for the arrival rate.
  void RecordArrival(Job& job, std::uint32_t tasks, Instant now);
  // Plans one round. Without waiting jobs, it plans only if the result could differ from the last.
  PlanningResult Plan(const ScaleOutStatus& scale_out, Instant now, WallTime wall);

 private:
  bool NeedsFullRound(Instant now) const;
  PlanningRound StartRound(const std::vector<QueuedJob>& jobs, bool may_scale_out, Instant now);
  void UpdateBootTimes(Instant now);
  // Returns whether the headroom for services was reserved before a non-production job.
  bool PlaceJobs(PlanningRound& round, const OrderedJobs& ordered, Instant now);
  void Consolidate(const PlacementPlan& plan, Instant now);
  std::vector<Machine*> IdleMachines(const PlacementPlan& plan, Instant now) const;

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  ClusterCapacity capacity_;
  JobOrdering ordering_;
  PlanBuilder builder_;
  TaskPlacer placer_;
  HeadroomPlanner headroom_;
  Consolidator consolidator_;
  Instant next_full_round_;
  // Another full round could decide differently only because time has passed.
  bool is_time_dependent_ = true;
};

}  // namespace magpie
