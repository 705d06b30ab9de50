// Hash functions of ids, for unordered containers.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstddef>

#include "model/ids.h"

namespace magpie {

// Hashes machine ids. The values may differ between versions of xxHash.
struct IdHash {
  std::size_t operator()(const MachineId& id) const {
    return XXH3_64bits(id.value.data(), id.value.size());
  }
};

}  // namespace magpie
