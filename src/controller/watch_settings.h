// Parameters for reading and watching the key-value store.
#pragma once

#include <cstdint>

#include "model/time.h"

namespace magpie {

// A watch without changes returns after this time.
inline constexpr Seconds kWatchTimeout{15};
// The maximum number of entries in one range read.
inline constexpr std::uint32_t kRangePageSize = 500;

}  // namespace magpie
