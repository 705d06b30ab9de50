// What a controller that does not lead does with workers' reports.
#pragma once

#include <map>
#include <optional>

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

// Whether the leader can be reached from here, as relayed reports show it, and
// when a worker's lease is kept without it: its report is answered with the
// token that the worker has, and with no command. Nothing is bound anew by
// anyone before the machine is certainly fenced, so a kept lease is never
// unsafe; without it, all work in a zone that is cut off would be killed.
class LeaderReach {
 public:
  explicit LeaderReach(Seconds leader_lease) : patience_(1.5 * leader_lease) {}

  bool MayTry(Instant now) const { return now >= after_; }
  void Failed(Instant now) {
    constexpr Seconds kPause{2};
    after_ = now + kPause;
    if (!failing_) failing_ = now;
  }
  void Answered() { failing_.reset(); }
  // The leader answers, but may renew no lease: it isn't asked with each report.
  void Declined(Instant now) {
    constexpr Seconds kPause{2};
    failing_.reset();
    after_ = now + kPause;
  }
  // Another controller leads.
  void Forget() {
    failing_.reset();
    after_ = {};
  }
  // At once when we are cut off from the state service too; after a while when
  // the leader is known to live, cut off from both of us. Not for a worker that
  // has seen a later leader than we have.
  bool KeepsLease(Token workers, Stamp epoch, bool cut_off, Instant now) const {
    return EpochOf(workers) <= epoch && failing_ && (cut_off || now - *failing_ > patience_);
  }

 private:
  Seconds patience_;
  std::optional<Instant> failing_;  // since when
  Instant after_;
};

}  // namespace magpie
