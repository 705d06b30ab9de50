// Jobs with tasks to place, and the values by which the planner orders them.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "failure_attribution/failure_attribution.h"
#include "model/job.h"
#include "model/time.h"
#include "scheduling/job_state.h"
#include "scheduling/quota_ledger.h"

namespace magpie {

// When a job's current tasks should be done, relative to now.
struct DueTimes {
  Seconds target;               // the earliest attainable target, or the earliest if none is
  Seconds provisioning_target;  // without the guarantee, which a machine that must boot cannot meet
  std::vector<Seconds> targets;  // the attainable targets, earliest first; empty for services
  Seconds run_time;              // predicted run time of one task on the largest machine type
  bool long_overdue = false;     // so late that the job is no longer deferred
};

// The order of jobs before their targets are compared: lower ranks are planned first.
struct JobRank {
  // 0: production jobs and jobs that lie entirely within their team's guarantee; 1: other jobs with
  // their next task within the guarantee; 2: all others.
  int tier = 0;
  int within_tier = 0;  // negated priority
  auto operator<=>(const JobRank&) const = default;
};

JobRank RankOf(const Job& job, const QuotaLedger& quotas);

// A job with tasks to place, and the values by which the planner orders it and limits the number
// of tasks that it starts.
struct QueuedJob {
  Job* job = nullptr;
  DueTimes due;
  JobRank rank;
  bool deferred = false;  // cannot meet any target together with the other jobs
  // How many of its tasks may be started; limited while the job itself may be faulty.
  std::uint32_t max_tasks = FailureAttribution::kUnlimited;
  Seconds sort_key;  // within a rank: the target, or the remaining work of a deferred job
};

// All jobs with tasks to place, in planning order.
struct OrderedJobs {
  std::vector<QueuedJob> jobs;
  // Arrays of this priority and below preempt nothing, since lower-priority arrays hold little more
  // than their floor.
  std::optional<Priority> max_non_preempting_priority;
};

}  // namespace magpie
