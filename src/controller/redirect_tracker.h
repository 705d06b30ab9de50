// Tracks the workers that a follower has redirected to the leader.
#pragma once

#include <cstddef>
#include <map>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

// A worker that returns soon after it was redirected can't reach the leader, so its heartbeat must
// be relayed. Otherwise a worker without the current leader's token would be redirected back and
// forth until its lease ends. Not thread safe.
class RedirectTracker {
 public:
  // `lease`: the workers' lease. A worker that returns after a longer time may have reached the
  // leader in between.
  explicit RedirectTracker(Seconds lease) : lease_(lease) {}

  // Whether the worker was redirected and returned without having reached the leader. If not,
  // records that it is redirected now.
  bool ReturnedFromLeader(const MachineId& machine, Instant now) {
    constexpr Seconds kMinAbsence{3};  // an earlier heartbeat may be a duplicate
    constexpr std::size_t kMaxMachines = 4096;
    if (redirected_at_.size() >= kMaxMachines) redirected_at_.clear();
    const auto [it, inserted] = redirected_at_.try_emplace(machine, now);
    if (inserted) return false;
    const Seconds absence = now - it->second;
    if (kMinAbsence < absence && absence < lease_) return true;
    it->second = now;
    return false;
  }
  void OnLeaderChanged() { redirected_at_.clear(); }

 private:
  Seconds lease_;
  std::map<MachineId, Instant> redirected_at_;
};

}  // namespace magpie
