#include "records/write_batch_committer.h"

#include <spdlog/spdlog.h>

#include "model/safety_checks.h"
#include "protocol/codec.h"

namespace magpie {
namespace {
constexpr Seconds kFirstPause{0.1};
constexpr Seconds kMaxPause{1};
}  // namespace

WriteBatchCommitter::WriteBatchCommitter(KeyValueStore& store, Hooks hooks)
    : store_(store), hooks_(std::move(hooks)), backoff_(kFirstPause, kMaxPause) {}

void WriteBatchCommitter::Wait() { hooks_.pause(backoff_.Next(ThreadRandom())); }

WriteOutcome WriteBatchCommitter::Write(const WriteBatch& batch,
                                        const records::Leadership& leadership) {
  const Transaction transaction = records::ToTransaction(batch, leadership);
  WriteOutcome outcome;
  bool uncertain = false;
  while (hooks_.still_leading()) {
    const TransactionResult result = store_.Commit(transaction);
    switch (result.status) {
      case StoreStatus::kOk:
        outcome.status = WriteOutcome::Status::kWritten;
        outcome.revision = result.revision;
        return outcome;
      case StoreStatus::kConflict:
        return AfterConflict(batch, leadership, result.failed, uncertain);
      case StoreStatus::kInvalid:
        spdlog::error("the state service calls a transaction malformed");
        hooks_.pause(kMaxPause);
        break;
      case StoreStatus::kUnknown:
        uncertain = true;
        // Reading back costs no write operation, which another attempt would.
        if (auto known = OutcomeOf(ResolveEarlier(batch, leadership, false)))
          return *std::move(known);
        Wait();  // not carried out so far
        break;
      case StoreStatus::kRefused:
        Wait();
        break;
    }
  }
  return outcome;
}

// A conflict shows the outcome of this attempt alone. Whether an earlier one without an answer was
// carried out is read back, which may take as long as an outage or a network partition. So the
// leadership is checked again after that: by the earlier conflict alone, a former leader would
// take its successor's pages for proof that nothing of its own had been written.
WriteOutcome WriteBatchCommitter::AfterConflict(const WriteBatch& batch,
                                                const records::Leadership& leadership,
                                                const std::vector<std::string>& failed,
                                                bool uncertain) {
  using Status = WriteOutcome::Status;
  WriteOutcome outcome;
  outcome.deposed = records::ProvesDeposition(failed);
  if (outcome.deposed) {
    outcome.status = uncertain ? Status::kUnknown : Status::kRejected;
    return outcome;
  }
  if (uncertain)
    if (auto known = OutcomeOf(ResolveEarlier(batch, leadership, true))) return *std::move(known);
  for (const std::string& key : failed)
    outcome.stale |= records::ParseRecordPageKey(key).has_value();
  outcome.reloaded = ReloadJobs(batch);
  outcome.status = Status::kRejected;
  return outcome;
}

// nullopt: nothing of the batch had been carried out when it was read back.
std::optional<WriteOutcome> WriteBatchCommitter::OutcomeOf(const EarlierAttempts& earlier) {
  WriteOutcome outcome;
  switch (earlier.status) {
    case EarlierAttempts::Status::kCarriedOut:
      outcome.status = WriteOutcome::Status::kWritten;
      outcome.revision = earlier.revision;
      return outcome;
    case EarlierAttempts::Status::kDeposed:
      outcome.status = WriteOutcome::Status::kUnknown;
      outcome.deposed = true;
      return outcome;
    case EarlierAttempts::Status::kGivenUp:
      return outcome;
    case EarlierAttempts::Status::kNotCarriedOut:
      break;
  }
  return std::nullopt;
}

// Whether what the batch changes is present. A page at a later revision than the leader knows of
// proves the whole transaction, since the leader alone writes pages, one transaction at a time. A
// final record does not: an old event may bring back a job that an earlier write made final, and
// that record would pass for proof that the bindings of this transaction are durable. So without a
// page each final record must be present.
WriteBatchCommitter::ReadBackResult WriteBatchCommitter::ReadChangedKeys(const WriteBatch& batch) {
  ReadBackResult found;
  const auto read_key = [&](const std::string& key, const std::optional<Json>& expected,
                            Revision before) {
    const GetResult result = store_.Get(key);
    found.answered = result.status == StoreStatus::kOk;
    const Revision revision = result.entry ? result.entry->revision : Revision{};
    found.present =
        found.answered &&
        (expected ? result.entry && result.entry->value == *expected && revision > before
                  : !result.entry.has_value());
    found.key = {key, revision};
    return found.present;
  };
  if (!batch.puts.empty()) {
    const WriteBatch::Put& put = batch.puts.front();
    read_key(records::ToKey(put.key), records::ToJson(put.records), put.expected);
    return found;
  }
  if (!batch.finals.empty()) {
    for (const WriteBatch::Final& final : batch.finals) {
      const Json record = records::ToJson(records::FinalRecord{final.state, final.tasks});
      if (!read_key(records::FinalKey(final.job), record, Revision{})) break;
    }
    return found;
  }
  if (!batch.drops.empty())
    read_key(records::ToKey(batch.drops.front().key), std::nullopt, Revision{});
  return found;
}

// Contents equal to ours are ours, and others prove that nothing of the batch was written, both
// only if we still led when they were read: the next leader may write the very same final record
// of a job, which would pass for proof that the bindings of our transaction are durable.
WriteBatchCommitter::EarlierAttempts WriteBatchCommitter::ResolveEarlier(
    const WriteBatch& batch, const records::Leadership& leadership, bool conflicted) {
  using Status = EarlierAttempts::Status;
  if (batch.empty()) return {Status::kNotCarriedOut, {}};
  while (hooks_.still_leading()) {
    const ReadBackResult found = ReadChangedKeys(batch);
    if (!found.answered) {
      Wait();
      continue;
    }
    // The next attempt has the leadership among its conditions: no need to check it here too.
    if (!found.present && !conflicted) return {Status::kNotCarriedOut, {}};
    Transaction leadership_check{records::ConditionsOf(leadership), {}};
    leadership_check.conditions.push_back(found.key);
    const TransactionResult compared = store_.Commit(leadership_check);
    const bool deposed =
        compared.status == StoreStatus::kConflict && records::ProvesDeposition(compared.failed);
    if (deposed && !IsDisabled(SafetyCheck::kCommittedByThisLeader)) return {Status::kDeposed, {}};
    if (compared.status != StoreStatus::kOk && !IsDisabled(SafetyCheck::kCommittedByThisLeader)) {
      Wait();
      continue;
    }
    return found.present ? EarlierAttempts{Status::kCarriedOut, found.key.revision}
                         : EarlierAttempts{Status::kNotCarriedOut, {}};
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
      spdlog::error("record of {}: {}", job.value, error.what());
    } catch (const Json::exception& error) {
      spdlog::error("record of {}: {}", job.value, error.what());
    }
  }
  return jobs;
}

}  // namespace magpie
