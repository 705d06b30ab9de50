// Schedules probes: empty direct commands to machines without recent heartbeats.
//
// A probe delivers the leader's token to a worker that still sends heartbeats to an earlier leader,
// and the response delivers the worker's heartbeat to this leader. Only a few probes are in flight
// at once, since most workers send heartbeats to the new leader soon after a takeover anyway.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "model/direct_command.h"
#include "model/ids.h"
#include "model/time.h"
#include "scheduling/cluster_state.h"
#include "scheduling/mass_failure_alarm.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class ProbeScheduler {
 public:
  // Both must outlive this object.
  ProbeScheduler(ClusterState& state, const MassFailureAlarm& alarm)
      : state_(state), alarm_(alarm) {}

  void Clear();
  // Looks for machines to probe if none is queued and the scan interval has passed. Returns how
  // many are queued.
  std::size_t Scan(Instant now);
  std::optional<DirectCommand> Next(Instant now);
  // Queues a probe of the machine before the probes of all other machines.
  void ProbeNow(Machine& machine, Instant now);

 private:
  // A machine to probe. Machines with tasks come first, then those with the oldest heartbeats. Ties
  // are broken by name and not by memory address, since the same events must lead to the same
  // decisions.
  struct ProbeCandidate {
    bool idle = false;
    Instant last_heartbeat;
    MachineId machine;
    auto operator<=>(const ProbeCandidate&) const = default;
  };
  std::vector<ProbeCandidate> FindCandidates(std::size_t max_with_tasks, Instant now);
  bool NeedsProbe(const Machine& machine, Instant now) const;
  Seconds ProbeDelay(Instant now) const;

  ClusterState& state_;
  const MassFailureAlarm& alarm_;
  std::deque<MachineId> queue_;
  Instant next_scan_;
};

}  // namespace magpie
