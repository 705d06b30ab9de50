#include "scheduling/overdue_tasks.h"

namespace magpie {

void OverdueTasks::Add(Job& job, std::uint32_t index, Instant overdue_at) {
  job.tasks[index].overdue = overdue_at;
  entries_.insert({overdue_at, job.serial, index});
}

void OverdueTasks::Remove(Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  if (task.overdue) entries_.erase({*task.overdue, job.serial, index});
  task.overdue.reset();
}

}  // namespace magpie
