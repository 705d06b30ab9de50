#include "scheduling/job_shape.h"

namespace magpie {

std::string ShapeOf(const JobSpec& spec) {
  std::string shape = spec.job_class + '|' + std::to_string(spec.per_task.cpus) + '|' +
                      std::to_string(spec.per_task.memory_gb) + '|' +
                      std::to_string(spec.per_task.gpus) + (spec.spot ? "|spot|" : "|") +
                      spec.zone.value_or("");
  if (spec.types)
    for (const std::string& type : *spec.types) shape += '|' + type;
  return shape;
}

}  // namespace magpie
