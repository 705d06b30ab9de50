// The state shared by the components of a scheduler: tables, and signals between components.
//
// Each table keeps its own invariant. The tables do not refer to each other, except that
// RunTimeEstimator reads MachineKinds, and both read the autoscaler's machine types. Components
// hold a reference to this object; it does not depend on them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "failure_attribution/failure_attribution.h"
#include "metrics/service_metrics.h"
#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/time.h"
#include "provisioning/autoscaler.h"
#include "provisioning/boot_time_estimator.h"
#include "scheduling/command_queue.h"
#include "scheduling/image_cache.h"
#include "scheduling/job_table.h"
#include "scheduling/machine_kinds.h"
#include "scheduling/machine_table.h"
#include "scheduling/overdue_tasks.h"
#include "scheduling/quota_ledger.h"
#include "scheduling/record_pages.h"
#include "scheduling/run_time_estimator.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/unpersisted_records.h"

namespace magpie {

inline constexpr std::size_t kPriorityCount = 4;

// The current term of leadership.
struct LeaderTerm {
  FencingToken token;   // the first token of the term; 0: this controller is not the leader
  bool loaded = false;  // all durable records have been read
  Instant loaded_at;
  bool may_start = true;  // whether tasks may be started: see Scheduler::AllowTaskStarts
};

// What components request from the next ticks.
struct TickSignals {
  // Requests a tick before the next regular one.
  void RequestTick() { tick_requested = true; }
  // Requests a tick that inspects machines.
  void RequestInspection() {
    tick_requested = true;
    next_inspection = {};
  }
  // Records a change after which the next full plan may differ from the last one.
  void MarkChanged() { changed_since_plan = true; }

  bool tick_requested = false;
  Instant next_inspection;
  bool changed_since_plan = true;
};

// Work done since the takeover, for benchmarks and status reports.
struct WorkCounters {
  std::uint64_t candidates_evaluated = 0;
  std::uint64_t jobs_planned = 0;
  std::uint64_t planning_rounds = 0;
  std::uint64_t machines_inspected = 0;
  std::uint64_t commands_issued = 0;
};

// Progress of the comparison of durable records with heartbeats after a takeover.
struct Reconciliation {
  std::size_t machines = 0;      // machines with bound tasks in the records at the takeover
  std::size_t unreconciled = 0;  // of these, not removed and without a heartbeat since then
};

// Scheduling decisions for the controller's log.
class DecisionLog {
 public:
  struct Line {
    bool notice = false;  // rare, and logged even if other decisions are not
    std::string text;
  };

  // `enabled`: whether decisions that are not notices are recorded.
  explicit DecisionLog(bool enabled) : enabled_(enabled) {}
  // Callers in hot loops check this first, so that they do not build texts that are discarded.
  bool enabled() const { return enabled_; }
  void Add(std::string text) {
    if (enabled_) lines_.push_back({false, std::move(text)});
  }
  void AddNotice(std::string text) { lines_.push_back({true, std::move(text)}); }
  // Returns the lines added since the last call.
  std::vector<Line> TakeAll() { return std::exchange(lines_, {}); }

 private:
  bool enabled_;
  std::vector<Line> lines_;
};

// Not thread-safe: it belongs to one scheduler.
struct ClusterState {
  ClusterState(SchedulerOptions scheduler_options, Autoscaler::Options autoscaler_options);
  // Not copyable: machines and jobs hold pointers into each other's tables.
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  // Clears everything except learned run times, boot times, machine kinds, machine types, refused
  // scale-outs, decisions that are not logged yet and term.may_start.
  void Clear();
  // Returns the machine. If it is not in the table, adds it; commands to it first carry term.token.
  Machine& FindOrCreateMachine(const MachineId& id, Instant now);
  // Removes the job from all tables. None of its tasks may be assigned to a machine.
  void RemoveJob(Job& job);

  const SchedulerOptions options;
  LeaderTerm term;
  TickSignals signals;
  WorkCounters counters;
  Reconciliation reconciliation;
  DecisionLog decisions;

  Autoscaler autoscaler;
  BootTimeEstimator boot_times;
  FailureAttribution failure_attribution;
  ServiceMetrics service_metrics;

  JobTable jobs;
  MachineTable machines;
  MachineKinds kinds;
  ImageRegistry images;
  RunTimeEstimator run_times;
  QuotaLedger quotas;
  // CPUs in use by array tasks, by priority.
  std::array<double, kPriorityCount> array_cpus{};
  RecordPages record_pages;
  UnpersistedRecords unpersisted;
  CommandQueue commands;
  OverdueTasks overdue;
};

}  // namespace magpie
