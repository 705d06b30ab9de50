// Records when a starting controller reaches each step of a takeover, for operators who follow a
// restart of all controllers.
//
// Invariant: each step is recorded once, when it is first reached. A new term of leadership starts
// over from kElected. Pure: the caller passes the time. Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "model/time.h"

namespace magpie {

// The steps of one takeover and the times at which they were reached.
class FailoverTimeline {
 public:
  enum class Step : std::uint8_t {
    kStoreReached,    // the key-value store has answered
    kElected,         // the controller leads with its own epoch
    kRecordsLoaded,   // all records are loaded
    kFirstCommand,    // the first command is sent to a worker
    kHalfReconciled,  // 50% of the machines with recorded tasks are reconciled
    kMostReconciled,  // 99% of these machines are reconciled
    kSettled,         // kMostReconciled is reached, and no command or write is pending
  };
  static constexpr std::size_t kSteps = 7;
  static const char* NameOf(Step step);

  explicit FailoverTimeline(Instant listening_since) : listening_since_(listening_since) {}

  void Record(Step step, Instant now);
  // `reconciled` of the `all` machines with recorded tasks have sent a heartbeat or been removed.
  void OnReconciled(std::size_t reconciled, std::size_t all, Instant now);
  // Clears all steps from kElected on, when the leadership is lost or won again.
  void Restart();
  // Time from when the controller began to listen; nullopt if the step was not reached.
  std::optional<Seconds> ElapsedUntil(Step step) const;
  bool settled() const { return ElapsedUntil(Step::kSettled).has_value(); }

 private:
  Instant listening_since_;
  std::array<std::optional<Instant>, kSteps> at_{};
};

}  // namespace magpie
