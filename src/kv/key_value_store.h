// Interface of the consistent key-value store, which the protocol calls the state service
// (PROTOCOL, "Controller nodes -> state service").
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/time.h"

namespace magpie {

using Json = nlohmann::json;

// A lease of the key-value store, as opposed to a worker's lease.
struct LeaseId {
  std::uint64_t value = 0;
  auto operator<=>(const LeaseId&) const = default;
};

// The outcome of a call.
enum class StoreStatus {
  kOk,
  kConflict,  // a condition did not hold; no change was made
  kRefused,   // not carried out, now or later (429, 503, no connection)
  kInvalid,   // the request is malformed, or its lease has expired
  kUnknown,   // unanswered: may have been carried out, or may be carried out later
};

// An existing key with its value.
struct StoreEntry {
  std::string key;
  Json value;
  Revision revision;  // at which the key last changed
};

// Holds if the key was last changed at `revision`; for revision 0, if the key is absent.
struct Condition {
  std::string key;
  Revision revision;
};

// Sets a key or deletes it.
struct Change {
  std::string key;
  std::optional<Json> value;     // nullopt: the key is deleted
  std::optional<LeaseId> lease;  // the key is deleted when this lease ends
};

// Atomic: if all conditions hold, all changes are made at one revision; otherwise none.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

// The result of reading one key.
struct GetResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::optional<StoreEntry> entry;  // nullopt with kOk: the key is absent
};

// One page of the keys with a prefix, in key order.
struct RangeResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreEntry> entries;
  bool more = false;  // further keys follow the last entry
  Revision revision;  // of the store at the time of the read
};

// The result of a transaction.
struct TransactionResult {
  StoreStatus status = StoreStatus::kUnknown;
  Revision revision;                // of the changes
  std::vector<std::string> failed;  // with kConflict: the keys of the conditions that did not hold
  bool rate_limited = false;        // refused because of the rate limit (429), not an outage
};

// The result of a lease request.
struct LeaseResult {
  StoreStatus status = StoreStatus::kUnknown;
  LeaseId lease;
};

// A change of a key.
struct WatchEvent {
  std::string key;
  std::optional<Json> value;  // nullopt: the key was deleted
  Revision revision;
};

// The changes returned by a watch.
struct WatchResult {
  StoreStatus status = StoreStatus::kUnknown;
  bool too_old = false;  // the store no longer has the changes; the keys must be read again
  std::vector<WatchEvent> events;
  Revision revision;  // up to which the events are complete
};

// Calls block until they are answered or time out. They report failures of the store by their
// status and throw no exception for them. Implementations are thread-safe.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;
  virtual GetResult Get(const std::string& key) = 0;
  // Returns at most `limit` keys with the prefix, after the key `after` (empty: from the first).
  virtual RangeResult Range(const std::string& prefix, const std::string& after,
                            std::uint32_t limit) = 0;
  virtual TransactionResult Commit(const Transaction& transaction) = 0;
  // Grants a lease that ends unless it is kept alive within `time_to_live`.
  virtual LeaseResult Grant(Seconds time_to_live) = 0;
  // kInvalid: the lease has ended.
  virtual StoreStatus KeepAlive(LeaseId lease) = 0;
  // Waits for up to `block` for changes after the revision `after` of keys with the prefix.
  virtual WatchResult Watch(const std::string& prefix, Revision after, Seconds block) = 0;
};

}  // namespace magpie
