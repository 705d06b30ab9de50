#include "controller/takeover_loop.h"

#include <spdlog/spdlog.h>

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "clock/clock.h"
#include "controller/retry.h"
#include "controller/watch_settings.h"
#include "protocol/codec.h"

namespace magpie {

using records::Leadership;

namespace {

// Calls `load`, which decodes the record at `key` and passes it to the scheduler. Skips a record
// that can't be decoded.
template <typename Load>
void LoadRecord(const std::string& key, Load load) {
  try {
    load();
  } catch (const protocol::InvalidMessage& error) {
    spdlog::error("record skipped key={} error=\"{}\"", key, error.what());
  } catch (const nlohmann::json::exception& error) {
    spdlog::error("record skipped key={} error=\"{}\"", key, error.what());
  }
}

}  // namespace

TakeoverLoop::TakeoverLoop(LeaderState& state, KeyValueStore& store, KeyValueStore& watch_store)
    : state_(state), store_(store), watch_store_(watch_store) {}

void TakeoverLoop::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

void TakeoverLoop::Run(const std::stop_token& stop) {
  RepeatUntilStopped(stop, LoopBackoff(), [&] {
    const auto leadership = state_.WaitForWork(stop, WorkSignal::kLeadershipAcquired,
                                               [this] { return state_.leadership(); });
    if (!leadership) return StepResult::kFailed;  // stopped
    const LoadResult loaded = Load(*leadership, stop);
    if (loaded.status == LoadStatus::kLoaded) {
      Follow(*leadership, loaded.revision, stop);
      return StepResult::kSucceeded;
    }
    spdlog::debug(
        "load failed epoch={} reason={}", leadership->epoch.value,
        loaded.status == LoadStatus::kLeadershipLost ? "leadership_lost" : "store_unavailable");
    // Restart loading with an empty scheduler. If a page were loaded a second time, the scheduler
    // would find none of the page's records in use and overwrite the page with an empty one.
    std::scoped_lock lock(state_.mutex());
    if (state_.leadership() == leadership) state_.RestartScheduler();
    return StepResult::kFailed;
  });
}

TakeoverLoop::LoadResult TakeoverLoop::Load(const Leadership& leadership,
                                            const std::stop_token& stop) {
  Revision first_read;
  for (const char* prefix : {records::kJobPrefix, records::kBlockPrefix, records::kPagePrefix}) {
    const LoadResult result = LoadPrefix(prefix, leadership);
    if (result.status != LoadStatus::kLoaded) return result;
    if (first_read.value == 0) first_read = result.revision;
  }
  // A successor may have been elected during an outage or partition while this controller was
  // reading. The successor's records must not be mistaken for those of this leadership and acted
  // upon.
  if (!IsRecordedInStore(leadership, stop)) return {LoadStatus::kLeadershipLost, {}};
  SchedulerStatus status;
  {
    std::scoped_lock lock(state_.mutex());
    if (state_.leadership() != leadership) return {LoadStatus::kLeadershipLost, {}};
    FinishLoad();
    status = state_.scheduler().GetStatus();
  }
  spdlog::info("records loaded jobs={} bound_tasks={} epoch={} revision={}", status.jobs,
               status.bound, leadership.epoch.value, first_read.value);
  return {LoadStatus::kLoaded, first_read};
}

TakeoverLoop::LoadResult TakeoverLoop::LoadPrefix(const char* prefix,
                                                  const Leadership& leadership) {
  Revision first_read;
  std::string after;
  for (bool more = true; more;) {
    const RangeResult range = store_.Range(prefix, after, kRangePageSize);
    if (range.status != StoreStatus::kOk) return {LoadStatus::kStoreUnavailable, {}};
    std::scoped_lock lock(state_.mutex());
    if (state_.leadership() != leadership) return {LoadStatus::kLeadershipLost, {}};
    if (first_read.value == 0) first_read = range.revision;
    for (const StoreEntry& entry : range.entries) {
      LoadEntry(prefix, entry);
      after = entry.key;
    }
    more = range.more && !range.entries.empty();
  }
  return {LoadStatus::kLoaded, first_read};
}

void TakeoverLoop::LoadEntry(const char* prefix, const StoreEntry& entry) {
  LoadRecord(entry.key, [&] {
    Scheduler& scheduler = state_.scheduler();
    if (prefix == records::kJobPrefix) {
      const records::JobRecord record = records::JobFromJson(entry.value);
      scheduler.LoadJob(record.spec, record.must_stop(), entry.revision);
    } else if (const auto key = records::ParseRecordPageKey(entry.key)) {
      scheduler.LoadRecordPage(*key, records::RecordPageFromJson(*key, entry.value),
                               entry.revision);
    }
  });
}

bool TakeoverLoop::IsRecordedInStore(const Leadership& leadership, const std::stop_token& stop) {
  const Transaction compare{records::ConditionsOf(leadership), {}};
  std::optional<bool> recorded;
  Backoff backoff = LoopBackoff();
  const auto unresolved = [&] { return !recorded && state_.HoldsLeadership(leadership); };
  RepeatWhile(stop, backoff, unresolved, [&] {
    const StoreStatus status = store_.Commit(compare).status;
    if (status == StoreStatus::kOk || status == StoreStatus::kConflict)
      recorded = status == StoreStatus::kOk;
    return recorded ? StepResult::kSucceeded : StepResult::kFailed;
  });
  return recorded.value_or(false);
}

void TakeoverLoop::FinishLoad() {
  state_.scheduler().FinishLoad(SteadyNow());
  state_.timeline().Record(FailoverTimeline::Step::kRecordsLoaded, SteadyNow());
  state_.RequestPlanning();
  state_.NotifyOne(WorkSignal::kWriteBatch);
  state_.NotifyOne(WorkSignal::kCloudCall);
}

void TakeoverLoop::Follow(const Leadership& leadership, Revision revision,
                          const std::stop_token& stop) {
  Backoff backoff = LoopBackoff();
  const auto leading = [&] { return state_.HoldsLeadership(leadership); };
  RepeatWhile(stop, backoff, leading, [&] {
    const WatchResult watch = watch_store_.Watch(records::kJobPrefix, revision, kWatchTimeout);
    if (watch.status != StoreStatus::kOk) return StepResult::kFailed;
    backoff.Reset();
    JobEvents changes{watch.events, watch.revision};
    if (watch.too_old) {
      auto jobs = ReadJobs(leadership, backoff, stop);
      if (!jobs) return StepResult::kSucceeded;  // the leadership has ended
      changes = std::move(*jobs);
    }
    revision = changes.revision;
    std::scoped_lock lock(state_.mutex());
    if (state_.leadership() != leadership) return StepResult::kSucceeded;
    for (const WatchEvent& event : changes.events) ApplyJobEvent(event);
    if (!changes.events.empty()) state_.RequestPlanning();
    return StepResult::kSucceeded;
  });
}

// Removed jobs need no event, because only the leader, which is this controller, makes jobs final.
std::optional<TakeoverLoop::JobEvents> TakeoverLoop::ReadJobs(const Leadership& leadership,
                                                              Backoff& backoff,
                                                              const std::stop_token& stop) {
  JobEvents jobs;
  std::string after;
  for (bool more = true; more;) {
    const RangeResult range = store_.Range(records::kJobPrefix, after, kRangePageSize);
    if (range.status != StoreStatus::kOk) {
      if (stop.stop_requested() || !state_.HoldsLeadership(leadership)) return std::nullopt;
      SleepFor(backoff.Next(ThreadRandom()), stop);
      continue;
    }
    if (jobs.revision.value == 0) jobs.revision = range.revision;
    for (const StoreEntry& entry : range.entries) {
      jobs.events.push_back({entry.key, entry.value, entry.revision});
      after = entry.key;
    }
    more = range.more && !range.entries.empty();
  }
  return jobs;
}

void TakeoverLoop::ApplyJobEvent(const WatchEvent& event) {
  Scheduler& scheduler = state_.scheduler();
  if (!event.value) {
    const std::size_t prefix_length = std::string_view(records::kJobPrefix).size();
    scheduler.OnJobRemoved({event.key.substr(prefix_length)}, event.revision);
    return;
  }
  LoadRecord(event.key, [&] {
    const records::JobRecord record = records::JobFromJson(*event.value);
    scheduler.LoadJob(record.spec, record.must_stop(), event.revision);
  });
}

}  // namespace magpie
