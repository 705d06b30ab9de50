// Detects that workers cannot reach the leader, which should then resign in favour of a peer.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "model/id_hash.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

// A leader that receives heartbeats only through relays, and none directly, should resign. It then
// does not campaign for an interval that doubles each time, unless no other controller takes the
// leadership. So if all controllers are cut off from the workers, the leadership passes once
// through all of them and then stays with one of them.
//
// Missing heartbeats alone are no reason to resign: without relayed heartbeats, no other controller
// is known to reach more workers.
//
// Does no I/O, reads no clock and writes no durable state. Not thread safe.
class LeaderHealth {
 public:
  explicit LeaderHealth(Seconds heartbeat_interval) : heartbeat_interval_(heartbeat_interval) {}

  // This controller was elected.
  void OnElected(Instant now);
  // A worker sent a heartbeat to this controller directly, or answered a request of this
  // controller.
  void OnDirectContact(Instant now);
  // A peer relayed a heartbeat of this machine.
  void OnRelayedHeartbeat(const MachineId& machine, Instant now);
  // `machines`: number of machines that are up.
  bool ShouldResign(std::size_t machines, Instant now) const;
  void OnResigned(Instant now);

  // Whether this controller may campaign, if there has been no leader since `no_leader_since`.
  bool MayCampaign(Instant no_leader_since, Instant now) const;

 private:
  Seconds DirectContactTimeout(std::size_t machines) const;

  Seconds heartbeat_interval_;
  Instant last_direct_contact_;
  // Time of each machine's latest relayed heartbeat since the last direct contact.
  std::unordered_map<MachineId, Instant, IdHash> relayed_heartbeats_;
  Instant elected_at_;
  Instant no_campaign_until_;
  Seconds no_campaign_interval_;  // latest interval; doubled at each resignation
};

}  // namespace magpie
