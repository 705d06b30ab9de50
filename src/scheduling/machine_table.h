// The machines known to the leader, and the ids of recently released ones.
//
// Invariant: each machine is found by its id and is a member of the heartbeat index. It keeps its
// address until it is removed, since tasks and the heartbeat index point to it. Released ids are
// kept, so that a late heartbeat or an outdated cloud list does not add a released machine again.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "model/cloud_call.h"
#include "model/fencing_token.h"
#include "model/id_hash.h"
#include "model/ids.h"
#include "model/time.h"
#include "scheduling/heartbeat_index.h"
#include "scheduling/machine_state.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class MachineTable {
 public:
  using Machines = std::map<MachineId, std::unique_ptr<Machine>>;

  // A machine is late if its last heartbeat is older than `late_after`.
  explicit MachineTable(Seconds late_after) : heartbeats_(late_after) {}

  void Clear();
  // Returns null if there is no such machine.
  Machine* Find(const MachineId& id) const;
  // Adds a machine that is not in the table. Commands to it carry `token` until it is raised.
  Machine& Add(const MachineId& id, FencingToken token, Instant now);
  // The machine must have no tasks.
  void Remove(Machine& machine);

  // Records that the machine was released.
  void RecordReleased(const MachineId& id);
  bool WasReleased(const MachineId& id) const { return released_.contains(id); }

  // Counts the machine in its zone if tasks may run on it.
  void UpdateZoneCount(Machine& machine);
  // The number of machines of a kind; O(machines).
  int CountOfKind(const MachineKind& kind) const;

  const Machines& all() const { return machines_; }
  HeartbeatIndex& heartbeats() { return heartbeats_; }
  const HeartbeatIndex& heartbeats() const { return heartbeats_; }

 private:
  Machines machines_;
  std::unordered_map<MachineId, Machine*, IdHash> by_id_;
  HeartbeatIndex heartbeats_;
  std::unordered_set<MachineId, IdHash> released_;
  std::deque<MachineId> released_order_;  // oldest first
};

}  // namespace magpie
