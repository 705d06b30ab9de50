#include "records/write_batch_committer.h"

#include <spdlog/spdlog.h>

#include "model/safety_checks.h"
#include "protocol/codec.h"

namespace magpie {
namespace {
constexpr Seconds kInitialBackoff{0.1};
constexpr Seconds kMaxBackoff{1};
}  // namespace

WriteBatchCommitter::WriteBatchCommitter(KeyValueStore& store, Hooks hooks)
    : store_(store), hooks_(std::move(hooks)), backoff_(kInitialBackoff, kMaxBackoff) {}

void WriteBatchCommitter::WaitBeforeRetry() { hooks_.pause(backoff_.Next(ThreadRandom())); }

WriteOutcome WriteBatchCommitter::Write(const WriteBatch& batch,
                                        const records::Leadership& leadership) {
  const Transaction transaction = records::ToTransaction(batch, leadership);
  WriteOutcome outcome;
  bool has_unanswered_attempt = false;
  while (hooks_.still_leading()) {
    const TransactionResult result = store_.Commit(transaction);
    switch (result.status) {
      case StoreStatus::kOk:
        outcome.status = WriteOutcome::Status::kWritten;
        outcome.revision = result.revision;
        return outcome;
      case StoreStatus::kConflict:
        return AfterConflict(batch, leadership, result.failed, has_unanswered_attempt);
      case StoreStatus::kInvalid:
        spdlog::error("transaction rejected reason=malformed action=retry");
        hooks_.pause(kMaxBackoff);
        break;
      case StoreStatus::kUnknown:
        has_unanswered_attempt = true;
        // Reading back uses no write operation, unlike another attempt.
        if (auto resolved = OutcomeOf(ResolveUnansweredAttempts(batch, leadership, false)))
          return *std::move(resolved);
        WaitBeforeRetry();  // the attempt had not been carried out when its keys were read
        break;
      case StoreStatus::kRefused:
        WaitBeforeRetry();
        break;
    }
  }
  return outcome;
}

// A conflict shows the outcome of this attempt only. Whether an earlier unanswered attempt was
// carried out is read back, which may take as long as an outage or a partition lasts. The
// leadership is therefore checked again after the read: otherwise a former leader would take pages
// written by its successor as proof that its own write had not been carried out.
WriteOutcome WriteBatchCommitter::AfterConflict(const WriteBatch& batch,
                                                const records::Leadership& leadership,
                                                const std::vector<std::string>& failed,
                                                bool has_unanswered_attempt) {
  using Status = WriteOutcome::Status;
  WriteOutcome outcome;
  outcome.deposed = records::ProvesDeposition(failed);
  if (outcome.deposed) {
    outcome.status = has_unanswered_attempt ? Status::kUnknown : Status::kRejected;
    return outcome;
  }
  if (has_unanswered_attempt)
    if (auto resolved = OutcomeOf(ResolveUnansweredAttempts(batch, leadership, true)))
      return *std::move(resolved);
  for (const std::string& key : failed)
    outcome.stale |= records::ParseRecordPageKey(key).has_value();
  outcome.reloaded = ReloadJobs(batch);
  outcome.status = Status::kRejected;
  return outcome;
}

// nullopt: the batch had not been carried out when it was read back.
std::optional<WriteOutcome> WriteBatchCommitter::OutcomeOf(const UnansweredAttempts& unanswered) {
  WriteOutcome outcome;
  switch (unanswered.status) {
    case UnansweredAttempts::Status::kCarriedOut:
      outcome.status = WriteOutcome::Status::kWritten;
      outcome.revision = unanswered.revision;
      return outcome;
    case UnansweredAttempts::Status::kDeposed:
      outcome.status = WriteOutcome::Status::kUnknown;
      outcome.deposed = true;
      return outcome;
    case UnansweredAttempts::Status::kGivenUp:
      return outcome;
    case UnansweredAttempts::Status::kNotCarriedOut:
      break;
  }
  return std::nullopt;
}

// Checks whether the batch's changes are present. A page with the batch's contents at a later
// revision than the batch expects proves that the whole transaction was carried out, since only the
// leader writes pages, one transaction at a time. One final record proves nothing: a delayed event
// may restore a job in memory that an earlier write made final, and its record would be taken as
// proof that this transaction's bindings are durable. So a batch without a page requires each of
// its final records to be present.
WriteBatchCommitter::ReadBackResult WriteBatchCommitter::ReadChangedKeys(const WriteBatch& batch) {
  ReadBackResult read_back;
  const auto read_key = [&](const std::string& key, const std::optional<Json>& expected,
                            Revision before) {
    const GetResult result = store_.Get(key);
    read_back.answered = result.status == StoreStatus::kOk;
    const Revision revision = result.entry ? result.entry->revision : Revision{};
    read_back.present =
        read_back.answered &&
        (expected ? result.entry && result.entry->value == *expected && revision > before
                  : !result.entry.has_value());
    read_back.key = {key, revision};
    return read_back.present;
  };
  if (!batch.puts.empty()) {
    const WriteBatch::Put& put = batch.puts.front();
    read_key(records::ToKey(put.key), records::ToJson(put.records), put.expected);
    return read_back;
  }
  if (!batch.finals.empty()) {
    for (const WriteBatch::Final& final : batch.finals) {
      const Json record = records::ToJson(records::FinalRecord{final.state, final.tasks});
      if (!read_key(records::FinalKey(final.job), record, Revision{})) break;
    }
    return read_back;
  }
  if (!batch.drops.empty())
    read_key(records::ToKey(batch.drops.front().key), std::nullopt, Revision{});
  return read_back;
}

// Matching contents prove that the batch was written, and other contents that it was not, but only
// if this controller still led when they were read. Otherwise the next leader may have written an
// identical final record, which would be taken as proof that this batch's bindings are durable.
WriteBatchCommitter::UnansweredAttempts WriteBatchCommitter::ResolveUnansweredAttempts(
    const WriteBatch& batch, const records::Leadership& leadership, bool conflicted) {
  using Status = UnansweredAttempts::Status;
  if (batch.empty()) return {Status::kNotCarriedOut, {}};
  while (hooks_.still_leading()) {
    const ReadBackResult read_back = ReadChangedKeys(batch);
    if (!read_back.answered) {
      WaitBeforeRetry();
      continue;
    }
    // The next attempt is conditional on the leadership, so the leadership is not checked here.
    if (!read_back.present && !conflicted) return {Status::kNotCarriedOut, {}};
    Transaction leadership_check{records::ConditionsOf(leadership), {}};
    leadership_check.conditions.push_back(read_back.key);
    const TransactionResult check_result = store_.Commit(leadership_check);
    const bool deposed = check_result.status == StoreStatus::kConflict &&
                         records::ProvesDeposition(check_result.failed);
    if (deposed && !IsDisabled(SafetyCheck::kCommittedByThisLeader)) return {Status::kDeposed, {}};
    if (check_result.status != StoreStatus::kOk &&
        !IsDisabled(SafetyCheck::kCommittedByThisLeader)) {
      WaitBeforeRetry();
      continue;
    }
    return read_back.present ? UnansweredAttempts{Status::kCarriedOut, read_back.key.revision}
                             : UnansweredAttempts{Status::kNotCarriedOut, {}};
  }
  return {Status::kGivenUp, {}};
}

std::vector<WriteOutcome::Job> WriteBatchCommitter::ReloadJobs(const WriteBatch& batch) {
  std::vector<WriteOutcome::Job> jobs;
  for (const auto& [job, revision] : batch.expected_job_revisions) {
    const GetResult result = store_.Get(records::JobKey(job));
    if (result.status != StoreStatus::kOk || !result.entry) continue;
    try {
      jobs.push_back({records::JobFromJson(result.entry->value), result.entry->revision});
    } catch (const protocol::InvalidMessage& error) {
      spdlog::error("job record skipped job={} error=\"{}\"", job.value, error.what());
    } catch (const Json::exception& error) {
      spdlog::error("job record skipped job={} error=\"{}\"", job.value, error.what());
    }
  }
  return jobs;
}

}  // namespace magpie
