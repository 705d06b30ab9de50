// Selects running array tasks to preempt for a job that would otherwise be late.
#pragma once

#include <optional>
#include <vector>

#include "model/job.h"
#include "model/time.h"
#include "scheduling/cluster_state.h"
#include "scheduling/job_state.h"
#include "scheduling/machine_state.h"
#include "scheduling/placement_plan.h"

namespace magpie {

// The tasks to stop on one machine so that a task of the preempting job fits on it.
struct Preemption {
  double lost_cpu_time = 0;  // lost run time of the victims, in seconds times CPUs
  Machine* machine = nullptr;
  std::vector<HeldTask> victims;
};

// Policy: only arrays of lower priority and lower rank are preempted, on the machines where the
// least CPU time is lost. An array does not preempt tasks if that loses more CPU time than its own
// task takes. Tasks within their team's guarantee are not preempted: once stopped they would be
// planned first again, and the capacity would alternate between both jobs.
class PreemptionPlanner {
 public:
  // `state` must outlive this object.
  explicit PreemptionPlanner(const ClusterState& state) : state_(state) {}

  // Returns the preemptions for the job's waiting tasks, at most one for each. The job then gets no
  // more preemptions until the victims should have stopped. Arrays of priority
  // `max_non_preempting_priority` and below get none.
  std::vector<Preemption> Plan(const PlanningRound& round, Job& job,
                               std::optional<Priority> max_non_preempting_priority,
                               Instant now) const;

 private:
  struct Candidate {
    double lost_cpu_time = 0;
    HeldTask task;
  };

  bool MayBePreempted(const HeldTask& held, const Job& job) const;
  bool IsAllowedOn(const PlannedMachine& planned, const Job& job) const;
  // The tasks that may be preempted on the machine, least loss first.
  std::vector<Candidate> CandidatesOn(const Machine& machine, const Job& job, Instant now) const;
  // The preemption that frees capacity for one task on the machine; nullopt if it is impossible or
  // loses too much.
  std::optional<Preemption> PreemptionOn(const PlannedMachine& planned, const Job& job,
                                         Instant now) const;
  // The first of `preemptions` that stop no guaranteed task, at most `max_count`.
  std::vector<Preemption> WithoutGuaranteedWork(const std::vector<Preemption>& preemptions,
                                                std::size_t max_count) const;

  const ClusterState& state_;
};

}  // namespace magpie
