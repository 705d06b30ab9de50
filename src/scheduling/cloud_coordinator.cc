#include "scheduling/cloud_coordinator.h"

#include <algorithm>
#include <utility>

namespace magpie {

void CloudCoordinator::Start(std::string request_prefix, Instant now) {
  request_prefix_ = std::move(request_prefix);
  requests_made_ = 0;
  next_list_ = now;
  next_scale_out_ = now;
}

void CloudCoordinator::Clear() {
  scale_outs_.clear();
  pending_scale_outs_.clear();
  pending_releases_.clear();
  list_in_flight_ = false;
  list_received_ = false;
}

bool CloudCoordinator::MayScaleOut(Instant now) const {
  return pending_scale_outs_.empty() && list_received_ && now >= next_scale_out_;
}

void CloudCoordinator::ScaleOut(const MachineKind& kind, std::uint32_t count) {
  CloudCall call;
  call.kind = CloudCall::Kind::kProvision;
  call.scale_out = {request_prefix_ + std::to_string(++requests_made_), kind,
                    std::min(count, state_.autoscaler.options().max_per_request)};
  pending_scale_outs_.insert(call.scale_out.name);
  scale_outs_.push_back(std::move(call));
}

void CloudCoordinator::Release(Machine& machine) {
  machine.releasing = true;
  pending_releases_.insert(machine.id);
  state_.signals.MarkChanged();
}

std::optional<CloudCall> CloudCoordinator::NextCall(Instant now) {
  constexpr std::size_t kMaxReleasedPerCall = 100;
  if (!state_.term.loaded) return std::nullopt;
  if (!scale_outs_.empty()) {
    CloudCall call = std::move(scale_outs_.front());
    scale_outs_.pop_front();
    return call;
  }
  CloudCall release;
  release.kind = CloudCall::Kind::kRelease;
  while (!pending_releases_.empty() && release.release.size() < kMaxReleasedPerCall)
    release.release.push_back(pending_releases_.extract(pending_releases_.begin()).value());
  if (!release.release.empty()) return release;
  if (!list_in_flight_ && now >= next_list_) {
    list_in_flight_ = true;
    return CloudCall{};
  }
  return std::nullopt;
}

bool CloudCoordinator::IsFromThisTerm(const CloudCall& call) const {
  return state_.term.loaded && call.scale_out.name.starts_with(request_prefix_);
}

void CloudCoordinator::OnProvisioned(const CloudCall& call, const std::vector<MachineId>& machines,
                                     Instant now) {
  if (!IsFromThisTerm(call)) return;
  pending_scale_outs_.erase(call.scale_out.name);
  for (const MachineId& id : machines) {
    if (state_.machines.WasReleased(id)) continue;
    Machine& machine = state_.FindOrCreateMachine(id, now);
    if (machine.up) continue;
    machine.type = call.scale_out.kind.type;
    machine.zone = call.scale_out.kind.zone;
    machine.spot = call.scale_out.kind.spot;
    machine.kind.reset();
    machine.provisioned_by_leader = true;
  }
  state_.signals.MarkChanged();
  if (machines.size() < call.scale_out.count)
    state_.autoscaler.OnRefused(call.scale_out.kind,
                                state_.machines.CountOfKind(call.scale_out.kind), now);
}

void CloudCoordinator::OnProvisioningRefused(const CloudCall& call, Instant now) {
  pending_scale_outs_.erase(call.scale_out.name);
  state_.autoscaler.OnRefused(call.scale_out.kind, state_.machines.CountOfKind(call.scale_out.kind),
                              now);
  next_scale_out_ = now;
  state_.signals.MarkChanged();
}

void CloudCoordinator::OnProvisioningUnconfirmed(const CloudCall& call) {
  if (!IsFromThisTerm(call)) return;
  scale_outs_.push_back(call);  // the retry has the same name, so it provisions no further machines
}

void CloudCoordinator::OnReleased(const CloudCall& call, Instant now) {
  if (!state_.term.loaded) return;
  for (const MachineId& id : call.release) RemoveMachine(id, now);
}

void CloudCoordinator::OnReleaseUnconfirmed(const CloudCall& call) {
  for (const MachineId& id : call.release)
    if (state_.machines.Find(id) != nullptr) pending_releases_.insert(id);
}

// Called once the cloud has confirmed the release. From then on, no task runs on the machine and
// none can start there.
void CloudCoordinator::RemoveMachine(const MachineId& id, Instant now) {
  state_.machines.RecordReleased(id);
  state_.failure_attribution.Forget(id);
  Machine* machine = state_.machines.Find(id);
  if (machine == nullptr) return;
  if (machine->awaiting_reconciliation) --state_.reconciliation.unreconciled;
  const std::vector<HeldTask> tasks = machine->tasks;
  for (const HeldTask& held : tasks) {
    constexpr UnbindReason kReason = UnbindReason::kMachineReleased;
    lifecycle_.FinishAttempt(*held.job, held.index, kReason, now);
    // An ended task stays on its machine until its end is durable; the machine no longer exists.
    if (held.task().machine != nullptr) lifecycle_.Unbind(*held.job, held.index, kReason, now);
  }
  pending_releases_.erase(id);
  state_.machines.Remove(*machine);
  state_.signals.MarkChanged();
}

void CloudCoordinator::OnList(const std::vector<ListedMachine>& machines, Instant now) {
  list_in_flight_ = false;
  next_list_ = now + state_.options.list_interval;
  if (!state_.term.loaded) return;
  if (!std::exchange(list_received_, true)) state_.signals.MarkChanged();
  for (const ListedMachine& listed : machines)
    if (!state_.machines.WasReleased(listed.id)) ApplyListed(listed, now);
}

void CloudCoordinator::ApplyListed(const ListedMachine& listed, Instant now) {
  const bool known = state_.machines.Find(listed.id) != nullptr;
  Machine& machine = state_.FindOrCreateMachine(listed.id, now);
  if (!known) machine.created_at = now - listed.age;
  if (machine.type.empty()) {
    machine.type = listed.type;
    machine.spot = listed.spot;
    machine.kind.reset();
    if (machine.zone.empty()) machine.zone = listed.zone;
    machine.created_at = now - listed.age;
    state_.signals.MarkChanged();
  }
  if (machine.addr.empty()) machine.addr = listed.addr;
  machine.listed_running = listed.state == ListedMachine::State::kRunning;
  if (listed.state == ListedMachine::State::kFailed && !machine.releasing) {
    machine.listed_failed = true;
    Release(machine);
  }
}

void CloudCoordinator::OnListFailed(Instant now) {
  list_in_flight_ = false;
  next_list_ = now + state_.options.list_interval;
}

}  // namespace magpie
