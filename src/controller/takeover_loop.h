// The thread that loads the records after a takeover and then watches the jobs.
#pragma once

#include <cstdint>
#include <optional>
#include <stop_token>
#include <thread>
#include <vector>

#include "controller/leader_state.h"
#include "controller/retry.h"
#include "kv/key_value_store.h"
#include "records/records.h"

namespace magpie {

// After this controller becomes the leader, loads all jobs and record pages into the scheduler,
// then applies each change of a job's record.
class TakeoverLoop {
 public:
  // `watch_store` is used for the watches, which block, and `store` for everything else.
  TakeoverLoop(LeaderState& state, KeyValueStore& store, KeyValueStore& watch_store);

  // Starts the thread. The destructor stops it and waits for the current watch to return.
  void Start();

 private:
  enum class LoadStatus : std::uint8_t { kLoaded, kStoreUnavailable, kLeadershipLost };
  struct LoadResult {
    LoadStatus status = LoadStatus::kStoreUnavailable;
    Revision revision;  // of the first read; the watch starts here
  };

  void Run(const std::stop_token& stop);
  LoadResult Load(const records::Leadership& leadership, const std::stop_token& stop);
  LoadResult LoadPrefix(const char* prefix, const records::Leadership& leadership);
  // Whether the store still records this leadership. Retries until the store answers or this
  // controller finds that its leadership ended, since a lost answer does not justify loading
  // everything again.
  bool IsRecordedInStore(const records::Leadership& leadership, const std::stop_token& stop);
  void FinishLoad();
  // Applies the changes of jobs since `revision` until the leadership ends.
  void Follow(const records::Leadership& leadership, Revision revision,
              const std::stop_token& stop);
  struct JobEvents {
    std::vector<WatchEvent> events;
    Revision revision;
  };
  // Reads all jobs and returns them as events; none if the leadership ends or a stop is requested
  // first.
  std::optional<JobEvents> ReadJobs(const records::Leadership& leadership, Backoff& backoff,
                                    const std::stop_token& stop);
  // These require the caller to hold the mutex.
  void ApplyJobEvent(const WatchEvent& event);
  void LoadEntry(const char* prefix, const StoreEntry& entry);

  LeaderState& state_;
  KeyValueStore& store_;
  KeyValueStore& watch_store_;
  std::jthread thread_;  // declared last: joined before the other members are destroyed
};

}  // namespace magpie
