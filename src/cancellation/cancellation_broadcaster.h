// Decides when a cancellation may be acknowledged to the user.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

// Announces cancellations to all peers. A cancellation is acknowledged to the user only
//  (a) after every peer has acknowledged an announcement sent when the cancellation was durable; or
//  (b) when the job is final, so that none of its tasks is on a machine or can start.
// CancellationRegistry explains why this suffices.
//
// Unresponsive peers do not delay the user: a peer that did not acknowledge the latest announcement
// sent to it gets the next one after all other peers, and only after kPeerRetryInterval. No
// announcement is sent once kBroadcastTimeout has passed. The cancellation is then acknowledged
// by (b).
//
// Thread safe.
class CancellationBroadcaster {
 public:
  struct Hooks {
    std::function<Instant()> now;
    // Announces the cancellation; returns whether the peer acknowledged it. Blocks on I/O.
    std::function<bool(const std::string& peer, const JobId& job, Revision revision)> announce;
    // Records the cancellation in this controller's registry; returns whether it was recorded.
    std::function<bool(const JobId& job, Revision revision)> record;
  };
  struct Options {
    std::vector<std::string> peers;  // all other controllers
    // Disables (a), which does not suffice if a lease can outlast the time limit of cancellations.
    bool acknowledge_only_when_final = false;
  };
  // Whether the time limit for stopping a cancelled job's tasks (`cancel_limit`) covers a worker's
  // lease and the messages in flight when it ends.
  static bool AllowsEarlyAcknowledgement(Seconds lease, Seconds cancel_limit);

  CancellationBroadcaster(Options options, Hooks hooks);

  // Announces the cancellation to the peers. Returns whether it may be acknowledged to the user
  // now. `revision` is that of the durable record with the cancellation. Blocks on I/O.
  bool Broadcast(const JobId& job, Revision revision);

 private:
  struct Recipients {
    std::vector<std::string> peers;  // in the order in which to announce
    bool complete = true;            // false: a peer is skipped until its retry interval ends
  };
  Recipients SelectRecipients();

  Options options_;
  Hooks hooks_;
  std::mutex mutex_;                              // guards last_failures_; not held across I/O
  std::map<std::string, Instant> last_failures_;  // by peer; erased by an acknowledgement
};

}  // namespace magpie
