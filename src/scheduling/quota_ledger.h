// Tracks the resource usage of teams, and which jobs are covered by their team's guarantee.
//
// Invariant: a team's usage is the sum over its tasks assigned to machines. This includes ended
// tasks until their end is durable, since a leader that takes over would still count them.
// A job claims its part of the guarantee from its arrival until it is done, cancelled or removed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/resources.h"
#include "model/team.h"
#include "scheduling/job_state.h"

namespace magpie {

// Resources by team name.
using TeamUsage = std::map<std::string, Resources>;

// Not thread-safe: it belongs to one scheduler.
class QuotaLedger {
 public:
  // `teams` must outlive the ledger.
  explicit QuotaLedger(const std::vector<Team>& teams) : teams_(teams) {}

  void Clear();
  // Called when a task of the job is assigned to a machine, or removed from one.
  void AddTask(const Job& job) { usage_[job.spec.team] += job.spec.per_task; }
  void RemoveTask(const Job& job) { usage_[job.spec.team] -= job.spec.per_task; }
  const TeamUsage& usage() const { return usage_; }

  // Whether the job's team may use `more` in addition to `usage`. An unknown team may use nothing.
  bool WithinQuota(const Job& job, const TeamUsage& usage, const Resources& more) const;
  // Whether a bound task of the job that is not on its machine may be started: only while the
  // bindings of its team comply with the quota and those of its job with the zone rules. The
  // bindings made by this leader comply. But an earlier leader may have unbound a task without a
  // durable record of that and given its quota or its zone's share to another task, so that both
  // are bound in the records. Then bound tasks that are proved absent are unbound instead of
  // started, until the remaining bindings comply. The proof is in docs/design.md, "Limits and
  // zones".
  bool MayStart(const Job& job) const;

  // Whether the team's guarantee covers this usage.
  bool IsGuaranteed(const std::string& team_name, const Resources& use) const;
  // Whether the team's guarantee covers its usage plus one more task of the job.
  bool NextTaskIsGuaranteed(const Job& job) const;
  // Determines which of the arrived jobs are covered as a whole by their team's guarantee, together
  // with the team's earlier unfinished jobs (PROTOCOL, "How aims are counted"). Checking the
  // current usage instead would let tasks of jobs that are not covered use up the guarantee of
  // those that are. Jobs claim in the order of submission, since a new leader loads them in another
  // order.
  void ClaimGuarantees(std::vector<Job*> arrived);
  // Ends the claim of a job that is done, cancelled or removed.
  void DropClaim(Job& job);

 private:
  const Team* FindTeam(const std::string& name) const;

  const std::vector<Team>& teams_;
  TeamUsage usage_;
  TeamUsage claims_;  // of unfinished jobs
};

// Whether the job's zone rules allow one more of its tasks in the zone.
bool IsZoneAllowed(const Job& job, const std::string& zone);

}  // namespace magpie
