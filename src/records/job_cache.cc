#include "records/job_cache.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "model/safety_checks.h"
#include "records/records.h"

namespace magpie {
namespace {
constexpr std::uint32_t kRangePageSize = 500;
constexpr std::size_t kMaxAnnouncedCancellations = 20000;
constexpr std::size_t kPrefixLength = std::string_view(records::kJobPrefix).size();
}  // namespace

JobCache::JobCache(KeyValueStore& store, Seconds min_read_interval, Hooks hooks)
    : store_(store), min_read_interval_(min_read_interval), hooks_(std::move(hooks)) {}

JobCache::Lookup JobCache::Find(const JobId& id) {
  std::unique_lock lock(mutex_);
  Lookup lookup{RefreshLocked(lock), std::nullopt};
  const auto it = jobs_.find(id.value);
  if (it != jobs_.end()) lookup.live = it->second;
  return lookup;
}

bool JobCache::Refresh() {
  std::unique_lock lock(mutex_);
  return RefreshLocked(lock);
}

// Waits for a read that began after the call. Returns whether the latest read reached the store.
bool JobCache::RefreshLocked(std::unique_lock<std::mutex>& lock) {
  if (IsDisabled(SafetyCheck::kReadAfterRequest) && store_reachable_) return true;
  const std::uint64_t awaited_read = reads_started_ + 1;
  while (last_ended_read_ < awaited_read) {
    if (reading_) {
      read_ended_.wait(lock);
      continue;
    }
    reading_ = true;
    const Seconds delay = next_read_ - hooks_.now();
    if (delay.value > 0) {
      lock.unlock();
      hooks_.sleep(delay);
      lock.lock();
    }
    const std::uint64_t read = ++reads_started_;
    next_read_ = hooks_.now() + min_read_interval_;
    lock.unlock();
    const bool store_reachable = ReadStore();
    lock.lock();
    store_reachable_ = store_reachable;
    reading_ = false;
    last_ended_read_ = read;
    read_ended_.notify_all();
  }
  return store_reachable_;
}

bool JobCache::Loaded() {
  std::scoped_lock lock(mutex_);
  return loaded_;
}

bool JobCache::RecordCancellation(const Cancellation& cancellation) {
  std::scoped_lock lock(mutex_);
  // Reads have covered this revision: the copy has the cancellation, or the job is final by now.
  if (cancellation.revision <= revision_ || IsDisabled(SafetyCheck::kCancellationStored))
    return true;
  const std::string& job = cancellation.job.value;
  if (announced_cancellations_.size() >= kMaxAnnouncedCancellations &&
      !announced_cancellations_.contains(job))
    return false;
  Revision& known_revision = announced_cancellations_[job];
  known_revision = std::max(known_revision, cancellation.revision);
  return true;
}

bool JobCache::IsCancelled(const JobId& id) {
  std::scoped_lock lock(mutex_);
  if (announced_cancellations_.contains(id.value)) return true;
  const auto it = jobs_.find(id.value);
  return it != jobs_.end() && (it->second.stopping || it->second.cancelled);
}

// Called by one thread at a time. The copy is changed only under the mutex.
bool JobCache::ReadStore() {
  constexpr int kMaxAttempts =
      2;  // the second one reads all jobs, if the copy was too old to be updated by a watch
  Revision revision;
  {
    std::scoped_lock lock(mutex_);
    revision = revision_;
  }
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (revision.value == 0) {
      auto snapshot = ReadAll();
      if (!snapshot) return false;
      revision = snapshot->revision;
      std::scoped_lock lock(mutex_);
      jobs_ = std::move(snapshot->jobs);
    }
    const WatchResult watch = store_.Watch(records::kJobPrefix, revision, Seconds{0});
    if (watch.status != StoreStatus::kOk) return false;
    if (ApplyWatch(watch)) return true;
    revision = {};
  }
  return false;
}

// Returns false if the copy was too old to be updated by the watch.
bool JobCache::ApplyWatch(const WatchResult& watch) {
  std::scoped_lock lock(mutex_);
  revision_ = watch.too_old ? Revision{} : watch.revision;
  if (watch.too_old) return false;
  for (const WatchEvent& event : watch.events) Apply(jobs_, event);
  loaded_ = true;
  std::erase_if(announced_cancellations_,
                [&](const auto& announced) { return announced.second <= revision_; });
  return true;
}

std::optional<JobCache::Snapshot> JobCache::ReadAll() {
  Snapshot snapshot;
  std::string after;
  for (bool more = true; more;) {
    const RangeResult range = store_.Range(records::kJobPrefix, after, kRangePageSize);
    if (range.status != StoreStatus::kOk) return std::nullopt;
    // Changes made while the pages are read arrive as events of the watch.
    if (snapshot.revision.value == 0) snapshot.revision = range.revision;
    for (const StoreEntry& entry : range.entries) {
      Apply(snapshot.jobs, {entry.key, entry.value, entry.revision});
      after = entry.key;
    }
    more = range.more && !range.entries.empty();
  }
  return snapshot;
}

void JobCache::Apply(LiveJobs& jobs, const WatchEvent& event) {
  const std::string id = event.key.substr(kPrefixLength);
  const auto it = jobs.find(id);
  if (it != jobs.end() && event.revision < it->second.revision) return;
  if (!event.value) {
    if (it != jobs.end()) jobs.erase(it);
    return;
  }
  const bool object = event.value->is_object();
  jobs[id] = {event.revision, object && event.value->value(records::kStoppingField, false),
              object && event.value->value(records::kCancelledField, false)};
}

}  // namespace magpie
