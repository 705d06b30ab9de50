#include "admission/submission_batcher.h"

#include <algorithm>
#include <random>
#include <utility>

#include "model/safety_checks.h"
#include "records/records.h"

namespace magpie {
namespace {
constexpr Seconds kInitialBackoff{0.05};
constexpr Seconds kMaxBackoff{0.5};
constexpr Seconds kMinRetryAfter{1};
constexpr Seconds kMaxRetryAfter{5};     // the rate adapts, so longer predictions are unreliable
constexpr double kMaxRetryJitter = 1.5;  // clients refused together must not retry together
constexpr int kMaxAttempts = 8;
constexpr std::size_t kMaxKeysPerSubmission = 4;  // two conditions, one change, one spare
constexpr std::size_t kMaxOverheadBytes = 128;
}  // namespace

SubmissionBatcher::SubmissionBatcher(KeyValueStore& store, Options options, Hooks hooks)
    : store_(store),
      options_(options),
      hooks_(std::move(hooks)),
      rate_limiter_(options.rate_limit),
      backoff_(kInitialBackoff, kMaxBackoff) {}

SubmissionBatcher::Submission::Submission(const JobSpec& spec, Instant deadline)
    : id(spec.id),
      record(records::ToJson(records::JobRecord{spec})),
      bytes(record.dump().size() + kMaxKeysPerSubmission * records::JobKey(id).size() +
            kMaxOverheadBytes),
      deadline(deadline) {}

void SubmissionBatcher::Complete(Submission& submission, Status status) {
  submission.completed = true;
  submission.status = status;
}

// The time after which a refused client may retry: the estimated time to write the queued
// submissions at the current rate, with jitter.
Seconds SubmissionBatcher::RetryAfter() {
  const Seconds queue_time =
      rate_limiter_.WaitTime(static_cast<double>(queue_.size() + 1), hooks_.now());
  std::uniform_real_distribution<double> jitter(1, kMaxRetryJitter);
  return std::min(kMaxRetryAfter, jitter(ThreadRandom()) * std::max(kMinRetryAfter, queue_time));
}

SubmissionBatcher::Result SubmissionBatcher::Submit(const JobSpec& spec) {
  const Instant now = hooks_.now();
  Submission submission(spec, now + options_.max_wait);
  std::unique_lock lock(mutex_);
  if (rate_limiter_.WaitTime(static_cast<double>(queue_.size() + 1), now) > options_.max_wait)
    return {Status::kUnavailable, RetryAfter()};
  queue_.push_back(&submission);
  while (!submission.completed) {
    if (committing_)
      batch_completed_.wait(lock);
    else
      CommitNextBatch(lock);
  }
  if (submission.status == Status::kUnavailable) return {submission.status, RetryAfter()};
  return {submission.status, Seconds{}};
}

void SubmissionBatcher::Charge() {
  std::scoped_lock lock(mutex_);
  rate_limiter_.AcquireNow(1, hooks_.now());
}

void SubmissionBatcher::Sleep(Seconds pause, std::unique_lock<std::mutex>& lock) {
  lock.unlock();
  hooks_.sleep(pause);
  lock.lock();
}

// Commits one batch from the front of the queue, or sleeps until the rate limit permits one.
void SubmissionBatcher::CommitNextBatch(std::unique_lock<std::mutex>& lock) {
  committing_ = true;
  const Seconds delay = rate_limiter_.TryAcquire(1, hooks_.now());
  if (delay.value > 0) {
    Sleep(delay, lock);
  } else {
    const Batch batch = TakeBatch();
    lock.unlock();
    const BatchResult result = Commit(batch);
    lock.lock();
    ApplyResult(batch, result);
    // No backoff is needed after an answered read: `rate_limiter_` bounds the rate of retries.
    const StoreStatus status = result.transaction.status;
    if (status == StoreStatus::kRefused ||
        (status == StoreStatus::kUnknown && !result.read_answered))
      Sleep(backoff_.Next(ThreadRandom()), lock);
  }
  CompleteExpired();
  committing_ = false;
  batch_completed_.notify_all();
}

SubmissionBatcher::Batch SubmissionBatcher::TakeBatch() {
  Batch batch;
  std::size_t bytes = 0;
  while (!queue_.empty() && batch.size() < options_.max_jobs) {
    Submission* next = queue_.front();
    if (!batch.empty() && (next->must_commit_alone || batch.front()->must_commit_alone ||
                           bytes + next->bytes > options_.max_bytes ||
                           rate_limiter_.TryAcquire(1, hooks_.now()).value > 0))
      break;
    queue_.pop_front();
    batch.push_back(next);
    bytes += next->bytes;
  }
  return batch;
}

Transaction SubmissionBatcher::BuildTransaction(const Batch& batch) const {
  Transaction transaction;
  for (const Submission* submission : batch) {
    const std::string key = records::JobKey(submission->id);
    if (!IsDisabled(SafetyCheck::kSubmitCondition)) {
      transaction.conditions.push_back({key, Revision{0}});
      transaction.conditions.push_back({records::FinalKey(submission->id), Revision{0}});
    }
    transaction.changes.push_back({key, submission->record, std::nullopt});
  }
  return transaction;
}

SubmissionBatcher::BatchResult SubmissionBatcher::Commit(const Batch& batch) {
  BatchResult result;
  result.transaction = store_.Commit(BuildTransaction(batch));
  if (result.transaction.status == StoreStatus::kUnknown) ReadBack(batch, result);
  return result;
}

// Checks whether the jobs of an unanswered transaction are durable. A job with a record is reported
// as already existing, whichever controller wrote the record. A job without one is submitted again
// under the same conditions, because the transaction may still be committed. The transaction is
// atomic, so reading stops at the first job without a record.
void SubmissionBatcher::ReadBack(const Batch& batch, BatchResult& result) {
  for (const Submission* submission : batch) {
    const GetResult got = store_.Get(records::JobKey(submission->id));
    result.read_answered = got.status == StoreStatus::kOk;
    if (!result.read_answered || !got.entry) return;
    ++result.found_jobs;
  }
}

void SubmissionBatcher::ApplyResult(const Batch& batch, const BatchResult& result) {
  const TransactionResult& transaction = result.transaction;
  for (std::size_t i = 0; i < result.found_jobs; ++i) Complete(*batch[i], Status::kAlreadyExists);
  if (transaction.status == StoreStatus::kOk) backoff_.Reset();
  // Incomplete submissions return to the front of the queue in their original order.
  for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
    Submission& submission = **it;
    ApplyResult(submission, batch.size(), transaction);
    if (!submission.completed) queue_.push_front(&submission);
  }
  if (transaction.rate_limited) rate_limiter_.OnRefused(hooks_.now());
}

