// Pauses and retries for the loops that call the key-value store and the cloud.
#pragma once

#include <cstdint>
#include <stop_token>

#include "model/time.h"
#include "rate_limit/backoff.h"

namespace magpie {

// Blocks for the duration or until `stop` is requested. Returns at once if the duration is not
// positive.
void SleepFor(Seconds duration, const std::stop_token& stop);

// Blocks for a random duration of 0.7 to 1.3 times `mean`, so that callers do not act in lockstep.
void SleepWithJitter(Seconds mean, const std::stop_token& stop);
void SleepWithJitter(Seconds mean);

// The delays between failed calls of a loop. They start short, since most failures are brief, and
// grow to limit the rate of retries.
inline Backoff LoopBackoff() { return {Seconds{0.15}, Seconds{1.5}}; }

// The result of one iteration of a loop; a failed one is retried after a delay.
enum class StepResult : std::uint8_t { kSucceeded, kFailed };

// Calls `step` repeatedly while `keep_going()` is true and `stop` is not requested. Sleeps for the
// next delay of `backoff` after each failed step; a successful step resets `backoff`.
template <typename KeepGoing, typename Step>
void RepeatWhile(const std::stop_token& stop, Backoff& backoff, KeepGoing keep_going, Step step) {
  while (!stop.stop_requested() && keep_going()) {
    if (step() == StepResult::kSucceeded)
      backoff.Reset();
    else
      SleepFor(backoff.Next(ThreadRandom()), stop);
  }
}

// Calls `step` repeatedly until `stop` is requested.
template <typename Step>
void RepeatUntilStopped(const std::stop_token& stop, Backoff backoff, Step step) {
  RepeatWhile(stop, backoff, [] { return true; }, step);
}

}  // namespace magpie
