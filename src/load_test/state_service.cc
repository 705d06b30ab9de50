#include "load_test/state_service.h"

#include <algorithm>
#include <utility>

namespace magpie::load_test {
namespace {

constexpr Seconds kBurst{1};
constexpr std::size_t kLongestKey = 200;
constexpr std::size_t kMaxEntries = 1000;
constexpr std::size_t kMaxRangeBytes = 512UL * 1024;
constexpr std::size_t kMaxTransactionBytes = 64UL * 1024;
constexpr std::size_t kConditionsForOperation = 4;
constexpr std::size_t kOverhead = 40;  // added to the key and value of an operation
constexpr Seconds kShortestLife{0.1};
constexpr Seconds kLongestLife{600};

bool IsKey(const std::string& key) {
  return !key.empty() && key.size() <= kLongestKey && key.find(' ') == std::string::npos;
}

}  // namespace

StateService::StateService(Options options)
    : options_(options),
      requests_(options.requests_a_second, kBurst),
      writes_(options.writes_a_second, kBurst) {}

std::optional<StateEntry> StateService::Get(const std::string& key, Instant now) {
  Expire(now);
  const auto it = keys_.find(key);
  if (it == keys_.end()) return std::nullopt;
  return StateEntry{key, it->second.value, it->second.revision, it->second.lease};
}

StateRange StateService::Range(const std::string& prefix, const std::string& after,
                               std::size_t page, Instant now) {
  Expire(now);
  StateRange range;
  range.tick = tick_;
  std::size_t bytes = 0;
  const std::size_t maximum = std::min(page, kMaxEntries);
  auto it = after < prefix ? keys_.lower_bound(prefix) : keys_.upper_bound(after);
  for (; it != keys_.end() && it->first.starts_with(prefix); ++it) {
    bytes += it->first.size() + it->second.value.dump().size() + kOverhead;
    const bool full = range.entries.size() == maximum || bytes > kMaxRangeBytes;
    if (full && !range.entries.empty()) {
      range.more = true;
      break;
    }
    range.entries.push_back({it->first, it->second.value, it->second.revision, it->second.lease});
  }
  return range;
}

// The error of an invalid transaction, before its conditions are checked; null if it is valid.
const char* StateService::Fault(const Transaction& transaction) const {
  if (transaction.changes.size() > options_.most_operations) return "too many operations";
  if (transaction.conditions.size() > kConditionsForOperation * options_.most_operations)
    return "too many conditions";
  std::size_t bytes = 0;
  for (const Condition& condition : transaction.conditions) {
    if (!IsKey(condition.key)) return "bad key";
    bytes += condition.key.size() + kOverhead;
  }
  for (const Change& change : transaction.changes) {
    if (!IsKey(change.key)) return "bad key";
    bytes += change.key.size() + kOverhead;
    if (!change.value) continue;
    const std::size_t size = change.value->dump().size();
    constexpr double kKilo = 1024;
    if (static_cast<double>(size) > kKilo * options_.value_kb) return "value too large";
    bytes += size;
    if (change.lease && !leases_.contains(*change.lease)) return "no such lease";
  }
  return bytes > kMaxTransactionBytes ? "transaction too large" : nullptr;
}

StateCommit StateService::Commit(const Transaction& transaction, Instant now) {
  Expire(now);
  // Transactions whose conditions fail count against the write rate too.
  if (!writes_.Take(static_cast<double>(transaction.changes.size()), now))
    return {StateStatus::kOverRate, tick_, {}, "rate"};
  if (const char* fault = Fault(transaction)) return {StateStatus::kBad, tick_, {}, fault};
  StateCommit result;
  for (const Condition& condition : transaction.conditions) {
    const auto it = keys_.find(condition.key);
    const Revision there = it == keys_.end() ? Revision{} : it->second.revision;
    if (there != condition.revision) result.failed.push_back(condition.key);
  }
  if (result.failed.empty()) {
    if (!transaction.changes.empty()) ++tick_.value;
    for (const Change& change : transaction.changes) Apply(change);
  } else {
    result.status = StateStatus::kConflict;
  }
  result.tick = tick_;
  return result;
}

void StateService::Apply(const Change& change) {
  if (change.value) {
    keys_[change.key] = {*change.value, tick_, change.lease};
  } else if (keys_.erase(change.key) == 0) {
    return;
  }
  Append({change.key, change.value, tick_});
}

void StateService::Append(WatchEvent event) {
  log_.push_back(std::move(event));
  while (log_.size() > options_.kept_changes) {
    forgotten_ = log_.front().revision;
    log_.pop_front();
  }
}

LeaseId StateService::Grant(Seconds life, Instant now) {
  Expire(now);
  if (life < kShortestLife || life > kLongestLife) return {};
  const LeaseId lease{++last_lease_};
  leases_[lease] = {life, now + life};
  return lease;
}

StateStatus StateService::KeepAlive(LeaseId lease, Instant now) {
  Expire(now);
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return StateStatus::kAbsent;
  it->second.ends = now + it->second.life;
  return StateStatus::kOk;
}

StateStatus StateService::End(LeaseId lease, Instant now) {
  Expire(now);
  if (leases_.erase(lease) == 0) return StateStatus::kAbsent;
  DropKeysOf(lease);
  return StateStatus::kOk;
}

StateLog StateService::Changes(const std::string& prefix, Revision after, Instant now) {
  Expire(now);
  StateLog log;
  log.tick = tick_;
  if (after < forgotten_) {
    log.status = StateStatus::kTooOld;
    return log;
  }
  auto it = std::upper_bound(
      log_.begin(), log_.end(), after,
      [](Revision revision, const WatchEvent& e) { return revision < e.revision; });
  for (; it != log_.end(); ++it)
    if (it->key.starts_with(prefix)) log.events.push_back(*it);
  return log;
}

void StateService::Expire(Instant now) {
  std::vector<LeaseId> over;
  for (const auto& [id, lease] : leases_)
    if (lease.ends < now) over.push_back(id);
  for (const LeaseId id : over) {
    leases_.erase(id);
    DropKeysOf(id);
  }
}

void StateService::EndOutage(Instant now) {
  for (auto& [id, lease] : leases_) lease.ends = now + lease.life;
}

void StateService::DropKeysOf(LeaseId lease) {
  std::vector<std::string> attached;
  for (const auto& [key, held] : keys_)
    if (held.lease == lease) attached.push_back(key);
  if (attached.empty()) return;
  ++tick_.value;
  for (const std::string& key : attached) Apply({key, std::nullopt, std::nullopt});
}

}  // namespace magpie::load_test
