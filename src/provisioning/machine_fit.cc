#include "provisioning/machine_fit.h"

#include <algorithm>

namespace magpie {

bool AllowsType(const JobSpec& spec, const std::string& type) {
  return !spec.types ||
         std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

std::uint32_t TasksThatFit(const Resources& capacity, const Resources& per_task) {
  constexpr double kMaxTasks = 1e6;  // for tasks that require no resources
  constexpr double kRoundingTolerance = 1e-6;
  double tasks = kMaxTasks;
  if (per_task.cpus > 0)
    tasks = std::min(tasks, (capacity.cpus + kRoundingTolerance) / per_task.cpus);
  if (per_task.gpus > 0)
    tasks = std::min(tasks, (capacity.gpus + kRoundingTolerance) / per_task.gpus);
  if (per_task.memory_gb > 0)
    tasks = std::min(tasks, (capacity.memory_gb + kRoundingTolerance) / per_task.memory_gb);
  return tasks < 1 ? 0 : static_cast<std::uint32_t>(tasks);
}

}  // namespace magpie
