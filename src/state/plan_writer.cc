#include "state/plan_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "core/test_guards.h"

namespace magpie {
namespace {
constexpr Seconds kFirstPause{0.1};
constexpr Seconds kLongestPause{1};
}  // namespace

PlanWriter::PlanWriter(Store& store, Hooks hooks)
    : store_(store), hooks_(std::move(hooks)), backoff_(kFirstPause, kLongestPause) {}

void PlanWriter::Wait() { hooks_.pause(backoff_.Next(ThreadRandom())); }

WriteOutcome PlanWriter::Write(const WritePlan& plan, const records::Leadership& leadership) {
  const Transaction txn = records::ToTransaction(plan, leadership);
  WriteOutcome outcome;
  bool uncertain = false;
  while (hooks_.still_leading()) {
    const TxnResult result = store_.Commit(txn);
    switch (result.end) {
      case StoreEnd::kOk:
        outcome.end = WriteOutcome::End::kWritten;
        outcome.stamp = result.tick;
        return outcome;
      case StoreEnd::kConflict:
        return AfterConflict(plan, leadership, result.failed, uncertain);
      case StoreEnd::kBad:
        spdlog::error("the state service calls a transaction malformed");
        hooks_.pause(kLongestPause);
        break;
      case StoreEnd::kUnknown:
        uncertain = true;
        // Read back first: that costs no change, which a repetition would.
        if (auto known = OutcomeOf(ReadBack(plan, leadership, false))) return *std::move(known);
        Wait();  // not carried out, so far
        break;
      case StoreEnd::kRefused:
        Wait();
        break;
    }
  }
  return outcome;
}

// A conflict tells of this try alone. Whether an earlier one without an answer was carried out
// is read back, and that may take as long as an outage or a cut. So the leadership is judged
// anew after it: judged by the conflict of before, a former leader took its successor's pages
// for a proof that nothing of its own had been written, and went on with books that lacked it.
WriteOutcome PlanWriter::AfterConflict(const WritePlan& plan, const records::Leadership& leadership,
                                       const std::vector<std::string>& failed, bool uncertain) {
  using End = WriteOutcome::End;
  WriteOutcome outcome;
  for (const std::string& key : failed)
    outcome.deposed |= key == records::kLeader || key == records::kEpoch;
  if (outcome.deposed) {
    outcome.end = uncertain ? End::kUnknown : End::kRejected;
    return outcome;
  }
  if (uncertain)
    if (auto known = OutcomeOf(ReadBack(plan, leadership, true))) return *std::move(known);
  for (const std::string& key : failed) outcome.stale |= records::ParsePageKey(key).has_value();
  Reload(plan, outcome);
  outcome.end = End::kRejected;
  return outcome;
}

// None: nothing of the plan has been carried out when it was read back.
std::optional<WriteOutcome> PlanWriter::OutcomeOf(const EarlierTries& earlier) {
  WriteOutcome outcome;
  switch (earlier.end) {
    case EarlierTries::End::kCarriedOut:
      outcome.end = WriteOutcome::End::kWritten;
      outcome.stamp = earlier.stamp;
      return outcome;
    case EarlierTries::End::kDeposed:
      outcome.end = WriteOutcome::End::kUnknown;
      outcome.deposed = true;
      return outcome;
    case EarlierTries::End::kGivenUp:
      return outcome;
    case EarlierTries::End::kNotCarriedOut:
      break;
  }
  return std::nullopt;
}

// Reads one of the keys that the transaction changes. Only the leader writes them, so equal
// contents at a new stamp are ours, and other contents say that nothing of it was written, both
// only as long as we still led when they stood there: the next leader may write the very same
// end of a job. Taken for ours, it passed for a proof that the bindings of the same transaction,
// which had never landed, were durable.
PlanWriter::EarlierTries PlanWriter::ReadBack(const WritePlan& plan,
                                              const records::Leadership& leadership,
                                              bool conflicted) {
  using End = EarlierTries::End;
  std::string key;
  std::optional<Json> expected;  // none: the key is dropped
  Stamp before;
  if (!plan.finals.empty()) {
    const WritePlan::Final& final = plan.finals.front();
    key = records::FinalKey(final.job);
    expected = records::ToJson(records::FinalRecord{final.mood, final.tasks});
  } else if (!plan.puts.empty()) {
    const WritePlan::Put& put = plan.puts.front();
    key = records::ToKey(put.key);
    expected = records::ToJson(put.records);
    before = put.expected;
  } else if (!plan.drops.empty()) {
    key = records::ToKey(plan.drops.front().key);
  } else {
    return {End::kNotCarriedOut, {}};
  }
  while (hooks_.still_leading()) {
    const GetResult got = store_.Get(key);
    if (got.end != StoreEnd::kOk) {
      Wait();
      continue;
    }
    const Stamp stamp = got.entry ? got.entry->stamp : Stamp{};
    const bool ours = expected ? got.entry && got.entry->value == *expected && stamp > before
                               : !got.entry.has_value();
    // The repetition has the leadership among its conditions: no need to ask for it here as well.
    if (!ours && !conflicted) return {End::kNotCarriedOut, {}};
    const Transaction still_leading{
        {{records::kLeader, leadership.leader}, {records::kEpoch, leadership.epoch}, {key, stamp}},
        {}};
    const TxnResult compared = store_.Commit(still_leading);
    if (compared.end == StoreEnd::kConflict) {
      const bool deposed = std::any_of(
          compared.failed.begin(), compared.failed.end(),
          [](const std::string& k) { return k == records::kLeader || k == records::kEpoch; });
      if (deposed && !Removed(Guard::kLandedByUs)) return {End::kDeposed, {}};
    }
    if (compared.end != StoreEnd::kOk && !Removed(Guard::kLandedByUs)) {
      Wait();
      continue;
    }
    return ours ? EarlierTries{End::kCarriedOut, stamp} : EarlierTries{End::kNotCarriedOut, {}};
  }
  return {End::kGivenUp, {}};
}

void PlanWriter::Reload(const WritePlan& plan, WriteOutcome& outcome) {
  for (const auto& [job, stamp] : plan.jobs) {
    const GetResult got = store_.Get(records::JobKey(job));
    if (got.end != StoreEnd::kOk || !got.entry) continue;
    try {
      outcome.reloaded.push_back({records::JobFromJson(got.entry->value), got.entry->stamp});
    } catch (const std::exception& e) {
      spdlog::error("record of {}: {}", job.v, e.what());
    }
  }
}

}  // namespace magpie
