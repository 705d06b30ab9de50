// Records the leaders of a run, and the time from each kill of a leader to the next epoch and the
// next task start.
#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "kv/key_value_store.h"
#include "load_test/recorder.h"

namespace magpie::load_test {

// Detects takeovers by the epochs that leaders write. Thread-safe.
class LeadershipLog {
 public:
  // `recorder` must outlive the log.
  explicit LeadershipLog(Recorder& recorder) : recorder_(recorder) {}

  // Called for each committed transaction.
  void OnCommit(const Transaction& transaction, Instant at);
  void RecordLeaderKill(const std::string& leader, Instant at);
  // The label of the leader; empty before the first epoch.
  std::string Leader();
  // For each killed leader, the time until the next epoch and until the first task start after it.
  nlohmann::json TakeoversToJson();

 private:
  struct Takeover {
    std::string leader;
    Instant at;
  };
  struct FirstStart {
    Instant epoch_at;
    Instant at;
  };

  Recorder& recorder_;
  std::mutex mutex_;
  std::vector<Takeover> takeovers_;
  std::vector<Takeover> kills_;  // killed leaders and the times of their kills
  std::vector<FirstStart> first_starts_;
};

}  // namespace magpie::load_test
