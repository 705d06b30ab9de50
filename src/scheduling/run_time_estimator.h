// Estimates the run times of tasks on each kind of machine.
//
// Invariant: a job's cached run times (Job::runs) belong to the table version in Job::runs_version.
// They are computed again after the table's version has changed.
#pragma once

#include <cstddef>
#include <string>

#include "model/ids.h"
#include "model/job.h"
#include "model/time.h"
#include "provisioning/autoscaler.h"
#include "scheduling/job_state.h"
#include "scheduling/machine_kinds.h"
#include "scheduling/machine_state.h"
#include "scheduling/run_time_table.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class RunTimeEstimator {
 public:
  // Both must outlive the estimator.
  RunTimeEstimator(const MachineKinds& kinds, const Autoscaler& autoscaler)
      : kinds_(kinds), autoscaler_(autoscaler) {}

  // The expected run time of a task of the job, without its image fetch, on a machine type, on a
  // machine kind given by its number, or on a machine.
  Seconds ExpectedOnType(const JobSpec& spec, const std::string& type) const;
  Seconds ExpectedOnKind(const Job& job, std::size_t kind) const;
  Seconds ExpectedOnMachine(const Job& job, const Machine& machine) const;
  // When the task is expected to end. A task that has exceeded its expected run time is expected to
  // run on for a fraction of its run time so far.
  Instant ExpectedEnd(const Job& job, const Task& task, const Machine& machine, Instant now) const;
  // Updates the estimates with the run time of a task of the job that completed on the machine.
  void Learn(const Machine& machine, Job& job, Seconds run_time);

 private:
  const MachineKinds& kinds_;
  const Autoscaler& autoscaler_;
  RunTimeTable table_;
};

// A number that identifies a machine in a JobPace.
std::size_t PaceKeyOf(const MachineId& id);

}  // namespace magpie
