// Builds the initial plan of a round from the current machines and their tasks.
#pragma once

#include <array>
#include <optional>

#include "model/machine.h"
#include "model/resources.h"
#include "model/time.h"
#include "scheduling/cluster_capacity.h"
#include "scheduling/cluster_state.h"
#include "scheduling/machine_state.h"
#include "scheduling/placement_plan.h"

namespace magpie {

// Whether the machine's known state permits placing new tasks on it. It may still be booting or may
// have missed heartbeats.
bool IsSchedulable(const Machine& machine);

// Policy: the plan contains only machines that are likely to be usable. It leaves out machines
// without recent heartbeats, suspected machines, and machines that boot late; other machines are
// provisioned in place of the late ones.
class PlanBuilder {
 public:
  // Both must outlive this object. AddMachines overwrites `capacity`.
  PlanBuilder(ClusterState& state, ClusterCapacity& capacity)
      : state_(state), capacity_(capacity) {}

  // Adds the machines and their current tasks to the round.
  void AddMachines(PlanningRound& round, Instant now);

 private:
  // The machine's kind number; nullopt if its type is unknown or no longer offered.
  std::optional<std::size_t> KindOf(Machine& machine);
  void AddMachine(PlanningRound& round, Machine& machine, const KindInfo& kind, Instant now);
  // When the machine can start tasks; nullopt if it is left out of the plan. A machine that is
  // suspected for a limited time makes the round time-dependent.
  std::optional<Instant> AvailableFrom(PlanningRound& round, const Machine& machine,
                                       const MachineType& type, Instant now) const;
  // Adds to the timeline when array tasks and cancelled services are expected to free their
  // resources. Returns the capacity of the machine that services leave to arrays.
  Resources AddTasks(PlanningRound& round, PlannedMachine& planned, const MachineType& type,
                     Instant now);

  ClusterState& state_;
  ClusterCapacity& capacity_;
  Resources without_services_;  // of all planned machines
  // Remaining CPU time of running arrays, by priority.
  std::array<Seconds, kPriorityCount> busy_cpu_time_{};
};

}  // namespace magpie
