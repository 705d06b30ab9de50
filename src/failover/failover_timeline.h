// How far a controller that starts or takes over has come, and when: what operators ask first after
// all controllers went down.
//
// Invariant: a step is recorded once, when it is first reached. A new term of leadership starts
// over from kElected. Pure: the caller passes the time. Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "model/time.h"

namespace magpie {

// The steps of one takeover.
class FailoverTimeline {
 public:
  enum class Step : std::uint8_t {
    kStoreReached,    // the key-value store has answered
    kElected,         // with an epoch of its own
    kRecordsLoaded,   // all records
    kFirstCommand,    // the first command to a worker was given
    kHalfReconciled,  // of the machines that hold tasks by the records are reconciled
    kMostReconciled,  // 99% of them
    kSettled,         // the same, and no command and no write waits
  };
  static constexpr std::size_t kSteps = 7;
  static const char* NameOf(Step step);

  explicit FailoverTimeline(Instant listening) : listening_(listening) {}

  void Record(Step step, Instant now);
  // `reconciled` of `all` machines that held tasks by the records were heard of or removed since.
  void OnReconciled(std::size_t reconciled, std::size_t all, Instant now);
  // Forgets all steps from kElected on: another term begins, or none.
  void Restart();
  // Time from when the controller listened; none if the step was not reached.
  std::optional<Seconds> ElapsedUntil(Step step) const;
  bool settled() const { return ElapsedUntil(Step::kSettled).has_value(); }

 private:
  Instant listening_;
  std::array<std::optional<Instant>, kSteps> at_{};
};

}  // namespace magpie
