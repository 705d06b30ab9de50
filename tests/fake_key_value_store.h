// An in-memory key-value store with fault injection.
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
    kLoseResponse,  // carried out, but the response is lost
    kCommitLate,    // delayed and unanswered; DeliverDelayed() carries it out
  };
  // The fault of the next commit; later commits succeed.
  Fault next_commit = Fault::kNone;
  // The number of commits before the one in which the calling process crashes: that call throws
  // Crashed, and `crash_fault` is the fault of the commit itself. Negative: no crash.
  struct Crashed {};
  int commits_until_crash = -1;
  Fault crash_fault = Fault::kNone;
  bool outage = false;
  int commits = 0;
  int watches = 0;
  Revision compacted_before;  // watches from before this revision are too old

  // Called once, just before the next Get().
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
    for (const auto& [key, stored] : keys_) {
      if (!key.starts_with(prefix) || key <= after) continue;
      if (r.entries.size() == page) {
        r.more = true;
        break;
      }
      r.entries.push_back({key, stored.value, stored.revision});
    }
    return r;
  }

  TransactionResult Commit(const Transaction& transaction) override {
    if (outage) return {StoreStatus::kRefused, {}, {}, false};
    Fault fault = std::exchange(next_commit, Fault::kNone);
    const bool crashes = commits_until_crash >= 0 && commits_until_crash-- == 0;
    if (crashes) {
      if (crash_fault == Fault::kCommitLate) delayed_.push_back(transaction);
      if (crash_fault == Fault::kLoseResponse) Execute(transaction);
      throw Crashed{};
    }
    if (fault == Fault::kRefuse) return {StoreStatus::kRefused, {}, {}, false};
    if (fault == Fault::kCommitLate) {
      delayed_.push_back(transaction);
      return {};
    }
    TransactionResult result = Execute(transaction);
    return fault == Fault::kLoseResponse ? TransactionResult{} : result;
  }

  bool has_delayed_transactions() const { return !delayed_.empty(); }
  // Carries out the first delayed transaction. Returns false if it is not committed.
  bool DeliverDelayed() {
    const Transaction transaction = delayed_.front();
    delayed_.pop_front();
    return Execute(transaction).status == StoreStatus::kOk;
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

  // Ends all leases, as if their holders had failed.
  void ExpireLeases() {
    leases_.clear();
    ++tick_.value;
    std::erase_if(keys_, [](const auto& e) { return e.second.lease.has_value(); });
  }

  // Ends one lease, as if its holder had not renewed it in time.
  void EndLease(LeaseId lease) {
    if (leases_.erase(lease.value) == 0) return;
    const auto attached = [&](const auto& e) { return e.second.lease == lease; };
    if (std::none_of(keys_.begin(), keys_.end(), attached)) return;
    ++tick_.value;
    for (const auto& [key, stored] : keys_)
      if (stored.lease == lease) log_.push_back({key, std::nullopt, tick_});
    std::erase_if(keys_, attached);
  }

  Revision current_revision() const { return tick_; }

 private:
  struct StoredValue {
    Json value;
    Revision revision;
    std::optional<LeaseId> lease;
  };

  TransactionResult Execute(const Transaction& transaction) {
    ++commits;
    TransactionResult result{StoreStatus::kOk, tick_, {}};
    for (const Change& c : transaction.changes)
      if (c.lease && !leases_.contains(c.lease->value)) return {StoreStatus::kInvalid, {}, {}};
    for (const Condition& c : transaction.conditions) {
      auto it = keys_.find(c.key);
      if ((it == keys_.end() ? Revision{} : it->second.revision) != c.revision)
        result.failed.push_back(c.key);
    }
    if (!result.failed.empty()) {
      result.status = StoreStatus::kConflict;
      return result;
    }
    if (!transaction.changes.empty()) ++tick_.value;
    for (const Change& c : transaction.changes) {
      if (c.value)
        keys_[c.key] = {*c.value, tick_, c.lease};
      else
        keys_.erase(c.key);
      log_.push_back({c.key, c.value, tick_});
    }
    result.revision = tick_;
    return result;
  }

  std::map<std::string, StoredValue> keys_;
  Revision tick_{1};
  std::set<std::uint64_t> leases_;
  std::uint64_t last_lease_ = 0;
  std::deque<Transaction> delayed_;
  std::vector<WatchEvent> log_;
};

}  // namespace magpie::testing
