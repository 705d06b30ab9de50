// Tracks whether a follower can reach the leader.
#pragma once

#include <optional>

#include "model/fencing_token.h"
#include "model/time.h"

namespace magpie {

// Determines from the results of relayed heartbeats whether the leader can be reached, and decides
// when a follower renews a worker's lease itself. Such a renewal sends the worker's own token,
// raised, and starts no task. It is always safe, because no leader binds the machine's tasks again
// before the machine is certainly fenced. Without it, all work in a partitioned zone would be
// killed.
//
// Not thread safe.
class LeaderReachability {
 public:
  // `leader_lease`: the time after which a failed leader is replaced.
  explicit LeaderReachability(Seconds leader_lease) : max_failure_duration_(1.5 * leader_lease) {}

  // Whether a heartbeat may be relayed to the leader now.
  bool MayRelay(Instant now) const { return now >= next_relay_; }
  // `timed_out`: the leader did not answer in time, which suggests a partition. If only its process
  // has ended, the connection is refused at once.
  void OnFailure(Instant now, bool timed_out) {
    next_relay_ = now + kRelayInterval;
    if (!failing_since_) failing_since_ = now;
    timed_out_ |= timed_out;
  }
  // Whether recent relays timed out, so that workers redirected to the leader may time out as well.
  bool TimesOut() const { return failing_since_ && timed_out_; }
  void OnAnswer() {
    failing_since_.reset();
    timed_out_ = false;
  }
  // The leader answers, but must not renew leases yet. Relaying pauses for kRelayInterval.
  void OnDeclined(Instant now) {
    OnAnswer();
    next_relay_ = now + kRelayInterval;
  }
  void OnLeaderChanged() {
    OnAnswer();
    next_relay_ = {};
  }

  // Whether this controller may renew the lease of a worker with this token. `epoch` is the latest
  // known epoch; `partitioned` means that this controller can't reach the key-value store.
  //
  // The renewal is allowed at once if the leader times out or this controller can't reach the store
  // either: a worker redirected in the first seconds of a partition would try unreachable
  // controllers one after another until its lease ends. It is allowed after a delay if the leader
  // refuses connections, since its process may have ended and a successor may be elected soon. It
  // is never allowed for a worker that has the token of a later leader.
  bool MayRenewLease(FencingToken token, Revision epoch, bool partitioned, Instant now) const {
    if (EpochOf(token) > epoch || !failing_since_) return false;
    return partitioned || timed_out_ || now - *failing_since_ > max_failure_duration_;
  }

 private:
  static constexpr Seconds kRelayInterval{2};  // while the leader accepts no relayed heartbeats

  Seconds max_failure_duration_;
  std::optional<Instant> failing_since_;
  bool timed_out_ = false;  // in any relay since failing_since_
  Instant next_relay_;      // no relay before this time
};

}  // namespace magpie
