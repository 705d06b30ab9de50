// State transitions of tasks: binding to a machine, unbinding, and the end.
//
// Invariant: a task that is binding or bound has a machine, and is in that machine's list of tasks;
// one that is ending may have a machine; any other has none. The machine's used resources, the
// job's counters, the team's usage and the numbers of tasks by zone follow from that and are
// changed only here. A task that has ended, or whose result is unconfirmed, uses no resources of
// its machine. It counts in its team's usage and in its zone until its end is durable, since a
// leader that takes over would still count it.
#pragma once

#include <cstdint>

#include "model/time.h"
#include "scheduling/cluster_state.h"
#include "scheduling/fencing_log.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class TaskLifecycle {
 public:
  // `state` must outlive this object.
  explicit TaskLifecycle(ClusterState& state) : state_(state) {}

  // Assigns a pending task to a machine as a new attempt, which is started once the binding is
  // durable. The caller removes the task from the job's pending tasks.
  void Bind(Job& job, std::uint32_t index, Machine& machine, Instant now);
  // Called when the binding is durable; requests the command that starts the task.
  void ConfirmBinding(Job& job, std::uint32_t index);
  // Removes a task from its machine, if it has one. The task is pending again unless it has ended.
  void Unbind(Job& job, std::uint32_t index, UnbindReason reason, Instant now);
  // Restores the binding of a durable record.
  void RestoreBinding(Job& job, std::uint32_t index, Machine& machine);
  // Undoes a binding restored from an older record.
  void DiscardBinding(Job& job, std::uint32_t index);

  // Records that the task completed. It is ending, and it is done once its record is durable.
  void SetDone(Job& job, std::uint32_t index, Instant now);
  // Records that the attempt has a result, but may have been started again after the worker sent
  // the result. The task uses no resources and is not started again. It stays bound, also in the
  // records, so that any leader counts it in its team's quota and in its zone until the attempt is
  // proved to have ended.
  void SetResultUnconfirmed(Job& job, std::uint32_t index);
  // Discards the start of the attempt, since it may not be running any more. If it runs later, its
  // run time is unknown.
  void ClearStart(Job& job, std::uint32_t index);
  // Ends a task of a job that is final, and removes it from its machine.
  void EndWithJob(Job& job, std::uint32_t index, Instant now);
  // Called when the bound attempt is not on its machine and can no longer start there. A task with
  // an unconfirmed result is then ending, unless its job is cancelled; any other task is unbound.
  void FinishAttempt(Job& job, std::uint32_t index, UnbindReason reason, Instant now);

  // Stops all tasks of a cancelled job.
  void StopAll(Job& job);
  // Marks a task for stopping; it is placed again after that. The caller requests the command.
  void StopTask(const HeldTask& held, Seconds termination_grace_period);

  // Whether the job's record may be replaced by its final record.
  bool IsFinal(const Job& job) const;

 private:
  void AssignToMachine(Job& job, std::uint32_t index, Machine& machine);
  void RemoveFromMachine(Job& job, std::uint32_t index);
  void FreeResources(const Job& job, Task& task);

  ClusterState& state_;
};

}  // namespace magpie
