// Tracks when each machine sent its last heartbeat, and which machines to inspect.
//
// Invariant: each member is in exactly one of two lists, late and fresh, both ordered by last
// heartbeat. A heartbeat moves its machine to the end of the fresh list, and machines at the front
// of that list become late first. So the cost of an update depends on the number of machines that
// change lists, not on the number of all machines.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "model/time.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class HeartbeatIndex {
 public:
  struct Zone {
    std::uint32_t all = 0;   // number of members counted in the zone
    std::uint32_t late = 0;  // of these, members with late heartbeats
    Instant last_heartbeat;  // time of the latest one that was not relayed by another controller
  };

  // The index's data for one machine. Its owner may free it after RemoveMember.
  struct Member {
    Instant last_heartbeat;

   private:
    friend class HeartbeatIndex;
    std::list<Member*>::iterator position;        // in fresh_ or late_
    std::list<Member*>::iterator watch_position;  // in watched_
    bool is_member = false;
    bool is_late = false;
    bool is_watched = false;
    Zone* zone = nullptr;  // the zone that counts it; null if none does
  };

  // A machine is late if its last heartbeat is older than `late_after`.
  explicit HeartbeatIndex(Seconds late_after) : late_after_(late_after) {}

  void Clear();
  // Members must keep their address until they are removed.
  void AddMember(Member& member, Instant now);
  void RemoveMember(Member& member);
  // Records a heartbeat received now. Returns whether the member was late before.
  bool RecordHeartbeat(Member& member, Instant now);
  // Records a heartbeat from the zone that was not relayed by another controller.
  void RecordDirectHeartbeat(const std::string& zone, Instant now) {
    zones_[zone].last_heartbeat = now;
  }
  // Counts the member in the zone, or in none if `counted` is false.
  void AssignZone(Member& member, const std::string& zone, bool counted);
  // Includes the member in every inspection until Unwatch.
  void Watch(Member& member);
  void Unwatch(Member& member);
  // Moves members that have become late to the late list.
  void AdvanceTime(Instant now);

  // Ordered by last heartbeat, oldest first.
  const std::list<Member*>& late() const { return late_; }
  const std::list<Member*>& fresh() const { return fresh_; }
  const std::list<Member*>& watched() const { return watched_; }
  const std::map<std::string, Zone>& zones() const { return zones_; }

 private:
  Seconds late_after_;
  std::list<Member*> fresh_;
  std::list<Member*> late_;
  std::list<Member*> watched_;
  std::map<std::string, Zone> zones_;
};

}  // namespace magpie
