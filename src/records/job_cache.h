// An in-memory copy of the live jobs, updated before each lookup.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "kv/key_value_store.h"
#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

// Concurrent lookups share one small read of the key-value store. The result of a lookup was
// current at some moment after the call: the copy is updated by a non-blocking watch that began
// after the call. Calls that arrive while a watch is in progress share the next one.
//
// Thread safe. The mutex is not held across I/O.
class JobCache {
 public:
  struct Hooks {
    std::function<Instant()> now;
    std::function<void(Seconds)> sleep;
  };
  // Two reads begin at least `min_read_interval` apart.
  JobCache(KeyValueStore& store, Seconds min_read_interval, Hooks hooks);

  struct LiveJob {
    Revision revision;
    bool stopping = false;
    bool cancelled = false;  // the cancellation may be acknowledged to users
  };
  struct Lookup {
    bool store_reachable = false;  // if false, `live` may be out of date
    std::optional<LiveJob> live;   // nullopt: no such live job
  };
  // Blocks until the copy is updated or the update has failed.
  Lookup Find(const JobId& id);
  // Updates the copy without a lookup. Returns false if the store was not reached.
  bool Refresh();

  // --- Cancellations (cancellation/cancellation_registry.h). These do no I/O.
  struct Cancellation {
    JobId job;
    Revision revision;  // of the job record with the cancellation, or a later one
  };
  // Whether this process has read all jobs at least once.
  bool Loaded();
  // Keeps an announced cancellation until a read of the store includes it. Returns false if too
  // many are kept.
  bool RecordCancellation(const Cancellation& cancellation);
  // Whether the job is known to be cancelled, whether or not this was acknowledged to the user.
  bool IsCancelled(const JobId& id);

 private:
  using LiveJobs = std::unordered_map<std::string, LiveJob>;
  struct Snapshot {
    LiveJobs jobs;
    Revision revision;
  };
  bool RefreshLocked(std::unique_lock<std::mutex>& lock);
  bool ReadStore();
  std::optional<Snapshot> ReadAll();
  bool ApplyWatch(const WatchResult& watch);
  static void Apply(LiveJobs& jobs, const WatchEvent& event);

  KeyValueStore& store_;
  const Seconds min_read_interval_;
  const Hooks hooks_;

  std::mutex mutex_;  // guards the members below
  std::condition_variable read_ended_;
  bool reading_ = false;             // one thread reads on behalf of all waiting callers
  std::uint64_t reads_started_ = 0;  // reads are numbered in the order of their start
  std::uint64_t last_ended_read_ = 0;
  bool store_reachable_ = false;  // whether the latest completed read succeeded
  Instant next_read_;             // earliest start of the next read
  Revision revision_;             // of the copy; 0: all jobs must be read again
  LiveJobs jobs_;
  bool loaded_ = false;
  std::unordered_map<std::string, Revision>
      announced_cancellations_;  // not yet read from the store
};

}  // namespace magpie
