// Applies the task statuses in a worker's messages.
//
// A result is accepted from any attempt, provided that no other attempt is bound to a machine. Any
// other end is accepted only for the attempt bound to the sender, and only if the worker has seen a
// token of this term. Without such a token, the message may be a delayed copy, and the worker may
// have started the same attempt again after a forget command or in a new agent epoch.
#pragma once

#include <cstdint>

#include "failure_attribution/failure_attribution.h"
#include "model/time.h"
#include "model/worker_messages.h"
#include "scheduling/cluster_state.h"
#include "scheduling/slow_machine_detector.h"
#include "scheduling/task_lifecycle.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class TaskStatusProcessor {
 public:
  // All arguments must outlive this object.
  TaskStatusProcessor(ClusterState& state, TaskLifecycle& lifecycle,
                      SlowMachineDetector& slow_machines)
      : state_(state), lifecycle_(lifecycle), slow_machines_(slow_machines) {}

  void Apply(Machine& machine, const TaskStatus& status, Instant now);

 private:
  void ApplyToUnboundAttempt(Job& job, const TaskStatus& status, Instant now);
  void ApplyActive(Machine& machine, Job& job, const TaskStatus& status, Instant now);
  void ApplyEnded(Machine& machine, Job& job, const TaskStatus& status, Instant now);
  void ApplyCompleted(Machine& machine, Job& job, std::uint32_t index, Instant now);
  // Cordons the machines that the verdict names as faulty.
  void ApplyVerdict(const FailureAttribution::Verdict& verdict);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  SlowMachineDetector& slow_machines_;
};

}  // namespace magpie
