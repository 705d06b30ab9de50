#include "rate_limit/backoff.h"

namespace magpie {

std::minstd_rand& ThreadRandom() {
  static thread_local std::minstd_rand random(std::random_device{}());
  return random;
}

}  // namespace magpie
