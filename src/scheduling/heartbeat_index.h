// When each machine was last heard, and which machines to inspect.
//
// Invariant: each member is in exactly one of two lists, both ordered by last heartbeat: late ones
// and fresh ones. A heartbeat moves its machine to the end of the fresh list, and machines become
// late from its front, so the cost follows what changed and not the number of machines.
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
    std::uint32_t all = 0;   // members that are counted in the zone
    std::uint32_t late = 0;  // of these, how many are late
    Instant last_heartbeat;  // the latest that came without another controller between
  };

  // A machine as the index knows it. Its owner may free it after RemoveMember.
  struct Member {
    Instant last_heartbeat;

   private:
    friend class HeartbeatIndex;
    std::list<Member*>::iterator place;  // in fresh_ or late_
    std::list<Member*>::iterator watch;  // in watched_
    bool joined = false;
    bool is_late = false;
    bool is_watched = false;
    Zone* zone = nullptr;  // where it is counted, if it is
  };

  // `late`: how long a machine may be silent before it is late.
  explicit HeartbeatIndex(Seconds late) : late_after_(late) {}

  void Clear();
  // Members must not move in memory until they leave.
  void AddMember(Member& machine, Instant now);
  void RemoveMember(Member& machine);
  // The member was heard just now. Returns whether it was late.
  bool RecordHeartbeat(Member& machine, Instant now);
  // A machine of the zone was heard without another controller between.
  void RecordDirectHeartbeat(const std::string& zone, Instant now) {
    zones_[zone].last_heartbeat = now;
  }
  // Counts the member in a zone, or not at all.
  void AssignZone(Member& machine, const std::string& zone, bool counted);
  // The member is inspected at each inspection, until Unwatch.
  void Watch(Member& machine);
  void Unwatch(Member& machine);
  // Finds the members that have become late.
  void AdvanceTime(Instant now);

  // Those heard least lately come first.
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
