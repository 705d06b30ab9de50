#include "scheduling/heartbeat_index.h"

namespace magpie {

void HeartbeatIndex::Clear() {
  fresh_.clear();
  late_.clear();
  watched_.clear();
  zones_.clear();
}

void HeartbeatIndex::AddMember(Member& machine, Instant now) {
  machine.last_heartbeat = now;
  machine.joined = true;
  machine.place = fresh_.insert(fresh_.end(), &machine);
}

void HeartbeatIndex::RemoveMember(Member& machine) {
  if (!machine.joined) return;
  AssignZone(machine, {}, false);
  Unwatch(machine);
  (machine.is_late ? late_ : fresh_).erase(machine.place);
  machine.joined = false;
}

bool HeartbeatIndex::RecordHeartbeat(Member& machine, Instant now) {
  const bool was_late = machine.is_late;
  machine.last_heartbeat = now;
  fresh_.splice(fresh_.end(), was_late ? late_ : fresh_, machine.place);
  machine.is_late = false;
  if (was_late && machine.zone != nullptr) --machine.zone->late;
  return was_late;
}

void HeartbeatIndex::AssignZone(Member& machine, const std::string& zone, bool counted) {
  Zone* now = counted ? &zones_[zone] : nullptr;
  if (now == machine.zone) return;
  const std::uint32_t late = machine.is_late ? 1 : 0;
  if (machine.zone != nullptr) {
    --machine.zone->all;
    machine.zone->late -= late;
  }
  if (now != nullptr) {
    ++now->all;
    now->late += late;
  }
  machine.zone = now;
}

void HeartbeatIndex::Watch(Member& machine) {
  if (machine.is_watched) return;
  machine.is_watched = true;
  machine.watch = watched_.insert(watched_.end(), &machine);
}

void HeartbeatIndex::Unwatch(Member& machine) {
  if (!machine.is_watched) return;
  machine.is_watched = false;
  watched_.erase(machine.watch);
}

void HeartbeatIndex::AdvanceTime(Instant now) {
  while (!fresh_.empty() && now - fresh_.front()->last_heartbeat > late_after_) {
    Member& machine = *fresh_.front();
    late_.splice(late_.end(), fresh_, fresh_.begin());
    machine.is_late = true;
    if (machine.zone != nullptr) ++machine.zone->late;
  }
}

}  // namespace magpie
