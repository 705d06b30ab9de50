#include "scheduling/cluster_state.h"

namespace magpie {
namespace {
// Above 1.25, since workers vary the time between heartbeats by up to a quarter of the interval.
constexpr double kLateHeartbeatIntervals = 1.3;
constexpr Seconds kLateHeartbeatMargin{1};

Seconds LateHeartbeatTimeout(const SchedulerOptions& options) {
  return kLateHeartbeatIntervals * options.heartbeat_interval + kLateHeartbeatMargin;
}
}  // namespace

ClusterState::ClusterState(SchedulerOptions scheduler_options,
                           Autoscaler::Options autoscaler_options)
    : options(std::move(scheduler_options)),
      decisions(options.log_decisions),
      autoscaler(autoscaler_options),
      machines(LateHeartbeatTimeout(options)),
      kinds(autoscaler),
      run_times(kinds, autoscaler),
      quotas(options.teams) {}

void ClusterState::Clear() {
  term.token = FencingToken{};
  term.loaded = false;
  signals = {};
  counters = {};
  reconciliation = {};
  failure_attribution.Clear();
  service_metrics.Clear();
  jobs.Clear();
  machines.Clear();
  images.Clear();
  quotas.Clear();
  array_cpus = {};
  record_pages.Clear();
  unpersisted.Clear();
  commands.Clear();
  overdue.Clear();
}

Machine& ClusterState::FindOrCreateMachine(const MachineId& id, Instant now) {
  if (Machine* known = machines.Find(id)) return *known;
  signals.MarkChanged();
  return machines.Add(id, term.token, now);
}

void ClusterState::RemoveJob(Job& job) {
  for (Task& task : job.tasks) record_pages.Unassign(task.page);
  quotas.DropClaim(job);
  failure_attribution.Forget(job.serial);
  unpersisted.Remove(job.spec.id);
  jobs.Remove(job);
}

}  // namespace magpie
