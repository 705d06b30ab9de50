// The simulated key-value service without its HTTP server, and the results of its functions.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kv/key_value_store.h"
#include "load_test/rate_limit.h"
#include "model/fencing_token.h"
#include "model/time.h"

namespace magpie::load_test {

// The result of a request to the service, with the HTTP status that represents it.
enum class StateStatus : std::uint8_t {
  kOk,
  kNotFound,     // 404: no such key or lease
  kConflict,     // 409
  kRateLimited,  // 429
  kInvalid,      // 400
  kCompacted,    // 410: the requested revision is no longer in the log
};

// A key with its value, the revision of its last write, and the lease that it is attached to, if
// any.
struct StateEntry {
  std::string key;
  Json value;
  Revision revision;
  std::optional<LeaseId> lease;
};

// One page of entries, ordered by key. `more` is set if further entries follow, and `tick` is the
// latest revision of the service.
struct StateRange {
  std::vector<StateEntry> entries;
  bool more = false;
  Revision tick;
};

// The result of a transaction. `tick` is the latest revision of the service after it, also if it
// was rejected.
struct StateCommit {
  StateStatus status = StateStatus::kOk;
  Revision tick;
  std::vector<std::string> failed;  // keys of failed conditions
  const char* error = "";           // the reason of kInvalid or kRateLimited
};

// Changes read from the change log, oldest first, and the latest revision of the service. `events`
// is empty if the status is kCompacted.
struct StateLog {
  StateStatus status = StateStatus::kOk;
  std::vector<WatchEvent> events;
  Revision tick;
};

// The key-value service of PROTOCOL as a state machine: keys with revisions, transactions, leases,
// the change log that watches read, and the limits. The caller passes the time, which must not
// decrease. Not thread-safe.
class StateService {
 public:
  struct Options {
    double requests_per_second = 150;
    double writes_per_second = 25;
    std::uint32_t max_operations = 16;
    double value_kb = 16;
    std::size_t max_log_entries = 10000;
  };

  explicit StateService(Options options);

  // Counts a request against the rate limit. Returns false if it must be rejected with 429.
  bool Admit(Instant now) { return requests_.TryAcquire(1, now); }

  std::optional<StateEntry> Get(const std::string& key, Instant now);
  // The entries whose keys have the prefix and follow `after`: at most `page` of them, within the
  // limits of PROTOCOL for entries and bytes.
  StateRange Range(const std::string& prefix, const std::string& after, std::size_t page,
                   Instant now);
  StateCommit Commit(const Transaction& transaction, Instant now);
  // Returns lease 0 if the duration is outside the range of PROTOCOL.
  LeaseId Grant(Seconds duration, Instant now);
  StateStatus KeepAlive(LeaseId lease, Instant now);
  StateStatus End(LeaseId lease, Instant now);
  // The changes of keys with the prefix after a revision; empty if there are none yet.
  StateLog Changes(const std::string& prefix, Revision after, Instant now);
  // Ends expired leases and deletes their keys. All functions above except Admit do so first.
  void Expire(Instant now);
  // Restarts the full duration of every lease at the end of an outage. During the outage, functions
  // that end expired leases must not be called.
  void EndOutage(Instant now);

  // The latest revision; its JSON key is "tick".
  Revision tick() const { return tick_; }
  std::size_t keys() const { return keys_.size(); }

 private:
  struct StoredValue {
    Json value;
    Revision revision;
    std::optional<LeaseId> lease;
  };
  struct Lease {
    Seconds duration;
    Instant expires;
  };

  const char* FindError(const Transaction& transaction) const;
  void Apply(const Change& change);
  void AppendToLog(WatchEvent event);
  void DeleteKeysOf(LeaseId lease);

  Options options_;
  RateLimit requests_;
  RateLimit writes_;
  std::map<std::string, StoredValue> keys_;
  std::map<LeaseId, Lease> leases_;
  std::uint64_t last_lease_ = 0;
  Revision tick_{1};
  std::deque<WatchEvent> log_;   // the latest max_log_entries changes
  Revision compacted_revision_;  // changes up to this revision were removed from the log
};

}  // namespace magpie::load_test
