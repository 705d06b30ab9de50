// Computes the targets of jobs from their deadlines and the service-level objectives of their
// class.
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

// Policy: a job's target is the tightest of its targets that has not passed. A job without targets
// gets one in proportion to its predicted run time. A job within its team's guarantee must start
// soon, whatever its class.
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
    // Until this time the target counts as attainable. Run time estimates are wrong too often to
    // give up a target any earlier.
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
