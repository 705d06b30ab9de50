// Which workers were sent on to the leader a moment ago.
#pragma once

#include <map>

#include "core/types.h"

namespace magpie {

// A worker that comes back soon after it was sent to the leader can't reach it:
// its report is passed on instead. Without this, workers that never had the
// present leader's token would be sent to and fro until their lease ends.
class Redirects {
 public:
  explicit Redirects(Seconds lease) : lease_(lease) {}

  // Whether it is back from the leader; if not, it is noted as sent there now.
  bool CameBack(const MachineId& machine, Instant now) {
    constexpr Seconds kSoonest{3};  // sooner, it may be a report sent twice
    constexpr std::size_t kMost = 4096;
    if (sent_.size() >= kMost) sent_.clear();
    const auto [it, fresh] = sent_.try_emplace(machine, now);
    if (fresh) return false;
    const Seconds since = now - it->second;
    if (kSoonest < since && since < lease_) return true;
    it->second = now;
    return false;
  }
  // Another controller leads.
  void Forget() { sent_.clear(); }

 private:
  Seconds lease_;
  std::map<MachineId, Instant> sent_;
};

}  // namespace magpie
