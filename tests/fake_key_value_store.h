// The state service in memory, with the ways in which it can fail.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <set>

#include "kv/key_value_store.h"

namespace magpie::testing {

class FakeStore : public KeyValueStore {
 public:
  enum class Fault {
    kNone,
    kRefuse,        // 503: not carried out
    kLoseResponse,  // carried out, but the answer is lost
    kCommitLate,    // held back on its way; Deliver() carries it out
  };
  // The fault of the next commit; those after it are healthy again.
  Fault next_commit = Fault::kNone;
  // The process that makes the commit after so many more ends at it (it throws), while
  // the commit itself fares as the fault says.
  struct Crashed {};
  int commits_until_crash = -1;
  Fault crash_fault = Fault::kNone;
  bool outage = false;
  int commits = 0;
  int watches = 0;
  Revision compacted_before;  // changes before this one are not told any more

  // What happens just before the next look at a key.
  std::function<void()> before_get;

  GetResult Get(const std::string& key) override {
    if (before_get) std::exchange(before_get, nullptr)();
    if (outage) return {StoreStatus::kRefused, std::nullopt};
    auto it = keys_.find(key);
    if (it == keys_.end()) return {StoreStatus::kOk, std::nullopt};
    return {StoreStatus::kOk, StoreEntry{key, it->second.value, it->second.revision}};
  }

  RangeResult Range(const std::string& prefix, const std::string& after,
                    std::uint32_t page) override {
    RangeResult r;
    if (outage) {
      r.status = StoreStatus::kRefused;
      return r;
    }
    r.status = StoreStatus::kOk;
    r.revision = tick_;
    for (const auto& [key, held] : keys_) {
      if (!key.starts_with(prefix) || key <= after) continue;
      if (r.entries.size() == page) {
        r.more = true;
        break;
      }
      r.entries.push_back({key, held.value, held.revision});
    }
    return r;
  }

  TransactionResult Commit(const Transaction& txn) override {
    if (outage) return {StoreStatus::kRefused, {}, {}, false};
    Fault fault = std::exchange(next_commit, Fault::kNone);
    const bool ends = commits_until_crash >= 0 && commits_until_crash-- == 0;
    if (ends) {
      if (crash_fault == Fault::kCommitLate) late_.push_back(txn);
      if (crash_fault == Fault::kLoseResponse) Carry(txn);
      throw Crashed{};
    }
    if (fault == Fault::kRefuse) return {StoreStatus::kRefused, {}, {}, false};
    if (fault == Fault::kCommitLate) {
      late_.push_back(txn);
      return {};
    }
    TransactionResult result = Carry(txn);
    return fault == Fault::kLoseResponse ? TransactionResult{} : result;
  }

  bool has_delayed_transactions() const { return !late_.empty(); }
  // Carries out what was held back; false when its conditions hold no more.
  bool DeliverDelayed() {
    const Transaction txn = late_.front();
    late_.pop_front();
    return Carry(txn).status == StoreStatus::kOk;
  }

  LeaseResult Grant(Seconds) override {
    if (outage) return {StoreStatus::kRefused, {}};
    leases_.insert(++last_lease_);
    return {StoreStatus::kOk, {last_lease_}};
  }

  StoreStatus KeepAlive(LeaseId lease) override {
    if (outage) return StoreStatus::kRefused;
    return leases_.contains(lease.value) ? StoreStatus::kOk : StoreStatus::kInvalid;
  }

  WatchResult Watch(const std::string& prefix, Revision after, Seconds) override {
    ++watches;
    if (outage) return {StoreStatus::kRefused, false, {}, {}};
    WatchResult result{StoreStatus::kOk, after < compacted_before, {}, tick_};
    const auto first =
        std::upper_bound(log_.begin(), log_.end(), after,
                         [](Revision s, const WatchEvent& e) { return s < e.revision; });
    std::copy_if(first, log_.end(), std::back_inserter(result.events),
                 [&](const WatchEvent& e) { return e.key.starts_with(prefix); });
    return result;
  }

  // Ends all leases, as when their holders died.
  void ExpireLeases() {
    leases_.clear();
    ++tick_.value;
    std::erase_if(keys_, [](const auto& e) { return e.second.lease.has_value(); });
  }

  // Ends one, as when its holder was not served for long enough.
  void EndLease(LeaseId lease) {
    if (leases_.erase(lease.value) == 0) return;
    const auto attached = [&](const auto& e) { return e.second.lease == lease; };
    if (std::none_of(keys_.begin(), keys_.end(), attached)) return;
    ++tick_.value;
    for (const auto& [key, held] : keys_)
      if (held.lease == lease) log_.push_back({key, std::nullopt, tick_});
    std::erase_if(keys_, attached);
  }

  Revision current_revision() const { return tick_; }

 private:
  struct HeldTask {
    Json value;
    Revision revision;
    std::optional<LeaseId> lease;
  };

  TransactionResult Carry(const Transaction& txn) {
    ++commits;
    TransactionResult result{StoreStatus::kOk, tick_, {}};
    for (const Change& c : txn.changes)
      if (c.lease && !leases_.contains(c.lease->value)) return {StoreStatus::kInvalid, {}, {}};
    for (const Condition& c : txn.conditions) {
      auto it = keys_.find(c.key);
      if ((it == keys_.end() ? Revision{} : it->second.revision) != c.revision)
        result.failed.push_back(c.key);
    }
    if (!result.failed.empty()) {
      result.status = StoreStatus::kConflict;
      return result;
    }
    if (!txn.changes.empty()) ++tick_.value;
    for (const Change& c : txn.changes) {
      if (c.value)
        keys_[c.key] = {*c.value, tick_, c.lease};
      else
        keys_.erase(c.key);
      log_.push_back({c.key, c.value, tick_});
    }
    result.revision = tick_;
    return result;
  }

  std::map<std::string, HeldTask> keys_;
  Revision tick_{1};
  std::set<std::uint64_t> leases_;
  std::uint64_t last_lease_ = 0;
  std::deque<Transaction> late_;
  std::vector<WatchEvent> log_;
};

}  // namespace magpie::testing
