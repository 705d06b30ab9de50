#include "scheduling/scheduler_status.h"

#include <algorithm>

#include "scheduling/cluster_state.h"

namespace magpie {

JobProgress ProgressOf(const Job& job) {
  JobProgress progress{job.done, 0};
  for (const Task& task : job.tasks) progress.running += task.running ? 1 : 0;
  return progress;
}

std::map<JobId, JobProgress> ProgressOfAll(const ClusterState& state) {
  std::map<JobId, JobProgress> all;
  for (const auto& [id, job] : state.jobs.all()) all[id] = ProgressOf(*job);
  return all;
}

std::size_t CountReachableMachines(const ClusterState& state) {
  std::size_t count = 0;
  for (const auto& [name, zone] : state.machines.heartbeats().zones()) count += zone.all;
  return count;
}

ReconciliationProgress ReconciliationOf(const ClusterState& state, bool write_in_progress) {
  ReconciliationProgress progress;
  progress.machines = state.reconciliation.machines;
  progress.reconciled = state.reconciliation.machines - state.reconciliation.unreconciled;
  progress.commands_issued = state.counters.commands_issued;
  progress.idle = state.term.loaded && state.commands.empty() && state.unpersisted.empty() &&
                  !write_in_progress;
  return progress;
}

SchedulerStatus StatusOf(const ClusterState& state) {
  SchedulerStatus status;
  status.candidates_evaluated = state.counters.candidates_evaluated;
  status.jobs_planned = state.counters.jobs_planned;
  status.machines_inspected = state.counters.machines_inspected;
  status.jobs = state.jobs.all().size();
  for (const auto& [id, job] : state.jobs.all()) {
    status.pending += job->pending.size();
    status.bound += job->bound;
  }
  for (const auto& [id, machine] : state.machines.all())
    ++(machine->up ? status.machines_up : status.machines_starting);
  return status;
}

ServiceMetrics::Table ServiceMetricsOf(const ClusterState& state, WallTime wall) {
  ServiceMetrics::Table table = state.service_metrics.table();
  for (const auto& [id, job] : state.jobs.all()) {
    const bool finished = job->cancelled || job->done == job->spec.tasks;
    if (finished) continue;
    const bool running = ProgressOf(*job).running > 0;
    for (ServiceMetrics::Row* row :
         {&table.classes[job->spec.job_class], &table.teams[job->spec.team]}) {
      ++row->open;
      if (!running) ++row->waiting;
      if (!job->pending.empty())
        row->oldest_wait = std::max(row->oldest_wait, wall - job->spec.submitted);
    }
  }
  return table;
}

}  // namespace magpie
