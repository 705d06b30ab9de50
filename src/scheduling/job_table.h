// The jobs that are not final, and the queue of those with pending tasks.
//
// Invariant: each job is found by its id and by its serial number. Serials are never reused, so a
// stored serial finds its own job or none. A job keeps its address until it is removed. It is
// removed only when none of its tasks is assigned to a machine, since machines point to jobs.
// Each job with a pending task is queued; the planner drops queued jobs without pending tasks.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model/ids.h"
#include "model/job.h"
#include "scheduling/job_state.h"
#include "scheduling/machine_state.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class JobTable {
 public:
  using Jobs = std::map<JobId, std::unique_ptr<Job>>;
  // Orders by age and not by address, so that the same events lead to the same decisions.
  struct BySerial {
    bool operator()(const Job* a, const Job* b) const { return a->serial < b->serial; }
  };
  using Queue = std::set<Job*, BySerial>;

  // Removes all jobs. The numbering of serials continues.
  void Clear();
  // Adds a job whose tasks are all unbound, and does not queue it. It must not be in the table.
  Job& Add(const JobSpec& spec);
  void Remove(Job& job);

  // The Find functions return null if there is no such job.
  Job* Find(const JobId& id) const;
  Job* FindBySerial(std::uint32_t serial) const;
  // Like Find, but faster if a task of the job is assigned to the machine.
  Job* FindFrom(const Machine& machine, const JobId& id) const;

  const Jobs& all() const { return jobs_; }
  Queue& queued() { return queued_; }

  // Records that the job arrived or was cancelled, until the next TakeChanged.
  void MarkChanged(const JobId& id) { changed_.push_back(id); }
  std::vector<JobId> TakeChanged() { return std::exchange(changed_, {}); }

 private:
  Jobs jobs_;
  std::unordered_map<std::uint32_t, Job*> by_serial_;
  std::uint32_t last_serial_ = 0;
  Queue queued_;
  std::vector<JobId> changed_;
};

}  // namespace magpie
