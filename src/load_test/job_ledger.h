// What workers may read of submitted jobs: users upload the descriptions beside the
// controllers, and the workers fetch them from there.
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

// A job as its user submitted it, and how long its tasks really take.
struct SubmittedJob {
  JobSpec spec;
  Seconds run_time;   // of a task in the mean, without the image; 0: until it is stopped
  double spread = 0;  // by how much of it tasks differ, at most, either way
};

// How long the task really takes: the same wherever and however often it runs.
Seconds RunTimeOf(const SubmittedJob& job, std::uint32_t task);

// Safe for threads.
class JobLedger {
 public:
  void Add(const SubmittedJob& job);
  // Drops a job that no worker can be asked to start any more.
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
