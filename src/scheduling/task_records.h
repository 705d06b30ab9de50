// Builds the durable record of a task from its state.
#pragma once

#include <cstdint>
#include <optional>

#include "model/write_batch.h"
#include "scheduling/job_state.h"

namespace magpie {

// The record of the task's current state.
TaskRecord RecordOf(const Task& task, std::uint32_t index);

// The record to keep when the task's page is rewritten for other tasks; none if the task needs no
// record. It never has a binding that is not durable yet: the job may have been cancelled, and the
// write is conditional only on the records of the jobs for which it has new task records.
std::optional<TaskRecord> DurableRecordOf(const Task& task, std::uint32_t index);

}  // namespace magpie
