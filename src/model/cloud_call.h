// Calls to the cloud provider that the leader decides on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/ids.h"

namespace magpie {

// A combination of machine type, zone and spot. The cloud has a separate capacity for each.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

// A request to provision machines. Repeating it with the same name returns the same machines.
struct ScaleOutRequest {
  std::string name;
  MachineKind kind;
  std::uint32_t count = 1;
};

// One call to the cloud.
struct CloudCall {
  enum class Kind { kList, kProvision, kRelease } kind = Kind::kList;
  ScaleOutRequest scale_out;       // used by kProvision
  std::vector<MachineId> release;  // used by kRelease
};

}  // namespace magpie
