// Delays between the attempts of one call.
#pragma once

#include <algorithm>
#include <random>

#include "model/time.h"

namespace magpie {

// The calling thread's random number generator for backoff jitter, seeded once.
std::minstd_rand& ThreadRandom();

// Exponential backoff with decorrelated jitter: delays grow and differ between callers, so that
// callers refused together do not retry together. Not thread-safe.
class Backoff {
 public:
  Backoff(Seconds initial, Seconds maximum) : initial_(initial), max_(maximum), last_(initial) {}

  // The next delay, at most `maximum`.
  template <typename Random>
  Seconds Next(Random& random) {
    std::uniform_real_distribution<double> jitter(initial_.value,
                                                  std::max(initial_.value, 3 * last_.value));
    last_ = std::min(max_, Seconds{jitter(random)});
    return last_;
  }
  // To be called after a successful attempt.
  void Reset() { last_ = initial_; }

 private:
  Seconds initial_;
  Seconds max_;
  Seconds last_;
};

}  // namespace magpie
