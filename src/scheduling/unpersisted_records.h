// The jobs with state that is not in the durable records yet.
//
// Invariant: a task that is marked unpersisted is in its job's list of unpersisted tasks exactly
// once, and its job is in this set unless a write of the task is in progress or the job's record is
// being reloaded.
#pragma once

#include <cstdint>
#include <set>

#include "model/ids.h"
#include "model/time.h"
#include "scheduling/job_state.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class UnpersistedRecords {
 public:
  void Clear() { jobs_.clear(); }
  // Records that the task's record must be written.
  void MarkTask(Job& job, std::uint32_t index, Instant now);
  // Records that the job may have a task record or a final record to write.
  void MarkJob(const JobId& id) { jobs_.insert(id); }
  void Remove(const JobId& id) { jobs_.erase(id); }
  bool empty() const { return jobs_.empty(); }
  const std::set<JobId>& jobs() const { return jobs_; }

 private:
  std::set<JobId> jobs_;
};

}  // namespace magpie
