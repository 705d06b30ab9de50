#include "scheduling/headroom_planner.h"

#include <algorithm>
#include <cmath>

#include "provisioning/machine_fit.h"
#include "scheduling/job_shape.h"

namespace magpie {
namespace {

constexpr Seconds kArrivalDecayTime{120};  // after which the weight of an arrival is 1/e

double Decay(Seconds age) { return std::exp(-age.value / kArrivalDecayTime.value); }

double RunningReplicas(const JobTable& jobs) {
  double replicas = 0;
  for (const auto& [id, job] : jobs.all())
    if (job->spec.kind == JobKind::kService) replicas += job->bound;
  return replicas;
}

}  // namespace

void HeadroomPlanner::RecordArrival(const Job& job, std::uint32_t tasks, Instant now) {
  // Services are grouped by class and image, arrays by class alone.
  const bool is_service = job.spec.kind == JobKind::kService;
  RecentClass& recent =
      recent_classes_[job.spec.job_class + (is_service ? " " + job.spec.image : "")];
  const Seconds age = std::max(Seconds{0}, now - recent.at);
  recent.arrived_tasks = recent.arrived_tasks * Decay(age) + tasks;
  recent.spec = job.spec;
  recent.image = job.image;
  recent.at = now;
}

void HeadroomPlanner::ReserveForServices(PlanningRound& round, Instant now) {
  const std::map<std::string, ShapeDemand> demands = ReserveForImages(round, now);
  const double running_replicas = RunningReplicas(state_.jobs);
  for (const auto& [shape, demand] : demands) ReserveForShape(round, demand, running_replicas, now);
}

std::map<std::string, HeadroomPlanner::ShapeDemand> HeadroomPlanner::ReserveForImages(
    PlanningRound& round, Instant now) {
  std::map<std::string, ShapeDemand> demands;
  for (auto position = recent_classes_.begin(); position != recent_classes_.end();) {
    const RecentClass& recent = position->second;
    const Seconds age = now - recent.at;
    if (age > state_.options.headroom_duration) {
      position = recent_classes_.erase(position);
      continue;
    }
    ++position;
    if (recent.spec.kind != JobKind::kService) continue;
    ShapeDemand& demand = demands[ShapeOf(recent.spec)];
    demand.spec = &recent.spec;
    demand.images.push_back(recent.image);
    demand.arrived_tasks += recent.arrived_tasks * Decay(age);
    if (age < kArrivalDecayTime) demand.largest = std::max(demand.largest, recent.spec.tasks);
    for (std::uint32_t i = 0; i < state_.options.headroom; ++i) {
      ReserveReplica(round, recent, now);
      ++demand.reserved;
    }
  }
  return demands;
}

HeadroomPlanner::Preference HeadroomPlanner::PreferenceOf(
    const PlannedMachine& planned, const std::vector<std::uint32_t>& images) const {
  Preference preference;
  preference.unavailable_now = !planned.available_now;
  preference.unneeded = !planned.needed;
  preference.price = state_.kinds.all()[planned.kind].type->price;
  for (const std::uint32_t image : images)
    if (planned.machine == nullptr || !HasImage(*planned.machine, image))
      ++preference.missing_images;
  return preference;
}

void HeadroomPlanner::ReserveReplica(PlanningRound& round, const RecentClass& recent,
                                     Instant now) const {
  const Resources& per_task = recent.spec.per_task;
  const std::vector<std::uint32_t> images{recent.image};
  std::optional<std::size_t> best;
  Preference best_preference;
  for (std::size_t kind = 0; kind < round.plan.by_kind().size(); ++kind) {
    const std::vector<std::size_t>& machines = round.plan.by_kind()[kind];
    if (machines.empty() || !CanRunOnKind(recent.spec, state_.kinds.all()[kind])) continue;
    for (const std::size_t machine_index : machines) {
      const PlannedMachine& planned = round.plan.machines()[machine_index];
      if (!per_task.Fits(planned.timeline.free())) continue;
      const Preference preference = PreferenceOf(planned, images);
      if (best && !(preference < best_preference)) continue;
      best = machine_index;
      best_preference = preference;
    }
  }
  if (best) {
    round.plan.Reserve(*best, now, per_task, std::nullopt);
  } else if (round.may_scale_out) {
    Provision(round, recent.spec, 1, now);
  }
}

std::uint32_t HeadroomPlanner::ReplicasToReserve(const ShapeDemand& demand,
                                                 double running_replicas) const {
  // Arrivals count only up to this fraction of the running replicas, so that a burst, for example
  // after a long outage, is not mistaken for the usual rate.
  constexpr double kMaxArrivingFraction = 0.1;
  Seconds longest_boot{};
  for (const MachineType& type : state_.autoscaler.types())
    longest_boot = std::max(longest_boot, type.boot_time);
  const double arriving =
      std::min(demand.arrived_tasks / kArrivalDecayTime.value * longest_boot.value,
               kMaxArrivingFraction * running_replicas);
  const double largest = demand.largest > 1 ? demand.largest : 0;
  const auto replicas =
      static_cast<std::uint32_t>(std::ceil(state_.options.headroom * std::max(largest, arriving)));
  return replicas <= demand.reserved ? 0 : replicas - demand.reserved;
}

void HeadroomPlanner::ReserveForShape(PlanningRound& round, const ShapeDemand& demand,
                                      double running_replicas, Instant now) const {
  std::uint32_t replicas = ReplicasToReserve(demand, running_replicas);
  if (replicas == 0) return;
  replicas = ReserveOnMachines(round, demand, replicas, now);
  while (replicas > 0 && round.may_scale_out) {
    const std::uint32_t fitting = Provision(round, *demand.spec, replicas, now);
    if (fitting == 0) break;
    replicas -= std::min(replicas, fitting);
  }
}

std::uint32_t HeadroomPlanner::ReserveOnMachines(PlanningRound& round, const ShapeDemand& demand,
                                                 std::uint32_t replicas, Instant now) const {
  const JobSpec& spec = *demand.spec;
  struct Option {
    Preference preference;
    std::size_t machine_index = 0;
    auto operator<=>(const Option&) const = default;
  };
  std::vector<Option> options;
  const std::vector<PlannedMachine>& machines = round.plan.machines();
  for (std::size_t i = 0; i < machines.size(); ++i)
    if (spec.per_task.Fits(machines[i].timeline.free()) &&
        CanRunOnKind(spec, state_.kinds.all()[machines[i].kind]))
      options.push_back({PreferenceOf(machines[i], demand.images), i});
  std::sort(options.begin(), options.end());
  // The replicas of a spread service must not all be in one zone.
  const std::uint32_t max_per_zone = spec.spread ? (replicas + 1) / 2 : replicas;
  std::map<std::string, std::uint32_t> reserved_by_zone;
  for (const Option& option : options) {
    const PlannedMachine& planned = machines[option.machine_index];
    std::uint32_t& reserved = reserved_by_zone[state_.kinds.all()[planned.kind].kind.zone];
    while (replicas > 0 && reserved < max_per_zone && spec.per_task.Fits(planned.timeline.free())) {
      round.plan.Reserve(option.machine_index, now, spec.per_task, std::nullopt);
      ++reserved;
      --replicas;
    }
    if (replicas == 0) break;
  }
  return replicas;
}

std::uint32_t HeadroomPlanner::Provision(PlanningRound& round, const JobSpec& spec,
                                         std::uint32_t replicas, Instant now) const {
  constexpr Seconds kNoTarget{1e9};  // so far away that only the price matters
  CapacityDemand demand;
  demand.spec = &spec;
  demand.zone_allowed = [](const std::string&) { return true; };
  demand.tasks = replicas;
  demand.target = kNoTarget;
  demand.run_time = [](const MachineType&) { return Seconds{}; };
  const auto offer = state_.autoscaler.ChooseMachine(demand, round.machines_by_kind, now);
  round.is_time_dependent = true;
  if (!offer) return 0;
  ++round.scale_outs[offer->kind];
  ++round.machines_by_kind[offer->kind];
  return TasksThatFit(offer->type->capacity, spec.per_task);
}

void HeadroomPlanner::ReserveSpotMachines(PlanningRound& round, Instant now) const {
  for (const auto& [name, recent] : recent_classes_) {
    const JobSpec& spec = recent.spec;
    if (spec.kind != JobKind::kArray || now - recent.at > state_.options.spot_idle_timeout)
      continue;
    std::uint32_t tasks = spec.tasks;
    // Machines that are needed anyway are reserved first.
    for (const bool needed : {true, false}) {
      for (std::size_t i = 0; i < round.plan.machines().size() && tasks > 0; ++i) {
        const PlannedMachine& planned = round.plan.machines()[i];
        const KindInfo& kind = state_.kinds.all()[planned.kind];
        if (planned.needed != needed || !kind.kind.spot || !CanRunOnKind(spec, kind)) continue;
        while (tasks > 0 && spec.per_task.Fits(planned.timeline.free())) {
          round.plan.Reserve(i, now, spec.per_task, std::nullopt);
          --tasks;
        }
      }
    }
  }
}

}  // namespace magpie
