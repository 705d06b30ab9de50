// Commits the leader's write batches by compare-and-swap, and determines the outcome of unanswered
// transactions.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "kv/key_value_store.h"
#include "model/write_batch.h"
#include "rate_limit/adaptive_rate_limiter.h"
#include "rate_limit/backoff.h"
#include "records/records.h"

namespace magpie {

// The outcome of a write.
struct WriteOutcome {
  enum class Status {
    kWritten,   // at `revision`
    kRejected,  // nothing was written, and no attempt can be carried out later
    kUnknown,   // deposed with an unanswered attempt, which may have been carried out before
    kGivenUp,   // abandoned because this controller no longer leads by its own view
  };
  Status status = Status::kGivenUp;
  Revision revision;
  // The leader key or the epoch has changed, which is permanent. The state in memory may be older
  // than the records, so this controller must no longer command workers.
  bool deposed = false;
  // A page differs from the leader's state in memory, although only the leader writes pages. All
  // further writes would be rejected, so the leader must read all records again.
  bool stale = false;
  // A job's current record.
  struct Job {
    records::JobRecord record;
    Revision revision;
  };
  std::vector<Job> reloaded;  // after a rejection: the records of the batch's jobs
};

// Not thread-safe.
class WriteBatchCommitter {
 public:
  struct Hooks {
    std::function<bool()> still_leading;  // whether this controller leads by its own view
    std::function<void(Seconds)> pause;   // sleeps
  };
  WriteBatchCommitter(KeyValueStore& store, Hooks hooks);

  // Repeats the same transaction until its outcome is certain or this controller no longer leads.
  // All attempts have the same conditions: at most one is carried out, and none after a conflict.
  WriteOutcome Write(const WriteBatch& batch, const records::Leadership& leadership);

 private:
  // The outcome of the unanswered attempts. kNotCarriedOut is final only after a conflict; without
  // one, an attempt may be carried out later.
  struct UnansweredAttempts {
    enum class Status { kCarriedOut, kNotCarriedOut, kDeposed, kGivenUp };
    Status status = Status::kGivenUp;
    Revision revision;  // of the changes, if they were carried out
  };
  // The result of reading keys that a batch changes.
  struct ReadBackResult {
    bool answered = false;  // whether the key-value store answered the read
    bool present = false;   // whether the keys have the contents that the batch writes
    Condition key;          // the last key read, at its current revision
  };
  void WaitBeforeRetry();
  ReadBackResult ReadChangedKeys(const WriteBatch& batch);
  WriteOutcome AfterConflict(const WriteBatch& batch, const records::Leadership& leadership,
                             const std::vector<std::string>& failed, bool has_unanswered_attempt);
  static std::optional<WriteOutcome> OutcomeOf(const UnansweredAttempts& unanswered);
  // `conflicted`: a conflict has shown that no attempt can be carried out later.
  UnansweredAttempts ResolveUnansweredAttempts(const WriteBatch& batch,
                                               const records::Leadership& leadership,
                                               bool conflicted);
  std::vector<WriteOutcome::Job> ReloadJobs(const WriteBatch& batch);

  KeyValueStore& store_;
  Hooks hooks_;
  Backoff backoff_;  // between the attempts of one write
};

}  // namespace magpie
