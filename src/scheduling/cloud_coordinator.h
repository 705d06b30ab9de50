// The leader's calls to the cloud: provisioning, releases and machine lists.
//
// Invariant: a provisioning request is retried under the same name until the cloud responds to it,
// so that a lost response does not provision a second set of machines. A machine is removed from
// the tables only after the cloud confirms its release, since its tasks may run until then. At most
// one list request is in flight at a time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/cloud_call.h"
#include "model/ids.h"
#include "model/machine.h"
#include "model/time.h"
#include "scheduling/cluster_state.h"
#include "scheduling/task_lifecycle.h"

namespace magpie {

// Decides on calls to the cloud and applies their results. Not thread-safe: it belongs to one
// scheduler.
class CloudCoordinator {
 public:
  // Both arguments must outlive this object.
  CloudCoordinator(ClusterState& state, TaskLifecycle& lifecycle)
      : state_(state), lifecycle_(lifecycle) {}

  // Begins a term of leadership. The names of the term's provisioning requests begin with
  // `request_prefix`, which must be unique to the term.
  void Start(std::string request_prefix, Instant now);
  void Clear();

  // Whether machines may be provisioned now: a machine list was received, no provisioning request
  // is pending and the delay set by DelayScaleOut is over.
  bool MayScaleOut(Instant now) const;
  bool HasPendingScaleOuts() const { return !pending_scale_outs_.empty(); }
  void ScaleOut(const MachineKind& kind, std::uint32_t count);
  void DelayScaleOut(Instant until) { next_scale_out_ = until; }
  // Queues the machine for release; no more tasks are placed on it.
  void Release(Machine& machine);

  // Returns the next call to make, if any. Its result is passed to one of the functions below.
  std::optional<CloudCall> NextCall(Instant now);
  void OnProvisioned(const CloudCall& call, const std::vector<MachineId>& machines, Instant now);
  void OnProvisioningRefused(const CloudCall& call, Instant now);
  // The cloud may have executed the call, or may still do so.
  void OnProvisioningUnconfirmed(const CloudCall& call);
  void OnReleased(const CloudCall& call, Instant now);
  void OnReleaseUnconfirmed(const CloudCall& call);
  void OnList(const std::vector<ListedMachine>& machines, Instant now);
  void OnListFailed(Instant now);

 private:
  bool IsFromThisTerm(const CloudCall& call) const;
  void RemoveMachine(const MachineId& id, Instant now);
  void ApplyListed(const ListedMachine& listed, Instant now);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  std::string request_prefix_;
  std::uint64_t requests_made_ = 0;
  std::deque<CloudCall> scale_outs_;          // provisioning calls not sent yet
  std::set<std::string> pending_scale_outs_;  // names of provisioning requests without a response
  Instant next_scale_out_;
  std::set<MachineId> pending_releases_;  // machines to release; the calls are not sent yet
  bool list_in_flight_ = false;           // a list request is in flight
  bool list_received_ = false;            // a list was received in this term
  Instant next_list_;
};

}  // namespace magpie
