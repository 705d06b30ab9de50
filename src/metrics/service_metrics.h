// How each class of jobs and each team is served, as the leader sees it since the takeover.
//
// Invariant: a job counts once in each column of jobs, whatever happens to its tasks. Pure: it does
// no I/O. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "model/job.h"
#include "model/time.h"

namespace magpie {

// Counts by class of jobs and by team.
class ServiceMetrics {
 public:
  struct Row {
    std::uint64_t accepted = 0;   // jobs, those of earlier leaders included
    std::uint64_t started = 0;    // jobs with a task that was seen running
    std::uint64_t done = 0;       // jobs
    std::uint64_t cancelled = 0;  // jobs
    std::uint64_t stopped = 0;    // tasks told to stop although their jobs go on
    std::uint64_t waiting = 0;    // jobs that are not over, of which nothing runs
    std::uint64_t open = 0;       // jobs that are not over
    Seconds oldest_wait;          // of open jobs with a pending task
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
