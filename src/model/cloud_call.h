// Calls to the cloud provider that the leader decides on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/ids.h"

namespace magpie {

// What the cloud counts its capacity by.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

// Machines to be provided. A request repeated under the same name brings the same machines.
struct ScaleOutRequest {
  std::string name;
  MachineKind kind;
  std::uint32_t count = 1;
};

// One call to the cloud.
struct CloudCall {
  enum class Kind { kList, kProvision, kRelease } kind = Kind::kList;
  ScaleOutRequest scale_out;       // of kProvision
  std::vector<MachineId> release;  // of kRelease
};

}  // namespace magpie
