// Decides which waiting jobs are planned to meet their targets when work exceeds capacity.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "model/time.h"

namespace magpie {

// A waiting job, as input of the overload policy.
struct WaitingWork {
  Seconds work;      // time for which the unstarted tasks occupy all capacity the job may use
  Seconds run_time;  // of one task
  std::vector<Seconds> targets;  // relative to now, not yet passed, the earliest first
};

// The targets that the waiting jobs are planned to meet.
struct OverloadDecision {
  // For each job, by its index: the index of the target that it is planned for; nullopt if it can
  // meet no target along with the other planned jobs.
  std::vector<std::optional<std::size_t>> planned_target;
  Seconds planned_work;  // of all jobs that are planned for a target
  // Whether a job would be late because of the other jobs. Without overload no job is deferred.
  // A job that would miss its target even alone is not overload, since estimates are often wrong.
  bool overloaded = false;
};

// Plans as many jobs as possible to meet a target, by the Moore-Hodgson algorithm, which minimizes
// the number of late jobs: a job that can meet no target does not make other jobs late. When a job
// would be late, the job with the most work among those planned so far is planned for its next
// target, or for none.
//
// A job is late if its slack, as defined in the PARIS/ELSA paper (Equations 1 and 2), is negative,
// with the work ahead of the job as its wait: target - alpha * (work before its last task starts) -
// run time. `work_ahead` is the work that precedes all of the jobs.
OverloadDecision PlanForTargets(const std::vector<WaitingWork>& jobs, Seconds work_ahead,
                                double alpha);

}  // namespace magpie
