#include "controller/control_key_watcher.h"

#include <utility>

#include "controller/watch_settings.h"
#include "records/records.h"

namespace magpie {

ControlKeyWatcher::ControlKeyWatcher(KeyValueStore& store, std::function<void()> on_change)
    : store_(store), on_change_(std::move(on_change)) {}

void ControlKeyWatcher::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) {
    RepeatUntilStopped(stop, LoopBackoff(), [this] { return WatchOnce(); });
  });
}

StepResult ControlKeyWatcher::WatchOnce() {
  if (watched_revision_.value == 0) {
    const RangeResult range = store_.Range(records::kControlPrefix, "", 1);
    if (range.status != StoreStatus::kOk) return StepResult::kFailed;
    watched_revision_ = range.revision;
  }
  const WatchResult watch = store_.Watch(records::kControlPrefix, watched_revision_, kWatchTimeout);
  if (watch.status != StoreStatus::kOk || watch.too_old) {
    watched_revision_ = {};
    return StepResult::kFailed;
  }
  watched_revision_ = watch.revision;
  if (!watch.events.empty()) on_change_();
  return StepResult::kSucceeded;
}

}  // namespace magpie
