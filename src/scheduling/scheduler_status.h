// Status of the scheduler, for users, operators and the log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "metrics/service_metrics.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

struct ClusterState;
struct Job;

// The number of a job's tasks that are done and of those that run.
struct JobProgress {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

// Progress of the comparison of durable records with heartbeats after a takeover.
struct ReconciliationProgress {
  std::size_t machines = 0;           // machines with bound tasks in the records at the takeover
  std::size_t reconciled = 0;         // of these, removed or with a heartbeat since then
  std::uint64_t commands_issued = 0;  // commands issued to workers
  bool idle = false;                  // no command and no write is pending
};

// Numbers of jobs, tasks and machines, and counters of work.
struct SchedulerStatus {
  std::size_t jobs = 0;     // jobs that are not final
  std::size_t pending = 0;  // pending tasks
  std::size_t bound = 0;    // tasks that are binding, bound or ending
  std::size_t machines_up = 0;
  std::size_t machines_starting = 0;
  // Counters of work since the takeover:
  std::uint64_t candidates_evaluated = 0;  // by placement
  std::uint64_t jobs_planned = 0;
  std::uint64_t machines_inspected = 0;  // by plans, probes and inspections
};

JobProgress ProgressOf(const Job& job);
std::map<JobId, JobProgress> ProgressOfAll(const ClusterState& state);
// The number of machines on which tasks may run.
std::size_t CountReachableMachines(const ClusterState& state);
ReconciliationProgress ReconciliationOf(const ClusterState& state, bool write_in_progress);
SchedulerStatus StatusOf(const ClusterState& state);
// Service metrics by job class and by team since the takeover.
ServiceMetrics::Table ServiceMetricsOf(const ClusterState& state, WallTime wall);

}  // namespace magpie
