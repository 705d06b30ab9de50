#include "election/leader_election.h"

#include <utility>

#include "model/safety_checks.h"

namespace magpie {
namespace {

constexpr std::uint32_t kRangePageSize = 100;
// One round reads the control keys. Winning the leader key needs another round, and so does writing
// its epoch.
constexpr int kMaxRounds = 3;

const StoreEntry* Find(const std::vector<StoreEntry>& entries, const char* key) {
  for (const StoreEntry& entry : entries)
    if (entry.key == key) return &entry;
  return nullptr;
}

// A string field of the entry's value; empty if it is missing.
std::string Field(const StoreEntry* entry, const char* field) {
  if (entry == nullptr || !entry->value.is_object()) return {};
  const auto it = entry->value.find(field);
  return it != entry->value.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

// The revision for a condition that fails if the entry has changed or, if absent, has been created.
Revision ExpectedRevision(const StoreEntry* entry) {
  return entry == nullptr ? Revision{0} : entry->revision;
}

}  // namespace

LeaderElection::LeaderElection(KeyValueStore& store, std::string label, std::string nonce,
                               Seconds lease)
    : store_(store), label_(std::move(label)), nonce_(std::move(nonce)), lease_duration_(lease) {}

bool LeaderElection::EnsureLease() {
  if (lease_) {
    const StoreStatus status = store_.KeepAlive(*lease_);
    if (status == StoreStatus::kOk) return true;
    if (status != StoreStatus::kInvalid) return false;
    lease_.reset();
  }
  const LeaseResult granted = store_.Grant(lease_duration_);
  if (granted.status != StoreStatus::kOk) return false;
  lease_ = granted.lease;
  return true;
}

// The member key shows that this process is alive. The write replaces only the revision that was
// read, so that a delayed write of an earlier process, or a delayed copy of this write, cannot
// restore a key attached to another lease.
void LeaderElection::EnsureMemberKey(const std::vector<StoreEntry>& control) {
  const std::string key = records::MemberKey(label_);
  const StoreEntry* member = Find(control, key.c_str());
  if (published_lease_ == lease_ && Field(member, "nonce") == nonce_) return;
  const Transaction transaction{{{key, ExpectedRevision(member)}},
                                {{key, Json{{"nonce", nonce_}}, lease_}}};
  if (store_.Commit(transaction).status == StoreStatus::kOk) published_lease_ = lease_;
}

// The deletion is conditional on the leader key that this process holds, so that a delayed copy of
// the transaction cannot depose a later leader.
bool LeaderElection::Resign() {
  if (!view_.leadership) return true;
  const TransactionResult result =
      store_.Commit({{{records::kLeaderKey, view_.leadership->leader}},
                     {{records::kLeaderKey, std::nullopt, std::nullopt}}});
  return result.status == StoreStatus::kOk || result.status == StoreStatus::kConflict;
}

// While the store is unreachable, the rest of the view does not change: a leader keeps leading, so
// that it keeps renewing its workers' leases.
const LeaderElection::View& LeaderElection::Step(bool may_campaign) {
  view_.store_reachable = EnsureLease();
  if (!view_.store_reachable) return view_;
  for (int round = 0; round < kMaxRounds; ++round)
    if (RunRound(may_campaign) == RoundResult::kFinished) break;
  return view_;
}

LeaderElection::RoundResult LeaderElection::RunRound(bool may_campaign) {
  const RangeResult range = store_.Range(records::kControlPrefix, "", kRangePageSize);
  if (range.status != StoreStatus::kOk) {
    view_.store_reachable = false;
    return RoundResult::kFinished;
  }
  const StoreEntry* leader = Find(range.entries, records::kLeaderKey);
  const StoreEntry* epoch = Find(range.entries, records::kEpochKey);
  view_.leader = Field(leader, "label");
  if (epoch != nullptr) view_.epoch = epoch->revision;
  if (HoldsLeaderKey(leader)) return ConfirmLeadership(range.entries, *leader);
  view_.leadership.reset();
  // A leader key with this label but another nonce belongs to an earlier process of this
  // controller, so this process replaces it.
  if (leader != nullptr && view_.leader != label_) {
    EnsureMemberKey(range.entries);
    return RoundResult::kFinished;
  }
  if (leader == nullptr && !may_campaign) return RoundResult::kFinished;
  return Campaign(leader);
}

bool LeaderElection::HoldsLeaderKey(const StoreEntry* leader) const {
  if (leader == nullptr) return false;
  return Field(leader, "nonce") == nonce_ ||
         (IsDisabled(SafetyCheck::kNonceMatchesProcess) && Field(leader, "label") == label_);
}

// The epoch record contains the revision of the leader key under which it was written, so that a
// leader key that was lost and won again requires a new epoch.
bool LeaderElection::HasWonEpoch(const StoreEntry* epoch, const StoreEntry& leader) const {
  if (epoch == nullptr) return false;
  const bool is_from_this_process =
      Field(epoch, "nonce") == nonce_ || IsDisabled(SafetyCheck::kNonceMatchesProcess);
  return is_from_this_process &&
         (epoch->value.value("key", std::uint64_t{0}) == leader.revision.value ||
          IsDisabled(SafetyCheck::kEpochMatchesKey));
}

LeaderElection::RoundResult LeaderElection::ConfirmLeadership(
    const std::vector<StoreEntry>& control, const StoreEntry& leader) {
  const StoreEntry* epoch = Find(control, records::kEpochKey);
  if (!HasWonEpoch(epoch, leader)) {
    view_.leadership.reset();
    return WriteEpoch(leader, epoch);
  }
  view_.leadership = records::Leadership{leader.revision, epoch->revision};
  EnsureMemberKey(control);
  return RoundResult::kFinished;
}

LeaderElection::RoundResult LeaderElection::WriteEpoch(const StoreEntry& leader,
                                                       const StoreEntry* epoch) {
  const Json value{{"leader", label_}, {"nonce", nonce_}, {"key", leader.revision.value}};
  const Transaction transaction{
      {{records::kLeaderKey, leader.revision}, {records::kEpochKey, ExpectedRevision(epoch)}},
      {{records::kEpochKey, value, std::nullopt}}};
  const bool was_refused = store_.Commit(transaction).status == StoreStatus::kRefused;
  return was_refused ? RoundResult::kFinished : RoundResult::kReadAgain;
}

LeaderElection::RoundResult LeaderElection::Campaign(const StoreEntry* leader) {
  const Transaction transaction{
      {{records::kLeaderKey, ExpectedRevision(leader)}},
      {{records::kLeaderKey, Json{{"label", label_}, {"nonce", nonce_}}, lease_}}};
  const bool was_refused = store_.Commit(transaction).status == StoreStatus::kRefused;
  return was_refused ? RoundResult::kFinished : RoundResult::kReadAgain;
}

}  // namespace magpie