void SubmissionBatcher::ApplyResult(Submission& submission, std::size_t batch_size,
                                    const TransactionResult& result) {
  const auto failed = [&](const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
  };
  const bool is_only_job = batch_size == 1;
  const bool conflict = result.status == StoreStatus::kConflict;
  const bool malformed = result.status == StoreStatus::kInvalid;
  if (result.status == StoreStatus::kOk) Complete(submission, Status::kAccepted);
  if (conflict && (is_only_job || failed(records::JobKey(submission.id)) ||
                   failed(records::FinalKey(submission.id))))
    Complete(submission, Status::kAlreadyExists);
  if (malformed && is_only_job) Complete(submission, Status::kMalformed);
  // When it is unknown which job made the batch fail, each of its jobs is retried alone.
  submission.must_commit_alone |= malformed || (conflict && result.failed.empty());
  const bool may_retry = ++submission.attempts < kMaxAttempts || conflict;
  if (!submission.completed && !may_retry) Complete(submission, Status::kUnavailable);
}

void SubmissionBatcher::CompleteExpired() {
  const Instant now = hooks_.now();
  std::erase_if(queue_, [&](Submission* submission) {
    if (submission->deadline >= now) return false;
    Complete(*submission, Status::kUnavailable);
    return true;
  });
}

}  // namespace magpie
