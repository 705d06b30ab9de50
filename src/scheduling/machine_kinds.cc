#include "scheduling/machine_kinds.h"

#include "provisioning/machine_fit.h"

namespace magpie {

std::size_t MachineKinds::NumberOf(const MachineKind& kind) {
  const auto [it, added] = numbers_.try_emplace(kind, kinds_.size());
  if (added) kinds_.push_back({kind, autoscaler_.Find(kind.type)});
  return it->second;
}

void MachineKinds::RefreshTypes() {
  for (KindInfo& kind : kinds_) kind.type = autoscaler_.Find(kind.kind.type);
}

bool CanRunOnKind(const JobSpec& spec, const KindInfo& kind) {
  if (kind.type == nullptr || (kind.kind.spot && !spec.spot)) return false;
  if (!AllowsType(spec, kind.kind.type)) return false;
  return (!spec.zone || *spec.zone == kind.kind.zone) && spec.per_task.Fits(kind.type->capacity);
}

}  // namespace magpie
