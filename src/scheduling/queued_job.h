// A job with tasks to be placed, as the planner orders jobs.
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

// When a job's present tasks should be done. Times are from now.
struct DueTimes {
  Seconds target;               // the tightest target that has not passed
  Seconds provisioning_target;  // the same without the guarantee, which no boot could meet
  std::vector<Seconds>
      targets;                // those that have not passed, the tightest first; none of a service
  Seconds run_time;           // predicted, of one task on the largest machine type
  bool long_overdue = false;  // by so much that the job is not deferred any longer
};

// The order of jobs before their targets count: lower ranks are planned first.
struct JobRank {
  // 0: production and jobs that lie within their team's guarantee as a whole; 1: jobs whose next
  // task the guarantee still covers; 2: all others.
  int tier = 0;
  int within_tier = 0;  // the negative priority
  auto operator<=>(const JobRank&) const = default;
};

JobRank RankOf(const Job& job, const QuotaLedger& quotas);

struct QueuedJob {
  Job* job = nullptr;
  DueTimes due;
  JobRank rank;
  bool deferred = false;  // meets no target along with the other jobs
  // How many of its tasks may be started: fewer while the job itself may be faulty.
  std::uint32_t max_tasks = FailureAttribution::kUnlimited;
  Seconds sort_key;  // among jobs of a rank: the target, or the work that is left if deferred
};

// All jobs with tasks to be placed, in the order in which they are planned.
struct OrderedJobs {
  std::vector<QueuedJob> jobs;
  // Arrays of this priority and below preempt nothing: lower ones have no more than their floor.
  std::optional<Priority> no_preemption_up_to;
};

}  // namespace magpie
