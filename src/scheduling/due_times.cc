#include "scheduling/due_times.h"

#include <algorithm>
#include <utility>

namespace magpie {

Seconds DueTimeCalculator::RunTimeOnLargestType(const JobSpec& spec) const {
  const MachineType* largest = nullptr;
  for (const MachineType& type : autoscaler_.types())
    if (largest == nullptr || type.capacity.cpus > largest->capacity.cpus) largest = &type;
  return largest == nullptr ? spec.estimate : run_times_.ExpectedOnType(spec, largest->name);
}

std::vector<DueTimeCalculator::Target> DueTimeCalculator::TargetsOfClass(const JobSpec& spec,
                                                                         Seconds run_time) const {
  std::vector<Target> targets;
  if (spec.deadline) targets.push_back({*spec.deadline, *spec.deadline});
  for (const Objective& objective : options_.objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "finished") targets.push_back({objective.limit, objective.limit});
    if (objective.kind == "wait") targets.push_back({objective.limit + run_time, objective.limit});
    if (objective.kind == "deadline" && spec.deadline && objective.deadline_factor > 1) {
      const Seconds extended = objective.deadline_factor * *spec.deadline;
      targets.push_back({extended, extended});
    }
  }
  return targets;
}

std::vector<DueTimeCalculator::Target> DueTimeCalculator::TargetsOfGuarantee(
    const Job& job, Seconds run_time) const {
  std::vector<Target> targets;
  if (!job.within_guarantee) return targets;
  for (const Objective& objective : options_.objectives)
    if (objective.kind == "guarantee")
      targets.push_back({objective.limit + run_time, objective.limit});
  return targets;
}

DueTimes DueTimeCalculator::DueTimesOfTargets(const JobSpec& spec, std::vector<Target> targets,
                                              Seconds age, Seconds run_time) const {
  constexpr double kLongOverdueFactor = 5;  // times the latest target
  if (targets.empty()) {
    const Seconds target = options_.weights.target_factor * run_time;
    targets.push_back({target, target});
  }
  std::sort(targets.begin(), targets.end());
  DueTimes due;
  due.target = targets.front().finish - age;
  due.run_time = run_time;
  if (spec.kind == JobKind::kService) return due;
  due.long_overdue = age >= kLongOverdueFactor * targets.back().finish;
  for (const Target& target : targets) {
    if (due.targets.empty()) due.target = target.finish - age;
    if (age <= target.attainable_until) due.targets.push_back(target.finish - age);
  }
  return due;
}

DueTimes DueTimeCalculator::Calculate(const Job& job, WallTime wall) const {
  const JobSpec& spec = job.spec;
  const Seconds age = wall - spec.submitted;
  const Seconds run_time = RunTimeOnLargestType(spec);
  const std::vector<Target> class_targets = TargetsOfClass(spec, run_time);
  DueTimes due = DueTimesOfTargets(spec, class_targets, age, run_time);
  const Seconds provisioning_target = due.target;
  std::vector<Target> targets = TargetsOfGuarantee(job, run_time);
  if (!targets.empty()) {
    targets.insert(targets.end(), class_targets.begin(), class_targets.end());
    due = DueTimesOfTargets(spec, std::move(targets), age, run_time);
  }
  due.provisioning_target = provisioning_target;
  return due;
}

}  // namespace magpie
