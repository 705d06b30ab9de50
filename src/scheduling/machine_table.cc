#include "scheduling/machine_table.h"

namespace magpie {
namespace {
constexpr std::size_t kMaxReleasedIds = 4096;
}  // namespace

void MachineTable::Clear() {
  heartbeats_.Clear();
  by_id_.clear();
  machines_.clear();
  released_.clear();
  released_order_.clear();
}

Machine* MachineTable::Find(const MachineId& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

Machine& MachineTable::Add(const MachineId& id, FencingToken token, Instant now) {
  auto& machine = machines_[id];
  machine = std::make_unique<Machine>();
  machine->id = id;
  machine->token = token;
  machine->fencing_token = token;
  machine->created_at = now;
  machine->idle_since = now;
  by_id_[id] = machine.get();
  heartbeats_.AddMember(*machine, now);
  heartbeats_.Watch(*machine);
  return *machine;
}

void MachineTable::Remove(Machine& machine) {
  heartbeats_.RemoveMember(machine);
  const MachineId id = machine.id;  // the key must outlive the machine
  by_id_.erase(id);
  machines_.erase(id);
}

void MachineTable::RecordReleased(const MachineId& id) {
  if (!released_.insert(id).second) return;
  released_order_.push_back(id);
  if (released_order_.size() <= kMaxReleasedIds) return;
  released_.erase(released_order_.front());
  released_order_.pop_front();
}

void MachineTable::UpdateZoneCount(Machine& machine) {
  heartbeats_.AssignZone(machine, machine.zone, machine.up || !machine.tasks.empty());
}

int MachineTable::CountOfKind(const MachineKind& kind) const {
  int count = 0;
  for (const auto& [id, machine] : machines_)
    if (machine->type == kind.type && machine->zone == kind.zone && machine->spot == kind.spot)
      ++count;
  return count;
}

}  // namespace magpie
