// Places the tasks of one job: binds them, reserves capacity for them, or plans to provision
// machines.
#pragma once

#include <cstdint>
#include <optional>

#include "model/job.h"
#include "model/time.h"
#include "scheduling/candidate_selector.h"
#include "scheduling/cluster_state.h"
#include "scheduling/placement_plan.h"
#include "scheduling/preemption_planner.h"
#include "scheduling/queued_job.h"
#include "scheduling/task_lifecycle.h"

namespace magpie {

// Policy: a task is placed on the machine that the slack rule selects. If the machine has no free
// capacity yet, the task gets a reservation. For a task that would be late, a machine is
// provisioned if that is worth its price; otherwise less urgent work is preempted, unless the task
// would be late anyway.
class TaskPlacer {
 public:
  // Both must outlive this object.
  TaskPlacer(ClusterState& state, TaskLifecycle& lifecycle)
      : state_(state), lifecycle_(lifecycle), preemption_planner_(state) {}

  // Places the job's pending tasks, as far as its quota, the machines and the budget allow. Each
  // considered task reduces `budget` by one.
  void Place(PlanningRound& round, const QueuedJob& queued,
             std::optional<Priority> max_non_preempting_priority, Instant now, int& budget);

 private:
  // The placement of one job's tasks in one round.
  struct JobPlacement;
  enum class Progress { kContinue, kStop };

  Progress PlaceNextTask(JobPlacement& placement);
  bool IsInTime(Seconds target, const std::optional<CandidateSelector::Selection>& selection) const;
  // Plans to provision a machine if the job's next task would end clearly earlier there than on the
  // selected machine, or if none is selected. Returns whether it did.
  bool ScaleOut(JobPlacement& placement,
                const std::optional<CandidateSelector::Selection>& selection);
  // Preempts work for a task that would be late. Returns kStop if the task should wait for the
  // freed capacity instead of using the selected machine.
  Progress PreemptIfLate(JobPlacement& placement,
                         const std::optional<CandidateSelector::Selection>& selection);
  // Returns whether any work was preempted.
  bool Preempt(JobPlacement& placement);
  void ApplySelection(JobPlacement& placement, const CandidateSelector::Selection& selection);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  PreemptionPlanner preemption_planner_;
};

}  // namespace magpie
