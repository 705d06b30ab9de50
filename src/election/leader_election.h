// Leader election by a leased key and an epoch in the key-value store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kv/key_value_store.h"
#include "records/records.h"

namespace magpie {

// One controller's participation in the election. The controller holds a lease of the store, and
// its member key and, if it leads, the leader key are attached to that lease. The holder of the
// leader key writes the epoch; the fencing token is made from the revision of the epoch.
//
// Not thread safe. Each call does a bounded amount of I/O.
class LeaderElection {
 public:
  // `nonce` distinguishes this process from earlier ones of the same controller; `lease` is how
  // long the store keeps the keys of a controller that does not renew its lease.
  LeaderElection(KeyValueStore& store, std::string label, std::string nonce, Seconds lease);

  struct View {
    bool store_reachable = false;                   // result of the latest step
    std::optional<records::Leadership> leadership;  // set if this controller leads
    std::string leader;                             // the leader's label; empty: no leader
    Revision epoch;                                 // the latest epoch that was read
  };
  // Renews the lease and reads the control keys; campaigns if there is no leader and `may_campaign`
  // is set. To be called about once a second and whenever the control keys change.
  const View& Step(bool may_campaign = true);
  // Deletes the leader key, so that other controllers do not wait for the lease to expire.
  // Returns false if it is unknown whether the deletion was carried out.
  bool Resign();
  const View& view() const { return view_; }

 private:
  enum class RoundResult : std::uint8_t { kFinished, kReadAgain };
  RoundResult RunRound(bool may_campaign);
  RoundResult ConfirmLeadership(const std::vector<StoreEntry>& control, const StoreEntry& leader);
  RoundResult WriteEpoch(const StoreEntry& leader, const StoreEntry* epoch);
  RoundResult Campaign(const StoreEntry* leader);
  bool HoldsLeaderKey(const StoreEntry* leader) const;
  bool HasWonEpoch(const StoreEntry* epoch, const StoreEntry& leader) const;
  bool EnsureLease();
  void EnsureMemberKey(const std::vector<StoreEntry>& control);

  KeyValueStore& store_;
  std::string label_;
  std::string nonce_;
  Seconds lease_duration_;
  std::optional<LeaseId> lease_;
  std::optional<LeaseId> published_lease_;  // the lease of the member key's latest write
  View view_;
};

}  // namespace magpie
