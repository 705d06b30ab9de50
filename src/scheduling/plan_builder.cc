#include "scheduling/plan_builder.h"

#include <algorithm>
#include <utility>

namespace magpie {
namespace {

// Heartbeat intervals without a heartbeat after which a machine is left out of the plan.
constexpr double kMaxMissedIntervals = 2.5;
constexpr Seconds kStopDuration{1};  // until the resources of a stopped task are free

// Whether the machine may be released or drained only because time passes.
bool MayChangeWithTime(const Machine& machine, const MachineType& type) {
  const bool mostly_unused = 2 * machine.used.cpus <= type.capacity.cpus;
  return !machine.up || machine.tasks.empty() ||
         (machine.array_tasks == 0 && !machine.spot && mostly_unused);
}

Resources FreeResources(const Machine& machine, const MachineType& type) {
  Resources free = type.capacity;
  free -= machine.used;
  return free;
}

}  // namespace

bool IsSchedulable(const Machine& machine) {
  return !machine.releasing && !machine.cordoned && !machine.draining &&
         !machine.preemption_deadline && !machine.inbound_unreachable;
}

void PlanBuilder::AddMachines(PlanningRound& round, Instant now) {
  capacity_.by_kind.assign(state_.kinds.all().size(), {});
  without_services_ = {};
  busy_cpu_time_ = {};
  const MachineTable::Machines& machines = state_.machines.all();
  round.plan.ExpectMachines(machines.size());
  state_.counters.machines_inspected += machines.size();
  for (const auto& [id, machine] : machines) {
    const std::optional<std::size_t> kind_number = KindOf(*machine);
    if (!kind_number) continue;
    const KindInfo& kind = state_.kinds.all()[*kind_number];
    if (capacity_.by_kind.size() < state_.kinds.all().size())
      capacity_.by_kind.resize(state_.kinds.all().size());
    ++capacity_.by_kind[*kind_number].machines;
    round.is_time_dependent |= MayChangeWithTime(*machine, *kind.type);
    if (IsSchedulable(*machine)) AddMachine(round, *machine, kind, now);
  }
  for (std::size_t priority = 0; priority < busy_cpu_time_.size(); ++priority)
    capacity_.remaining_run_time.at(priority) =
        (1 / std::max(without_services_.cpus, 1.0)) * busy_cpu_time_.at(priority);
  capacity_.array_cpus = without_services_.cpus;
  for (std::size_t kind = 0; kind < capacity_.by_kind.size(); ++kind)
    if (capacity_.by_kind[kind].machines > 0)
      round.machines_by_kind[state_.kinds.all()[kind].kind] = capacity_.by_kind[kind].machines;
}

std::optional<std::size_t> PlanBuilder::KindOf(Machine& machine) {
  if (machine.type.empty()) return std::nullopt;
  if (!machine.kind)
    machine.kind = state_.kinds.NumberOf({machine.type, machine.zone, machine.spot});
  if (state_.kinds.all()[*machine.kind].type == nullptr) return std::nullopt;
  return machine.kind;
}

void PlanBuilder::AddMachine(PlanningRound& round, Machine& machine, const KindInfo& kind,
                             Instant now) {
  const std::optional<Instant> available_from = AvailableFrom(round, machine, *kind.type, now);
  if (!available_from) return;
  PlannedMachine planned{&machine, *machine.kind,
                         ResourceTimeline(FreeResources(machine, *kind.type), *available_from),
                         machine.up && !machine.addr.empty(), !machine.tasks.empty()};
  const Resources without_services = AddTasks(round, planned, *kind.type, now);
  capacity_.by_kind[*machine.kind].without_services += without_services;
  without_services_ += without_services;
  round.plan.Add(std::move(planned));
}

std::optional<Instant> PlanBuilder::AvailableFrom(PlanningRound& round, const Machine& machine,
                                                  const MachineType& type, Instant now) const {
  constexpr Seconds kMinRemainingBootTime{1};
  if (!machine.up) {
    const bool late = now - machine.created_at > state_.boot_times.LateAfter(machine.type, now);
    if (machine.tasks.empty() && late) return std::nullopt;
    return std::max(now + kMinRemainingBootTime, machine.created_at + type.boot_time);
  }
  const Seconds heartbeat_age = now - machine.last_heartbeat;
  if (heartbeat_age > kMaxMissedIntervals * state_.options.heartbeat_interval || machine.suspected)
    return std::nullopt;
  const FailureAttribution& failures = state_.failure_attribution;
  if (!failures.quiet() && now < failures.SuspectedUntil(machine.id)) {
    round.is_time_dependent = true;
    return std::nullopt;
  }
  return now;
}

Resources PlanBuilder::AddTasks(PlanningRound& round, PlannedMachine& planned,
                                const MachineType& type, Instant now) {
  const Machine& machine = *planned.machine;
  Resources without_services = type.capacity;
  for (const HeldTask& held : machine.tasks) {
    const Job& job = *held.job;
    const JobSpec& spec = job.spec;
    if (!held.task().holds_resources) continue;
    if (spec.kind == JobKind::kArray) {
      const Instant end = state_.run_times.ExpectedEnd(job, held.task(), machine, now);
      planned.timeline.AddRelease(end, spec.per_task);
      Seconds& busy = busy_cpu_time_.at(static_cast<std::size_t>(spec.priority));
      busy = busy + spec.per_task.cpus * (end - now);
      round.lowest_array_priority = std::min(round.lowest_array_priority, spec.priority);
    } else if (job.cancelled) {
      planned.timeline.AddRelease(now + kStopDuration, spec.per_task);
    }
    if (spec.kind == JobKind::kService) without_services -= spec.per_task;
  }
  return without_services;
}

}  // namespace magpie
