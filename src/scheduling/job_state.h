// The leader's state of a job and its tasks.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/resources.h"
#include "model/time.h"
#include "model/write_batch.h"
#include "scheduling/run_time_table.h"

namespace magpie {

struct Machine;

// How far a task has come, in the order in which that happens.
enum class TaskPhase : std::uint8_t {
  kPending,  // waits for a machine
  kBinding,  // has a machine, which is not durable yet
  kBound,    // has a machine, by the durable records
  kEnding,   // is done, which is not durable yet
  kDone,
};

// A task of a job. TaskLifecycle changes its state; the processors of heartbeats change what its
// worker reports.
struct Task {
  TaskPhase state = TaskPhase::kPending;
  bool listed = false;           // in its machine's last heartbeat, at this attempt
  bool running = false;          // by its machine's last heartbeat
  bool stop_requested = false;   // the attempt is to be stopped
  bool overrun_counted = false;  // its long run time was counted against its machine
  bool start_observed = false;   // by this leader, so that its run time is known
  bool unpersisted = false;      // differs from the durable record
  bool planned = false;          // in the write batch under construction
  bool holds_resources = false;  // takes resources of its machine
  // A result was reported that may be from before this term: see TaskStatusProcessor.
  bool result_unconfirmed = false;
  RecordPageId page = 0;  // the page that has its durable record
  Seconds termination_grace_period;
  Attempt attempt;
  Machine* machine = nullptr;      // owned by the MachineTable
  Instant since;                   // when it was bound, then when it was seen running
  std::optional<Instant> overdue;  // when it is overdue, if it is in OverdueTasks
};

// A job that is not over, owned by the JobTable.
struct Job {
  JobSpec spec;
  std::uint32_t image = 0;  // its number in the ImageRegistry
  std::string shape;        // see job_shape.h
  Revision revision;
  bool cancelled = false;
  bool within_guarantee = false;  // its team's guarantee, as of its arrival: see QuotaLedger
  Resources claim;                // on its team's guarantee, until it is done
  Instant cancelled_at;
  std::vector<Task> tasks;
  std::uint32_t serial = 0;                      // never used again
  std::vector<std::uint32_t> unpersisted_tasks;  // their indices
  std::deque<std::uint32_t> pending;             // indices of tasks, the next first
  std::uint32_t done = 0;                        // tasks that are done or ending
  std::uint32_t bound = 0;                       // tasks that are binding, bound or ending
  Instant not_before;     // no task is placed before, after a worker refused one
  Instant preempt_after;  // until then, preempted tasks are leaving
  Instant arrived;
  Instant unpersisted_since;
  bool bindings_unpersisted = false;  // a binding waits to be written
  std::map<std::string, std::uint32_t> tasks_by_zone;
  bool reload_pending = false;  // nothing is written until its record is read again
  bool begun = false;           // a task was seen running
  JobPace pace;
  // Expected run times in seconds by number of kind: a cache of RunTimeEstimator.
  mutable std::vector<double> runs;
  mutable std::uint64_t runs_version = 0;
};

// A task that a machine holds. The pointer stays valid, since a job is removed only when no machine
// holds any of its tasks.
struct HeldTask {
  Job* job = nullptr;
  std::uint32_t index = 0;
  Task& task() const { return job->tasks[index]; }
  TaskId id() const { return {job->spec.id, index}; }
};

}  // namespace magpie
