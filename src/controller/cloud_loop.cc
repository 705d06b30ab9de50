#include "controller/cloud_loop.h"

#include <spdlog/spdlog.h>

#include <mutex>
#include <vector>

#include "clock/clock.h"

namespace magpie {
namespace {

constexpr Seconds kInitialRetryDelay{0.3};
constexpr Seconds kMaxRetryDelay{5};
// An older decision to release machines is dropped: if this process was suspended, another
// controller may have become the leader and may be using the machines.
constexpr Seconds kMaxReleaseDecisionAge{1};

StepResult ResultOf(CloudStatus status) {
  return status == CloudStatus::kOk || status == CloudStatus::kNoCapacity ? StepResult::kSucceeded
                                                                          : StepResult::kFailed;
}

}  // namespace

CloudLoop::CloudLoop(LeaderState& state, CloudClient& cloud, Options options)
    : state_(state), cloud_(cloud), options_(options) {}

void CloudLoop::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) {
    RepeatUntilStopped(stop, {kInitialRetryDelay, kMaxRetryDelay},
                       [&] { return MakeNextCall(stop); });
  });
}

StepResult CloudLoop::MakeNextCall(const std::stop_token& stop) {
  if (latest_call_) SleepFor(*latest_call_ + options_.min_call_interval - SteadyNow(), stop);
  const auto call = state_.WaitForWork(stop, WorkSignal::kCloudCall, [this] { return NextCall(); });
  if (!call) return StepResult::kFailed;  // stopped
  latest_call_ = SteadyNow();
  return MakeCall(*call, *latest_call_);
}

std::optional<CloudCall> CloudLoop::NextCall() {
  if (SteadyNow() - state_.store_reached_at() >= options_.leader_lease) return std::nullopt;
  return state_.scheduler().NextCloudCall(SteadyNow());
}

StepResult CloudLoop::MakeCall(const CloudCall& call, Instant decided_at) {
  switch (call.kind) {
    case CloudCall::Kind::kList:
      return ListMachines();
    case CloudCall::Kind::kProvision:
      return Provision(call);
    case CloudCall::Kind::kRelease:
      return Release(call, decided_at);
  }
  return StepResult::kFailed;
}

StepResult CloudLoop::ListMachines() {
  const auto machines = cloud_.List();
  std::scoped_lock lock(state_.mutex());
  if (machines)
    state_.scheduler().OnList(*machines, SteadyNow());
  else
    state_.scheduler().OnListFailed(SteadyNow());
  return machines ? StepResult::kSucceeded : StepResult::kFailed;
}

StepResult CloudLoop::Provision(const CloudCall& call) {
  const ProvisionResult result = cloud_.Provision(call.scale_out);
  {
    std::scoped_lock lock(state_.mutex());
    switch (result.status) {
      case CloudStatus::kOk:
        state_.scheduler().OnProvisioned(call, result.machines, SteadyNow());
        break;
      case CloudStatus::kNoCapacity:
        state_.scheduler().OnProvisioningRefused(call, SteadyNow());
        break;
      case CloudStatus::kRefused:
      case CloudStatus::kUnknown:
        state_.scheduler().OnProvisioningUnconfirmed(call);
        break;
    }
  }
  spdlog::info("machines provisioned requested={} provisioned={} type={} zone={} spot={}",
               call.scale_out.count, result.machines.size(), call.scale_out.kind.type,
               call.scale_out.kind.zone, call.scale_out.kind.spot);
  return ResultOf(result.status);
}

StepResult CloudLoop::Release(const CloudCall& call, Instant decided_at) {
  CloudStatus status = CloudStatus::kUnknown;
  if (SteadyNow() - decided_at < kMaxReleaseDecisionAge) status = cloud_.Release(call.release);
  {
    std::scoped_lock lock(state_.mutex());
    if (status == CloudStatus::kOk) {
      state_.scheduler().OnReleased(call, SteadyNow());
      state_.RequestPlanning();
    } else {
      state_.scheduler().OnReleaseUnconfirmed(call);
    }
  }
  for (const MachineId& machine : call.release)
    spdlog::info("machine released machine={} confirmed={}", machine.value,
                 status == CloudStatus::kOk);
  return ResultOf(status);
}

}  // namespace magpie
