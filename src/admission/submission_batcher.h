// Makes submitted jobs durable, many in one transaction.
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

// A job is accepted only by a transaction that found neither its record nor its final record. A
// user who can't be served soon is told so at once, with the time after which to come back.
//
// Threads that submit wait here together; one of them commits for all that wait. Thread safe. The
// mutex is not held across I/O.
class SubmissionBatcher {
 public:
  enum class Status : std::uint8_t {
    kAccepted,
    kAlreadyExists,  // there is a record of the job already
    kMalformed,      // the key-value store does not take its record
    kUnavailable,    // not accepted now
  };
  struct Result {
    Status status = Status::kUnavailable;
    Seconds retry_after;  // with kUnavailable
  };
  struct Options {
    std::size_t max_jobs = 16;  // in one transaction
    std::size_t max_bytes = 48UL * 1024;
    Seconds patience{1};                                      // nobody waits much longer than this
    AdaptiveRateLimiter::Options rate_limit{.maximum = 1e9};  // of the changes of all jobs
  };
  struct Hooks {
    std::function<Instant()> now;
    std::function<void(Seconds)> sleep;
  };

  SubmissionBatcher(KeyValueStore& store, Options options, Hooks hooks);

  // Blocks until the job is durable, or it is known that it can't be soon.
  Result Submit(const JobSpec& spec);
  // Counts a change that another made at once, which takes of the same rate.
  void Charge();

 private:
  // A submission that waits. Owned by its thread, which stays in Submit() until it has ended.
  struct Submission {
    Submission(const JobSpec& spec, Instant deadline);
    Submission(const Submission&) = delete;
    Submission& operator=(const Submission&) = delete;
    JobId id;
    Json record;
    std::size_t bytes;          // that it adds to a transaction, at most
    Instant deadline;           // then it is given up
    int tries = 0;              // transactions that it was part of
    bool in_own_batch = false;  // it, or one with it in a batch, was called malformed
    bool ended = false;
    Status status = Status::kUnavailable;
  };
  // What has become of a batch.
  struct BatchResult {
    TransactionResult transaction;
    // If the transaction had no answer: whether reads had one, and how many of the first jobs have
    // a record.
    bool read_answered = false;
    std::size_t found = 0;
  };
  using Batch = std::vector<Submission*>;

  void CommitNextBatch(std::unique_lock<std::mutex>& lock);
  Batch TakeBatch();
  Transaction TransactionOf(const Batch& batch) const;
  BatchResult Commit(const Batch& batch);
  void ReadBack(const Batch& batch, BatchResult& result);
  void ApplyResult(const Batch& batch, const BatchResult& result);
  static void ApplyResult(Submission& submission, std::size_t batch_size,
                          const TransactionResult& result);
  void EndOverdue();
  void Sleep(Seconds pause, std::unique_lock<std::mutex>& lock);
  static void End(Submission& submission, Status status);
  Seconds RetryAfter();

  KeyValueStore& store_;
  const Options options_;
  const Hooks hooks_;
  std::mutex mutex_;  // guards all below
  std::condition_variable batch_ended_;
  AdaptiveRateLimiter pace_;
  Backoff backoff_;
  std::deque<Submission*> waiting_;
  bool committing_ = false;  // by one of the threads that wait
};

}  // namespace magpie
