#include "admission/submission_batcher.h"

#include <algorithm>
#include <random>
#include <utility>

#include "model/safety_checks.h"
#include "records/records.h"

namespace magpie {
namespace {
constexpr Seconds kFirstPause{0.05};
constexpr Seconds kMaxPause{0.5};
constexpr Seconds kMinRetryAfter{1};
constexpr Seconds kMaxRetryAfter{5};     // more would be a guess, since the rate is being learned
constexpr double kMaxRetrySpread = 1.5;  // so that users sent away together don't return together
constexpr int kMaxTries = 8;
constexpr std::size_t kMaxKeysOfSubmission = 4;  // two conditions, one change, one spare
constexpr std::size_t kMaxOverheadBytes = 128;
}  // namespace

SubmissionBatcher::SubmissionBatcher(KeyValueStore& store, Options options, Hooks hooks)
    : store_(store),
      options_(options),
      hooks_(std::move(hooks)),
      pace_(options.rate_limit),
      backoff_(kFirstPause, kMaxPause) {}

SubmissionBatcher::Submission::Submission(const JobSpec& spec, Instant deadline)
    : id(spec.id),
      record(records::ToJson(records::JobRecord{spec})),
      bytes(record.dump().size() + kMaxKeysOfSubmission * records::JobKey(id).size() +
            kMaxOverheadBytes),
      deadline(deadline) {}

void SubmissionBatcher::End(Submission& submission, Status status) {
  submission.ended = true;
  submission.status = status;
}

// When those that wait now are written, at the present rate.
Seconds SubmissionBatcher::RetryAfter() {
  const Seconds ahead = pace_.WaitTime(static_cast<double>(waiting_.size() + 1), hooks_.now());
  std::uniform_real_distribution<double> spread(1, kMaxRetrySpread);
  return std::min(kMaxRetryAfter, spread(ThreadRandom()) * std::max(kMinRetryAfter, ahead));
}

SubmissionBatcher::Result SubmissionBatcher::Submit(const JobSpec& spec) {
  const Instant now = hooks_.now();
  Submission submission(spec, now + options_.patience);
  std::unique_lock lock(mutex_);
  if (pace_.WaitTime(static_cast<double>(waiting_.size() + 1), now) > options_.patience)
    return {Status::kUnavailable, RetryAfter()};
  waiting_.push_back(&submission);
  while (!submission.ended) {
    if (committing_)
      batch_ended_.wait(lock);
    else
      CommitNextBatch(lock);
  }
  if (submission.status == Status::kUnavailable) return {submission.status, RetryAfter()};
  return {submission.status, Seconds{}};
}

void SubmissionBatcher::Charge() {
  std::scoped_lock lock(mutex_);
  pace_.AcquireNow(1, hooks_.now());
}

void SubmissionBatcher::Sleep(Seconds pause, std::unique_lock<std::mutex>& lock) {
  lock.unlock();
  hooks_.sleep(pause);
  lock.lock();
}

// One transaction for the first that wait, or a pause before it.
void SubmissionBatcher::CommitNextBatch(std::unique_lock<std::mutex>& lock) {
  committing_ = true;
  const Seconds early = pace_.TryAcquire(1, hooks_.now());
  if (early.value > 0) {
    Sleep(early, lock);
  } else {
    const Batch batch = TakeBatch();
    lock.unlock();
    const BatchResult result = Commit(batch);
    lock.lock();
    ApplyResult(batch, result);
    // After an answered read nothing is gained by a pause: `pace_` bounds what is sent again.
    const StoreStatus status = result.transaction.status;
    if (status == StoreStatus::kRefused ||
        (status == StoreStatus::kUnknown && !result.read_answered))
      Sleep(backoff_.Next(ThreadRandom()), lock);
  }
  EndOverdue();
  committing_ = false;
  batch_ended_.notify_all();
}

SubmissionBatcher::Batch SubmissionBatcher::TakeBatch() {
  Batch batch;
  std::size_t bytes = 0;
  while (!waiting_.empty() && batch.size() < options_.max_jobs) {
    Submission* next = waiting_.front();
    if (!batch.empty() &&
        (next->in_own_batch || batch.front()->in_own_batch ||
         bytes + next->bytes > options_.max_bytes || pace_.TryAcquire(1, hooks_.now()).value > 0))
      break;
    waiting_.pop_front();
    batch.push_back(next);
    bytes += next->bytes;
  }
  return batch;
}

Transaction SubmissionBatcher::TransactionOf(const Batch& batch) const {
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
  result.transaction = store_.Commit(TransactionOf(batch));
  if (result.transaction.status == StoreStatus::kUnknown) ReadBack(batch, result);
  return result;
}

// Whether the jobs of a transaction without an answer are durable. A job that is there is known,
// whoever wrote it; one that is absent says nothing, since the transaction may still be carried
// out, and is submitted again under the same conditions. The transaction is atomic, so none need
// be read after the first that is absent.
void SubmissionBatcher::ReadBack(const Batch& batch, BatchResult& result) {
  for (const Submission* submission : batch) {
    const GetResult got = store_.Get(records::JobKey(submission->id));
    result.read_answered = got.status == StoreStatus::kOk;
    if (!result.read_answered || !got.entry) return;
    ++result.found;
  }
}

void SubmissionBatcher::ApplyResult(const Batch& batch, const BatchResult& result) {
  const TransactionResult& transaction = result.transaction;
  for (std::size_t i = 0; i < result.found; ++i) End(*batch[i], Status::kAlreadyExists);
  if (transaction.status == StoreStatus::kOk) backoff_.Reset();
  // Those that have not ended wait again, before all others.
  for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
    Submission& submission = **it;
    ApplyResult(submission, batch.size(), transaction);
    if (!submission.ended) waiting_.push_front(&submission);
  }
  if (transaction.rate_limited) pace_.OnRefused(hooks_.now());
}

void SubmissionBatcher::ApplyResult(Submission& submission, std::size_t batch_size,
                                    const TransactionResult& result) {
  const auto failed = [&](const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
  };
  const bool alone = batch_size == 1;
  const bool conflict = result.status == StoreStatus::kConflict;
  const bool malformed = result.status == StoreStatus::kInvalid;
  if (result.status == StoreStatus::kOk) End(submission, Status::kAccepted);
  if (conflict &&
      (alone || failed(records::JobKey(submission.id)) || failed(records::FinalKey(submission.id))))
    End(submission, Status::kAlreadyExists);
  if (malformed && alone) End(submission, Status::kMalformed);
  // Of a batch that failed for an unknown one of its jobs, each is tried alone.
  submission.in_own_batch |= malformed || (conflict && result.failed.empty());
  const bool try_again = ++submission.tries < kMaxTries || conflict;
  if (!submission.ended && !try_again) End(submission, Status::kUnavailable);
}

void SubmissionBatcher::EndOverdue() {
  const Instant now = hooks_.now();
  std::erase_if(waiting_, [&](Submission* submission) {
    if (submission->deadline >= now) return false;
    End(*submission, Status::kUnavailable);
    return true;
  });
}

}  // namespace magpie
