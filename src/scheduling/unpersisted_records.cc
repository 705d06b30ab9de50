#include "scheduling/unpersisted_records.h"

#include <utility>

namespace magpie {

void UnpersistedRecords::MarkTask(Job& job, std::uint32_t index, Instant now) {
  if (!jobs_.contains(job.spec.id)) job.unpersisted_since = now;
  if (!std::exchange(job.tasks[index].unpersisted, true)) job.unpersisted_tasks.push_back(index);
  jobs_.insert(job.spec.id);
}

}  // namespace magpie
