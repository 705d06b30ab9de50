// Assigns numbers to kinds of machines.
//
// Invariant: the number of a kind never changes, so it can be stored with a machine, a plan or a
// job. There are few kinds: types times zones times two (spot or on-demand).
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "model/cloud_call.h"
#include "model/job.h"
#include "model/machine.h"
#include "provisioning/autoscaler.h"

namespace magpie {

// A kind of machine and its type, which is null if the cloud no longer offers it.
struct KindInfo {
  MachineKind kind;
  const MachineType* type = nullptr;
};

// Not thread-safe: it belongs to one scheduler.
class MachineKinds {
 public:
  // `autoscaler` must outlive this object.
  explicit MachineKinds(const Autoscaler& autoscaler) : autoscaler_(autoscaler) {}

  // Returns the number of a kind, and assigns one if the kind is new.
  std::size_t NumberOf(const MachineKind& kind);
  // Looks up the type of each kind again; called when the offered types have changed.
  void RefreshTypes();
  // Indexed by the kind's number.
  const std::vector<KindInfo>& all() const { return kinds_; }

 private:
  const Autoscaler& autoscaler_;
  std::vector<KindInfo> kinds_;
  std::map<MachineKind, std::size_t> numbers_;
};

// Whether the job accepts machines of the kind and one of its tasks fits on an empty one.
bool CanRunOnKind(const JobSpec& spec, const KindInfo& kind);

}  // namespace magpie
