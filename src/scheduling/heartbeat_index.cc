#include "scheduling/heartbeat_index.h"

namespace magpie {

void HeartbeatIndex::Clear() {
  fresh_.clear();
  late_.clear();
  watched_.clear();
  zones_.clear();
}

void HeartbeatIndex::AddMember(Member& member, Instant now) {
  member.last_heartbeat = now;
  member.is_member = true;
  member.position = fresh_.insert(fresh_.end(), &member);
}

void HeartbeatIndex::RemoveMember(Member& member) {
  if (!member.is_member) return;
  AssignZone(member, {}, false);
  Unwatch(member);
  (member.is_late ? late_ : fresh_).erase(member.position);
  member.is_member = false;
}

bool HeartbeatIndex::RecordHeartbeat(Member& member, Instant now) {
  const bool was_late = member.is_late;
  member.last_heartbeat = now;
  fresh_.splice(fresh_.end(), was_late ? late_ : fresh_, member.position);
  member.is_late = false;
  if (was_late && member.zone != nullptr) --member.zone->late;
  return was_late;
}

void HeartbeatIndex::AssignZone(Member& member, const std::string& zone, bool counted) {
  Zone* new_zone = counted ? &zones_[zone] : nullptr;
  if (new_zone == member.zone) return;
  const std::uint32_t late = member.is_late ? 1 : 0;
  if (member.zone != nullptr) {
    --member.zone->all;
    member.zone->late -= late;
  }
  if (new_zone != nullptr) {
    ++new_zone->all;
    new_zone->late += late;
  }
  member.zone = new_zone;
}

void HeartbeatIndex::Watch(Member& member) {
  if (member.is_watched) return;
  member.is_watched = true;
  member.watch_position = watched_.insert(watched_.end(), &member);
}

void HeartbeatIndex::Unwatch(Member& member) {
  if (!member.is_watched) return;
  member.is_watched = false;
  watched_.erase(member.watch_position);
}

void HeartbeatIndex::AdvanceTime(Instant now) {
  while (!fresh_.empty() && now - fresh_.front()->last_heartbeat > late_after_) {
    Member& member = *fresh_.front();
    late_.splice(late_.end(), fresh_, fresh_.begin());
    member.is_late = true;
    if (member.zone != nullptr) ++member.zone->late;
  }
}

}  // namespace magpie
