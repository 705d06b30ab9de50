#include "model/job.h"

namespace magpie {

std::uint32_t MaxTasksPerZone(const JobSpec& spec) {
  return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
}

}  // namespace magpie
