// What the scheduler reports of its state, for users, operators and the log.
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

// How many tasks of a job have come how far.
struct JobProgress {
  std::uint32_t done = 0;     // tasks
  std::uint32_t running = 0;  // tasks
};

// How far the comparison of machines with the records has come since the takeover.
struct ReconciliationProgress {
  std::size_t machines = 0;           // that held tasks by the records at the takeover
  std::size_t reconciled = 0;         // heard of or removed since
  std::uint64_t commands_issued = 0;  // commands given to workers
  bool idle = false;                  // no command and no write waits
};

// Counts of what the scheduler has.
struct SchedulerStatus {
  std::size_t jobs = 0;     // that are not over
  std::size_t pending = 0;  // tasks
  std::size_t bound = 0;    // tasks
  std::size_t machines_up = 0;
  std::size_t machines_starting = 0;
  // Work since the takeover:
  std::uint64_t candidates_evaluated = 0;  // by placement
  std::uint64_t jobs_planned = 0;
  std::uint64_t machines_inspected = 0;  // by plans, probes and inspections
};

JobProgress ProgressOf(const Job& job);
std::map<JobId, JobProgress> ProgressOfAll(const ClusterState& state);
// Machines on which something may run.
std::size_t CountReachableMachines(const ClusterState& state);
ReconciliationProgress ReconciliationOf(const ClusterState& state, bool write_in_progress);
SchedulerStatus StatusOf(const ClusterState& state);
// How classes and teams are served since the takeover.
ServiceMetrics::Table ServiceMetricsOf(const ClusterState& state, WallTime wall);

}  // namespace magpie
