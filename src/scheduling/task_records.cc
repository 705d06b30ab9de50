#include "scheduling/task_records.h"

#include "model/safety_checks.h"
#include "scheduling/machine_state.h"

namespace magpie {

TaskRecord RecordOf(const Task& task, std::uint32_t index) {
  TaskRecord record;
  record.index = index;
  record.attempt = task.attempt;
  record.done = task.state == TaskPhase::kEnding || task.state == TaskPhase::kDone;
  // An unbound task keeps its attempt number, so that later attempts get higher numbers.
  if (record.done || task.machine == nullptr) return record;
  record.machine = task.machine->id;
  record.zone = task.machine->zone;
  return record;
}

std::optional<TaskRecord> DurableRecordOf(const Task& task, std::uint32_t index) {
  TaskRecord record = RecordOf(task, index);
  if (task.state == TaskPhase::kBinding && !IsDisabled(SafetyCheck::kRewrittenUnbound)) {
    record.machine = {};
    record.zone.clear();
    --record.attempt.value;
  }
  if (record.attempt.value == 0 && !record.done) return std::nullopt;
  return record;
}

}  // namespace magpie
