#include "scheduling/run_time_estimator.h"

#include <algorithm>
#include <functional>

#include "scheduling/image_cache.h"

namespace magpie {

Seconds RunTimeEstimator::ExpectedOnType(const JobSpec& spec, const std::string& type) const {
  return table_.ExpectedRunTime(spec, type);
}

// Planning calls this for every task and machine, so the result is cached per table version.
Seconds RunTimeEstimator::ExpectedOnKind(const Job& job, std::size_t kind) const {
  constexpr double kNotCached = -1;
  if (job.runs_version != table_.version()) {
    job.runs.assign(kinds_.all().size(), kNotCached);
    job.runs_version = table_.version();
  }
  if (job.runs.size() <= kind) job.runs.resize(kinds_.all().size(), kNotCached);
  double& run = job.runs[kind];
  if (run < 0) run = table_.ExpectedRunTime(job.spec, kinds_.all()[kind].kind.type).value;
  return {run};
}

Seconds RunTimeEstimator::ExpectedOnMachine(const Job& job, const Machine& machine) const {
  return machine.kind ? ExpectedOnKind(job, *machine.kind)
                      : table_.ExpectedRunTime(job.spec, machine.type);
}

Instant RunTimeEstimator::ExpectedEnd(const Job& job, const Task& task, const Machine& machine,
                                      Instant now) const {
  constexpr double kOverrunFraction = 0.25;  // of the run time so far
  constexpr Seconds kMinRemaining{1};
  Seconds run = ExpectedOnMachine(job, machine);
  if (!task.running) {
    const MachineType* type =
        machine.kind ? kinds_.all()[*machine.kind].type : autoscaler_.Find(machine.type);
    if (type != nullptr && type->fetch_gb_per_s > 0 && !HasImage(machine, job.image))
      run = run + Seconds{job.spec.image_gb / type->fetch_gb_per_s};
  }
  const Instant end = task.since + run;
  return end > now ? end : now + std::max(kMinRemaining, kOverrunFraction * (now - task.since));
}

void RunTimeEstimator::Learn(const Machine& machine, Job& job, Seconds run_time) {
  if (job.spec.estimate.value <= 0) return;
  table_.Learn(job.spec, machine.type, run_time);
  job.pace.Add(PaceKeyOf(machine.id), run_time.value / job.spec.estimate.value);
}

std::size_t PaceKeyOf(const MachineId& id) { return std::hash<std::string>{}(id.value); }

}  // namespace magpie
