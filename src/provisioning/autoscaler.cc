#include "provisioning/autoscaler.h"

#include <algorithm>
#include <limits>

#include "provisioning/machine_fit.h"

namespace magpie {

void Autoscaler::SetTypes(std::vector<MachineType> types) { types_ = std::move(types); }

void Autoscaler::SetBootTime(const std::string& name, Seconds boot) {
  for (MachineType& type : types_)
    if (type.name == name) type.boot_time = boot;
}

const MachineType* Autoscaler::Find(const std::string& name) const {
  for (const MachineType& type : types_)
    if (type.name == name) return &type;
  return nullptr;
}

bool Autoscaler::CanEverRun(const JobSpec& spec) const {
  return std::any_of(types_.begin(), types_.end(), [&](const MachineType& type) {
    if (!spec.per_task.Fits(type.capacity) || !AllowsType(spec, type.name)) return false;
    return !spec.zone || type.zones.empty() ||
           std::find(type.zones.begin(), type.zones.end(), *spec.zone) != type.zones.end();
  });
}

bool Autoscaler::MayRequest(const MachineKind& kind,
                            const std::map<MachineKind, int>& machines_by_kind, Instant now) const {
  constexpr Seconds kMinRetryInterval{2};
  const auto refusal = refusals_.find(kind);
  if (refusal == refusals_.end()) return true;
  const auto count = machines_by_kind.find(kind);
  const int machines = count == machines_by_kind.end() ? 0 : count->second;
  const Seconds elapsed = now - refusal->second.at;
  // At the refusal, the cluster had all machines of the kind that the cloud could provide. If it
  // has fewer now, the cloud may have some again.
  return elapsed > options_.provision_retry_delay ||
         (machines < refusal->second.machine_count && elapsed > kMinRetryInterval);
}

double Autoscaler::CheapestPricePerTask(const JobSpec& spec) const {
  double cheapest = std::numeric_limits<double>::infinity();
  for (const MachineType& type : types_) {
    const std::uint32_t tasks = TasksThatFit(type.capacity, spec.per_task);
    if (tasks > 0)
      cheapest = std::min(cheapest, (spec.spot ? type.spot_price : type.price) / tasks);
  }
  return cheapest;
}

std::optional<Autoscaler::Offer> Autoscaler::ChooseMachine(
    const CapacityDemand& demand, const std::map<MachineKind, int>& machines_by_kind,
    Instant now) const {
  const JobSpec& spec = *demand.spec;
  std::map<std::string, int> machines_by_zone;
  for (const auto& [kind, machines] : machines_by_kind) machines_by_zone[kind.zone] += machines;
  const double max_price = options_.max_price_ratio * CheapestPricePerTask(spec);
  std::optional<Offer> best;
  Cost best_cost;
  for (const MachineType& type : types_) {
    const std::uint32_t fitting = TasksThatFit(type.capacity, spec.per_task);
    if (fitting == 0 || !AllowsType(spec, type.name)) continue;
    const std::uint32_t tasks = std::min(fitting, demand.tasks);
    const Seconds image_fetch_time{type.fetch_gb_per_s > 0 ? spec.image_gb / type.fetch_gb_per_s
                                                           : 0};
    const Seconds ready = type.boot_time + image_fetch_time;
    const bool late = ready + demand.run_time(type) > demand.target;
    for (const std::string& zone : type.zones) {
      if ((spec.zone && *spec.zone != zone) || !demand.zone_allowed(zone)) continue;
      for (const bool spot : {false, true}) {
        if (spot && !spec.spot) continue;
        const MachineKind kind{type.name, zone, spot};
        if (!MayRequest(kind, machines_by_kind, now)) continue;
        const double price = (spot ? type.spot_price : type.price) / tasks;
        if (!demand.required && price > max_price) continue;
        const Cost cost{late, price, machines_by_zone[zone]};
        if (best && !(cost < best_cost)) continue;
        best_cost = cost;
        best = Offer{kind, &type, ready};
      }
    }
  }
  return best;
}

void Autoscaler::OnRefused(const MachineKind& kind, int machine_count, Instant now) {
  refusals_[kind] = {machine_count, now};
}

}  // namespace magpie
