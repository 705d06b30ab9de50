// The leader's counts of jobs and tasks by job class and team since it took over.
//
// Invariant: a job counts at most once in each column that counts jobs, whatever happens to its
// tasks. Does no I/O. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "model/job.h"
#include "model/time.h"

namespace magpie {

// Counts by job class and by team.
class ServiceMetrics {
 public:
  struct Row {
    std::uint64_t accepted = 0;   // jobs accepted by this or an earlier leader
    std::uint64_t started = 0;    // jobs with a task that was reported as running
    std::uint64_t done = 0;       // jobs that have completed
    std::uint64_t cancelled = 0;  // jobs that were cancelled
    std::uint64_t stopped = 0;    // tasks stopped while their jobs remain open
    std::uint64_t waiting = 0;    // open jobs without a running task
    std::uint64_t open = 0;       // jobs that have not ended
    Seconds oldest_wait;          // longest current wait of open jobs with a pending task
  };
  struct Table {
    std::map<std::string, Row> classes;
    std::map<std::string, Row> teams;
  };

  void Count(const JobSpec& spec, std::uint64_t Row::* column) {
    ++(table_.classes[spec.job_class].*column);
    ++(table_.teams[spec.team].*column);
  }
  void Clear() { table_ = {}; }
  const Table& table() const { return table_; }

 private:
  Table table_;
};

}  // namespace magpie
