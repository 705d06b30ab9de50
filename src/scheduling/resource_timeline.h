// Predicts the free resources of one machine over time, for one planning round.
#pragma once

#include <optional>
#include <vector>

#include "model/resources.h"
#include "model/time.h"

namespace magpie {

// The resources of a machine that are free now, and the predicted releases of further resources.
//
// After a reservation for a later start, nothing else can start on the machine before that start,
// so tasks planned later cannot delay the waiting task.
class ResourceTimeline {
 public:
  // Nothing can start on the machine before `available_from` (it may still be booting).
  ResourceTimeline(Resources free, Instant available_from)
      : free_(free), available_from_(available_from) {}

  // Adds a task's expected end at `at`, which frees `released`.
  void AddRelease(Instant at, const Resources& released);
  // When a task with this demand could start; nullopt if the known releases do not free enough.
  std::optional<Instant> EarliestFit(const Resources& demand) const;
  // Reserves `demand` from `start`, the result of EarliestFit(), until `end` (nullopt: forever).
  void Reserve(Instant start, const Resources& demand, std::optional<Instant> end);
  // Resources that are neither in use nor reserved.
  const Resources& free() const { return free_; }

 private:
  struct Release {
    Instant at;
    Resources released;
  };

  Resources free_;
  Instant available_from_;
  std::vector<Release> releases_;  // ordered by time
};

}  // namespace magpie
