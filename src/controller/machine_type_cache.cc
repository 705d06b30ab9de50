#include "controller/machine_type_cache.h"

#include <utility>

namespace magpie {
namespace {
constexpr Seconds kRefreshInterval{60};
constexpr Seconds kInitialRetryDelay{0.5};
constexpr Seconds kMaxRetryDelay{5};
}  // namespace

MachineTypeCache::MachineTypeCache(LeaderState& state, CloudClient& cloud)
    : state_(state), cloud_(cloud) {}

void MachineTypeCache::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) {
    RepeatUntilStopped(stop, {kInitialRetryDelay, kMaxRetryDelay}, [&] { return Refresh(stop); });
  });
}

std::vector<MachineType> MachineTypeCache::types() const {
  std::scoped_lock lock(mutex_);
  return types_;
}

StepResult MachineTypeCache::Refresh(const std::stop_token& stop) {
  auto types = cloud_.Types();
  if (!types) return StepResult::kFailed;
  {
    std::scoped_lock lock(mutex_);
    types_ = *types;
  }
  {
    std::scoped_lock lock(state_.mutex());
    state_.scheduler().SetTypes(std::move(*types));
  }
  SleepWithJitter(kRefreshInterval, stop);
  return StepResult::kSucceeded;
}

}  // namespace magpie
