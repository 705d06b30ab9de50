// Computes the targets of jobs from their deadlines and the objectives of their class.
#pragma once

#include <vector>

#include "model/job.h"
#include "model/time.h"
#include "provisioning/autoscaler.h"
#include "scheduling/job_state.h"
#include "scheduling/queued_job.h"
#include "scheduling/run_time_estimator.h"
#include "scheduling/scheduler_options.h"

namespace magpie {

// Policy: a job's target is the earliest of its targets that is still attainable, or the earliest
// of all if none is. A job without a deadline or objective gets a target in proportion to its
// predicted run time. A job within its team's guarantee must start soon, regardless of its class.
class DueTimeCalculator {
 public:
  // All references must outlive the calculator.
  DueTimeCalculator(const SchedulerOptions& options, const Autoscaler& autoscaler,
                    const RunTimeEstimator& run_times)
      : options_(options), autoscaler_(autoscaler), run_times_(run_times) {}

  DueTimes Calculate(const Job& job, WallTime wall) const;

 private:
  // Times are relative to the job's submission.
  struct Target {
    Seconds finish;
    // Until this time the target counts as attainable. It is not given up earlier, even if the
    // estimated run time no longer fits, since estimates are often wrong.
    Seconds attainable_until;
    auto operator<=>(const Target&) const = default;
  };

  Seconds RunTimeOnLargestType(const JobSpec& spec) const;
  std::vector<Target> TargetsOfClass(const JobSpec& spec, Seconds run_time) const;
  std::vector<Target> TargetsOfGuarantee(const Job& job, Seconds run_time) const;
  DueTimes DueTimesOfTargets(const JobSpec& spec, std::vector<Target> targets, Seconds age,
                             Seconds run_time) const;

  const SchedulerOptions& options_;
  const Autoscaler& autoscaler_;
  const RunTimeEstimator& run_times_;
};

}  // namespace magpie
