// Writes submitted jobs to the key-value store, several in one transaction.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include "kv/key_value_store.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/time.h"
#include "rate_limit/adaptive_rate_limiter.h"
#include "rate_limit/backoff.h"

namespace magpie {

// A job is accepted only by a transaction whose conditions require that the job has no record and
// no final record. A submission that cannot be written soon is refused at once, with the time after
// which to retry.
//
// Submitting threads share a queue; one of them commits batches on behalf of all. Thread safe. The
// mutex is not held across I/O.
class SubmissionBatcher {
 public:
  enum class Status : std::uint8_t {
    kAccepted,
    kAlreadyExists,  // the job has a record or a final record
    kMalformed,      // the key-value store rejects its record as malformed
    kUnavailable,    // not known to be accepted; the caller may retry
  };
  struct Result {
    Status status = Status::kUnavailable;
    Seconds retry_after;  // set with kUnavailable
  };
  struct Options {
    std::size_t max_jobs = 16;  // in one transaction
    std::size_t max_bytes = 48UL * 1024;
    Seconds max_wait{1};  // Submit() does not block much longer than this
    AdaptiveRateLimiter::Options rate_limit{.maximum = 1e9};  // limits the changes of all jobs
  };
  struct Hooks {
    std::function<Instant()> now;
    std::function<void(Seconds)> sleep;
  };

  SubmissionBatcher(KeyValueStore& store, Options options, Hooks hooks);

  // Blocks until the job is durable, rejected as malformed, or not expected to be durable soon.
  Result Submit(const JobSpec& spec);
  // Charges the rate limit for one change that the caller writes itself.
  void Charge();

 private:
  // A queued submission, owned by the thread that submits it. The thread stays in Submit() until
  // the submission is completed.
  struct Submission {
    Submission(const JobSpec& spec, Instant deadline);
    Submission(const Submission&) = delete;
    Submission& operator=(const Submission&) = delete;
    JobId id;
    Json record;
    std::size_t bytes;  // upper bound on the bytes that it adds to a transaction
    Instant deadline;   // after this time, the submission is not retried
    int attempts = 0;   // number of transactions that included the submission
    // Set after a batch with this submission failed and it is unknown which job was the cause.
    bool must_commit_alone = false;
    bool completed = false;
    Status status = Status::kUnavailable;
  };
  // The outcome of committing a batch.
  struct BatchResult {
    TransactionResult transaction;
    // After an unanswered transaction: whether the last read was answered, and how many jobs from
    // the start of the batch have a record.
    bool read_answered = false;
    std::size_t found_jobs = 0;
  };
  using Batch = std::vector<Submission*>;

  void CommitNextBatch(std::unique_lock<std::mutex>& lock);
  Batch TakeBatch();
  Transaction BuildTransaction(const Batch& batch) const;
  BatchResult Commit(const Batch& batch);
  void ReadBack(const Batch& batch, BatchResult& result);
  void ApplyResult(const Batch& batch, const BatchResult& result);
  static void ApplyResult(Submission& submission, std::size_t batch_size,
                          const TransactionResult& result);
  void CompleteExpired();
  void Sleep(Seconds pause, std::unique_lock<std::mutex>& lock);
  static void Complete(Submission& submission, Status status);
  Seconds RetryAfter();

  KeyValueStore& store_;
  const Options options_;
  const Hooks hooks_;
  std::mutex mutex_;  // guards the members below
  std::condition_variable batch_completed_;
  AdaptiveRateLimiter rate_limiter_;
  Backoff backoff_;
  std::deque<Submission*> queue_;
  bool committing_ = false;  // one of the submitting threads is in CommitNextBatch()
};

}  // namespace magpie
