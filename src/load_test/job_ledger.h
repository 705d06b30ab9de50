// Simulates the store of job descriptions outside the controllers: users upload descriptions, and
// workers fetch them.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "agent/worker.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/time.h"

namespace magpie::load_test {

// A job as its user submitted it, and the actual run time of its tasks.
struct SubmittedJob {
  JobSpec spec;
  // Mean of its tasks, without the image fetch. 0: tasks run until they are stopped.
  Seconds run_time;
  double run_time_spread = 0;  // maximum deviation of tasks, as a fraction of run_time
};

// The actual run time of a task, the same on every machine and in every attempt.
Seconds RunTimeOf(const SubmittedJob& job, std::uint32_t task);

// Thread-safe.
class JobLedger {
 public:
  void Add(const SubmittedJob& job);
  // Removes a job that no worker can be commanded to start any more.
  void Remove(const JobId& id);
  std::optional<SubmittedJob> Find(const JobId& id) const;

 private:
  struct Hash {
    std::size_t operator()(const JobId& id) const { return std::hash<std::string>()(id.value); }
  };
  mutable std::mutex mutex_;
  std::unordered_map<JobId, SubmittedJob, Hash> jobs_;
};

agent::JobDescription DescriptionOf(const JobSpec& spec);

}  // namespace magpie::load_test
