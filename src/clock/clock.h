// The process's clocks. The scheduling packages read no clock; callers pass them the time.
#pragma once

#include <chrono>

#include "model/time.h"

namespace magpie {

// Monotonic; comparable only within this process.
inline Instant SteadyNow() {
  return {
      std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count()};
}

// The time of day, which may be adjusted while the process runs.
inline WallTime WallNow() {
  return {
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count()};
}

}  // namespace magpie
