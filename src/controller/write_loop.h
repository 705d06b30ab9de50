// The thread that commits the leader's write batches.
#pragma once

#include <functional>
#include <optional>
#include <stop_token>
#include <thread>

#include "controller/leader_state.h"
#include "kv/key_value_store.h"
#include "records/write_batch_committer.h"

namespace magpie {

// Commits the batches one by one and passes each outcome to the scheduler. Relinquishes the
// leadership if a write shows that it is lost or that the scheduler's state differs from the
// records.
class WriteLoop {
 public:
  // `wake_election` is called after each relinquishment of the leadership.
  WriteLoop(LeaderState& state, KeyValueStore& store, std::function<void()> wake_election);

  // Starts the thread. The destructor stops it and waits for the outcome of the current batch.
  void Start();

 private:
  struct Work {
    WriteBatch batch;
    records::Leadership leadership;
  };

  void Run(const std::stop_token& stop);
  std::optional<Work> NextWork();  // the caller holds the mutex
  void Commit(const Work& work);
  void ApplyOutcome(const Work& work, const WriteOutcome& outcome);

  LeaderState& state_;
  KeyValueStore& store_;
  std::function<void()> wake_election_;
  std::jthread thread_;  // declared last: joined before the other members are destroyed
};

}  // namespace magpie
