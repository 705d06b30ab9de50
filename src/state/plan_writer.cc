#include "state/plan_writer.h"

#include <spdlog/spdlog.h>

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
      case StoreEnd::kConflict: {
        for (const std::string& key : result.failed)
          outcome.deposed |= key == records::kLeader || key == records::kEpoch;
        const auto landed = uncertain && !outcome.deposed ? Landed(plan, leadership) : std::nullopt;
        if (landed) {
          outcome.end = WriteOutcome::End::kWritten;
          outcome.stamp = *landed;
          return outcome;
        }
        for (const std::string& key : result.failed)
          outcome.stale |= !outcome.deposed && records::ParsePageKey(key).has_value();
        Reload(plan, outcome);
        outcome.end = WriteOutcome::End::kRejected;
        return outcome;
      }
      case StoreEnd::kBad:
        spdlog::error("the state service calls a transaction malformed");
        hooks_.pause(kLongestPause);
        break;
      case StoreEnd::kUnknown:
        uncertain = true;
        Wait();
        break;
      case StoreEnd::kRefused:
        Wait();
        break;
    }
  }
  return outcome;
}

// Whether an earlier try without an answer is what changed the keys. Only the leader writes
// them, so equal contents at a new stamp are ours, as long as we still led when they stood
// there. The next leader may write the very same end of a job: taken for ours, it passed for
// a proof that the bindings of the same transaction, which had never landed, were durable.
std::optional<Stamp> PlanWriter::Landed(const WritePlan& plan,
                                        const records::Leadership& leadership) {
  std::string key;
  Json expected;
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
    return std::nullopt;
  }
  while (hooks_.still_leading()) {
    const GetResult got = store_.Get(key);
    if (got.end != StoreEnd::kOk) {
      Wait();
      continue;
    }
    const Stamp there = got.entry ? got.entry->stamp : Stamp{};
    const bool dropped = plan.finals.empty() && plan.puts.empty();
    if (dropped ? got.entry.has_value()
                : !got.entry || got.entry->value != expected || there <= before)
      return std::nullopt;
    const Transaction still_ours{
        {{records::kLeader, leadership.leader}, {records::kEpoch, leadership.epoch}, {key, there}},
        {}};
    const TxnResult compared = store_.Commit(still_ours);
    if (compared.end == StoreEnd::kOk) return there;
    if (compared.end == StoreEnd::kConflict) return std::nullopt;
    Wait();
  }
  return std::nullopt;
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
