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

// The phases of a task, in order.
enum class TaskPhase : std::uint8_t {
  kPending,  // waits for placement
  kBinding,  // assigned to a machine; the binding is not durable yet
  kBound,    // assigned to a machine by a durable binding
  kEnding,   // completed; the record of its end is not durable yet
  kDone,     // completed, and the record of its end is durable
};

// A task of a job. TaskLifecycle changes its state; HeartbeatProcessor and TaskStatusProcessor
// update the fields that follow the worker's messages.
struct Task {
  TaskPhase state = TaskPhase::kPending;
  bool listed = false;           // this attempt is in the latest message of its machine
  bool running = false;          // according to the latest message of its machine
  bool stop_requested = false;   // the attempt must be stopped
  bool overrun_counted = false;  // its long run time was counted against its machine
  bool start_observed = false;   // this leader observed its start, so its run time is known
  bool unpersisted = false;      // its state differs from its durable record
  bool planned = false;          // its record is in the write batch under construction
  bool holds_resources = false;  // uses resources of its machine
  // The worker sent a result that may be from before this term: see TaskStatusProcessor.
  bool result_unconfirmed = false;
  RecordPageId page = 0;  // the page with its durable record; 0: none
  Seconds termination_grace_period;
  Attempt attempt;
  Machine* machine = nullptr;  // owned by the MachineTable
  Instant since;  // time of its binding, later of the first message that lists it as running
  std::optional<Instant> overdue;  // when it becomes overdue, if it is in OverdueTasks
};

// A job that is not final, owned by the JobTable.
struct Job {
  JobSpec spec;
  std::uint32_t image = 0;  // its number in the ImageRegistry
  std::string shape;        // see job_shape.h
  Revision revision;
  bool cancelled = false;
  bool within_guarantee = false;  // its team's guarantee covered it on arrival: see QuotaLedger
  Resources claim;                // its part of its team's guarantee, until it is done or cancelled
  Instant cancelled_at;
  std::vector<Task> tasks;
  std::uint32_t serial = 0;                      // unique, never reused
  std::vector<std::uint32_t> unpersisted_tasks;  // indices of tasks
  std::deque<std::uint32_t> pending;             // indices of pending tasks in placement order
  std::uint32_t done = 0;                        // number of tasks that are done or ending
  std::uint32_t bound = 0;  // number of tasks that are binding, bound or ending
  Instant not_before;       // earliest next placement, after a worker refused to start a task
  Instant preempt_after;    // earliest next preemption: earlier preempted tasks are still stopping
  Instant arrived;
  Instant unpersisted_since;
  bool bindings_unpersisted = false;  // a binding is not written yet
  std::map<std::string, std::uint32_t> tasks_by_zone;
  bool reload_pending = false;  // nothing is written for it until its record is read again
  bool has_started = false;     // a worker has sent a message that one of its tasks runs
  JobPace pace;
  // Cache of RunTimeEstimator: expected run times in seconds, indexed by kind number.
  mutable std::vector<double> runs;
  mutable std::uint64_t runs_version = 0;  // version of the RunTimeTable used for `runs`
};

// A task assigned to a machine. The pointer stays valid, since a job is removed only when none of
// its tasks is assigned to a machine.
struct HeldTask {
  Job* job = nullptr;
  std::uint32_t index = 0;
  // The highest token of this leader's direct commands that start the attempt; 0: there is none.
  FencingToken start_token{};
  Task& task() const { return job->tasks[index]; }
  TaskId id() const { return {job->spec.id, index}; }
};

}  // namespace magpie
