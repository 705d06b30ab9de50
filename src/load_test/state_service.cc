#include "load_test/state_service.h"

#include <algorithm>
#include <utility>

namespace magpie::load_test {
namespace {

constexpr Seconds kBurstDuration{1};
constexpr std::size_t kMaxKeyLength = 200;
constexpr std::size_t kMaxEntries = 1000;
constexpr std::size_t kMaxRangeBytes = 512UL * 1024;
constexpr std::size_t kMaxTransactionBytes = 64UL * 1024;
constexpr std::size_t kMaxConditionsPerOperation = 4;
constexpr std::size_t kOperationOverheadBytes = 40;  // added to the size of key and value
constexpr Seconds kMinLeaseDuration{0.1};
constexpr Seconds kMaxLeaseDuration{600};

bool IsValidKey(const std::string& key) {
  return !key.empty() && key.size() <= kMaxKeyLength && key.find(' ') == std::string::npos;
}

}  // namespace

StateService::StateService(Options options)
    : options_(options),
      requests_(options.requests_per_second, kBurstDuration),
      writes_(options.writes_per_second, kBurstDuration) {}

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
    bytes += it->first.size() + it->second.value.dump().size() + kOperationOverheadBytes;
    const bool full = range.entries.size() == maximum || bytes > kMaxRangeBytes;
    if (full && !range.entries.empty()) {
      range.more = true;
      break;
    }
    range.entries.push_back({it->first, it->second.value, it->second.revision, it->second.lease});
  }
  return range;
}

// Returns the reason why a transaction is invalid, or null if it is valid. Does not compare the
// revisions of its conditions.
const char* StateService::FindError(const Transaction& transaction) const {
  if (transaction.changes.size() > options_.max_operations) return "too many operations";
  if (transaction.conditions.size() > kMaxConditionsPerOperation * options_.max_operations)
    return "too many conditions";
  std::size_t bytes = 0;
  for (const Condition& condition : transaction.conditions) {
    if (!IsValidKey(condition.key)) return "bad key";
    bytes += condition.key.size() + kOperationOverheadBytes;
  }
  for (const Change& change : transaction.changes) {
    if (!IsValidKey(change.key)) return "bad key";
    bytes += change.key.size() + kOperationOverheadBytes;
    if (!change.value) continue;
    const std::size_t size = change.value->dump().size();
    constexpr double kBytesPerKb = 1024;
    if (static_cast<double>(size) > kBytesPerKb * options_.value_kb) return "value too large";
    bytes += size;
    if (change.lease && !leases_.contains(*change.lease)) return "no such lease";
  }
  return bytes > kMaxTransactionBytes ? "transaction too large" : nullptr;
}

StateCommit StateService::Commit(const Transaction& transaction, Instant now) {
  Expire(now);
  // Invalid transactions and those whose conditions fail count against the write rate too.
  if (!writes_.TryAcquire(static_cast<double>(transaction.changes.size()), now))
    return {StateStatus::kRateLimited, tick_, {}, "rate"};
  if (const char* error = FindError(transaction)) return {StateStatus::kInvalid, tick_, {}, error};
  StateCommit result;
  for (const Condition& condition : transaction.conditions) {
    const auto it = keys_.find(condition.key);
    const Revision current_revision = it == keys_.end() ? Revision{} : it->second.revision;
    if (current_revision != condition.revision) result.failed.push_back(condition.key);
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
  AppendToLog({change.key, change.value, tick_});
}

void StateService::AppendToLog(WatchEvent event) {
  log_.push_back(std::move(event));
  while (log_.size() > options_.max_log_entries) {
    compacted_revision_ = log_.front().revision;
    log_.pop_front();
  }
}

LeaseId StateService::Grant(Seconds duration, Instant now) {
  Expire(now);
  if (duration < kMinLeaseDuration || duration > kMaxLeaseDuration) return {};
  const LeaseId lease{++last_lease_};
  leases_[lease] = {duration, now + duration};
  return lease;
}

StateStatus StateService::KeepAlive(LeaseId lease, Instant now) {
  Expire(now);
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return StateStatus::kNotFound;
  it->second.expires = now + it->second.duration;
  return StateStatus::kOk;
}

StateStatus StateService::End(LeaseId lease, Instant now) {
  Expire(now);
  if (leases_.erase(lease) == 0) return StateStatus::kNotFound;
  DeleteKeysOf(lease);
  return StateStatus::kOk;
}

StateLog StateService::Changes(const std::string& prefix, Revision after, Instant now) {
  Expire(now);
  StateLog log;
  log.tick = tick_;
  if (after < compacted_revision_) {
    log.status = StateStatus::kCompacted;
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
  std::vector<LeaseId> expired;
  for (const auto& [id, lease] : leases_)
    if (lease.expires < now) expired.push_back(id);
  for (const LeaseId id : expired) {
    leases_.erase(id);
    DeleteKeysOf(id);
  }
}

void StateService::EndOutage(Instant now) {
  for (auto& [id, lease] : leases_) lease.expires = now + lease.duration;
}

void StateService::DeleteKeysOf(LeaseId lease) {
  std::vector<std::string> attached;
  for (const auto& [key, stored] : keys_)
    if (stored.lease == lease) attached.push_back(key);
  if (attached.empty()) return;
  ++tick_.value;
  for (const std::string& key : attached) Apply({key, std::nullopt, std::nullopt});
}

}  // namespace magpie::load_test
