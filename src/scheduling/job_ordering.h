// Orders waiting jobs for planning, and defers some of them under overload.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "model/job.h"
#include "model/time.h"
#include "scheduling/cluster_capacity.h"
#include "scheduling/cluster_state.h"
#include "scheduling/due_times.h"
#include "scheduling/queued_job.h"

namespace magpie {

// Policy: jobs are ordered by rank. Within a rank, jobs that can still be in time precede jobs that
// are late or would make more of the others late; under overload each late job would otherwise make
// the next one late. Deferred jobs are ordered by remaining work, so that the capacity is not
// spread over many arrays of which few finish.
//
// While not all urgent work can be in time, less urgent work keeps a floor, a fraction of the
// capacity. Otherwise it would be started and preempted for hours without finishing.
class JobOrdering {
 public:
  // Both must outlive this object.
  JobOrdering(ClusterState& state, const ClusterCapacity& capacity)
      : state_(state),
        capacity_(capacity),
        due_times_(state.options, state.autoscaler, state.run_times) {}

  // Removes cancelled jobs and jobs without pending tasks from the queue, and orders the other jobs
  // that may start tasks now.
  OrderedJobs Order(Instant now, WallTime wall);

 private:
  std::vector<QueuedJob> CollectJobs(Instant now, WallTime wall);
  // Defers jobs rank by rank. Returns the lowest priority of a deferred job.
  std::optional<Priority> DeferLateJobs(std::vector<QueuedJob>& jobs) const;
  Seconds DeferLateJobsOfRank(std::span<QueuedJob> jobs, Seconds work_ahead,
                              double capacity_fraction) const;
  Seconds RemainingWork(const QueuedJob& queued) const;
  Seconds RunningWorkFrom(Priority priority) const;
  double ArrayCpusBelow(Priority priority) const;
  void ReserveFloor(OrderedJobs& ordered) const;

  ClusterState& state_;
  const ClusterCapacity& capacity_;
  DueTimeCalculator due_times_;
};

}  // namespace magpie
