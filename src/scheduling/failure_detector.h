// Finds machines that are lost, unusable or about to be preempted, and releases them.
//
// Missing heartbeats alone never free a task: a lost machine is released, and its tasks are placed
// again only after the cloud has confirmed the release (CloudCoordinator). A wrong decision here
// therefore costs money and time, but no task runs twice at once. In a zone where missing
// heartbeats suggest a network partition, machines are kept until the leases of their workers must
// have expired.
#pragma once

#include <map>
#include <set>
#include <string>

#include "model/time.h"
#include "scheduling/cloud_coordinator.h"
#include "scheduling/cluster_state.h"
#include "scheduling/mass_failure_alarm.h"
#include "scheduling/task_lifecycle.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class FailureDetector {
 public:
  // All references must outlive this object.
  FailureDetector(ClusterState& state, TaskLifecycle& lifecycle, CloudCoordinator& cloud,
                  MassFailureAlarm& alarm)
      : state_(state), lifecycle_(lifecycle), cloud_(cloud), alarm_(alarm) {}

  void Clear() { zone_suspected_until_.clear(); }
  // Inspects the watched machines and the machines that have sent no heartbeat for too long.
  void InspectMachines(Instant now);

 private:
  // Time since a machine's last heartbeat, and the time after which the machine counts as lost.
  struct HeartbeatGap {
    Seconds length;
    Seconds allowed;
    bool partitioned = false;  // the machine's zone is suspected
    bool isolated = false;     // it does not answer probes, while heartbeats of its zone arrive
  };

  std::set<std::string> SuspectedZones(Instant now);
  std::map<std::string, std::uint32_t> CountRelayedByZone(Instant now);
  void Inspect(Machine& machine, const std::set<std::string>& suspected_zones, Instant now);
  HeartbeatGap HeartbeatGapOf(const Machine& machine, const std::set<std::string>& suspected_zones,
                              Instant now) const;
  Seconds SingleMachineTimeout() const;
  Seconds LeaseExpiryTimeout() const;
  bool IsLost(const Machine& machine, const HeartbeatGap& gap, Instant now) const;
  bool HasOverdueCancelledTask(const Machine& machine, Instant now) const;
  bool IsBootOverdue(const Machine& machine, Instant now) const;
  bool IsEmptyAndUnusable(const Machine& machine, Instant now) const;
  void HandlePreemptionNotice(Machine& machine, Instant now);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  CloudCoordinator& cloud_;
  MassFailureAlarm& alarm_;
  std::map<std::string, Instant> zone_suspected_until_;
};

}  // namespace magpie
