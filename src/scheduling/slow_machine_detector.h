// Learns run times from completed tasks, and detects slow machines.
//
// A machine is slow if its latest tasks all took far longer than expected. It is cordoned, and its
// array tasks with checkpoints are moved to other machines. A single long task is no evidence, and
// several tasks of one job may be long because the job's estimate is too low. A task is therefore
// compared with tasks of its job on other machines; while too few of these are known, only the
// latest task of each job counts. A running task counts once it has run too long; it is checked
// when a worker reports it and when it becomes overdue.
#pragma once

#include <cstdint>

#include "model/time.h"
#include "scheduling/cluster_state.h"
#include "scheduling/task_lifecycle.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class SlowMachineDetector {
 public:
  // Both must outlive this object.
  SlowMachineDetector(ClusterState& state, TaskLifecycle& lifecycle)
      : state_(state), lifecycle_(lifecycle) {}

  // Called when a worker reports for the first time that the task is running.
  void OnStarted(Job& job, std::uint32_t index);
  // Called when a worker reports that the task is still running.
  void OnRunning(Job& job, std::uint32_t index, Instant now);
  // Called when a running task has completed on the machine.
  void OnCompleted(Machine& machine, Job& job, const Task& task, Instant now);
  // Checks the tasks that are overdue.
  void CheckOverdueTasks(Instant now);

 private:
  enum class RunStatus { kCompleted, kStillRunning };
  void RecordRunTime(Machine& machine, const Job& job, Seconds run_time, RunStatus status);
  void CordonSlowMachine(Machine& machine);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
};

}  // namespace magpie
