// When a user is told that a job is cancelled.
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

// Announces cancellations to all other controllers. A user is told that a job is cancelled only
//  (a) after every other controller has acknowledged the cancellation, asked when it was durable
//      already; or
//  (b) when the job is final, so that no task of it is on a machine or can start.
// CancellationRegistry has the argument why that suffices.
//
// No user waits for controllers that do not answer: those that did not answer last are asked last,
// and not again for a moment, and nobody is asked once kPatience has passed. Then (b) remains.
//
// Thread safe.
class CancellationBroadcaster {
 public:
  struct Hooks {
    std::function<Instant()> now;
    // Whether the member acknowledges the cancellation. Blocks on I/O.
    std::function<bool(const std::string& member, const JobId& job, Revision revision)> announce;
    // The same of this controller.
    std::function<bool(const JobId& job, Revision revision)> record;
  };
  struct Options {
    std::vector<std::string> peers;  // all other members
    // A lease can outlast the time limit of cancellations, so that (a) does not suffice.
    bool acknowledge_only_when_final = false;
  };
  // Whether the time within which a cancelled job's tasks must be gone (`cancel`) leaves room for
  // a worker's lease and for the messages that may be on their way.
  static bool AllowsEarlyAcknowledgement(Seconds lease, Seconds cancel);

  CancellationBroadcaster(Options options, Hooks hooks);

  // Whether every controller knows of the cancellation now, so that the user may be told.
  // `revision`: of the durable record that has it. Blocks on I/O.
  bool Broadcast(const JobId& job, Revision revision);

 private:
  struct Recipients {
    std::vector<std::string> members;  // in the order in which they are to be asked
    bool complete = true;              // false: some may not be asked now
  };
  Recipients SelectRecipients();

  Options options_;
  Hooks hooks_;
  std::mutex mutex_;                              // guards last_failures_; not held across I/O
  std::map<std::string, Instant> last_failures_;  // of members that did not answer last
};

}  // namespace magpie
