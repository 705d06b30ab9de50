// The leader's scheduler assigns tasks to machines. Its inputs are events and the time, its outputs
// are writes, commands and cloud calls. It never blocks, does no I/O and has no threads: its owner
// calls it from one thread at a time, carries out its outputs and passes back their results.
//
// Safety depends on three rules and on no clock:
//  - a binding (task, attempt, machine) is durable before `run` is sent (RecordWriter,
//    CommandBuilder);
//  - a bound task is bound again only once it can no longer start on its previous machine
//    (fencing.h, HeartbeatProcessor, CloudCoordinator);
//  - each write is conditional on the leader's epoch and on the keys that it changes (WriteBatch).
//
// This class only connects the components. ClusterState has the tables that they share.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "metrics/service_metrics.h"
#include "model/cloud_call.h"
#include "model/direct_command.h"
#include "model/fencing_token.h"
#include "model/id_hash.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/machine.h"
#include "model/objective.h"
#include "model/resources.h"
#include "model/team.h"
#include "model/time.h"
#include "model/worker_messages.h"
#include "model/write_batch.h"
#include "overload/overload_policy.h"
#include "provisioning/autoscaler.h"
#include "scheduling/cloud_coordinator.h"
#include "scheduling/cluster_state.h"
#include "scheduling/command_builder.h"
#include "scheduling/command_dispatcher.h"
#include "scheduling/failure_detector.h"
#include "scheduling/heartbeat_processor.h"
#include "scheduling/mass_failure_alarm.h"
#include "scheduling/planner.h"
#include "scheduling/probe_scheduler.h"
#include "scheduling/record_loader.h"
#include "scheduling/record_writer.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/scheduler_status.h"
#include "scheduling/slow_machine_detector.h"
#include "scheduling/task_lifecycle.h"
#include "scheduling/task_status_processor.h"

namespace magpie {

// Not thread-safe. Until the records are loaded, no writes, commands, probes or cloud calls are
// returned, Tick has no effect and heartbeats are buffered.
class Scheduler {
 public:
  using Options = SchedulerOptions;

  Scheduler(Options options, Autoscaler::Options autoscaler_options);

  // --- Leadership

  // Begins a term of leadership with an empty state; jobs and record pages are loaded next.
  // The names of the term's provisioning requests begin with `request_prefix`, which must be unique
  // to the term.
  void Start(Revision epoch, std::string request_prefix, Instant now);
  // Ends the term; no more decisions are made.
  void Stop();
  bool leading() const { return state_.term.token.value != 0; }
  bool loaded() const { return state_.term.loaded; }
  // The first token of the term; 0 if this controller does not lead.
  FencingToken term_token() const { return state_.term.token; }

  // --- Durable records

  void LoadJob(const JobSpec& spec, bool cancelled, Revision revision) {
    loader_.LoadJob(spec, cancelled, revision);
  }
  // Pages may be loaded in any order, after the jobs.
  void LoadRecordPage(const RecordPageKey& key, const std::vector<RecordPageEntry>& records,
                      Revision revision) {
    loader_.LoadPage(key, records, revision);
  }
  // Called when all records are loaded. LoadJob may still add and change jobs afterwards.
  void FinishLoad(Instant now);
  // The job's record at `revision` shows that the job was cancelled.
  void OnCancelled(const JobId& id, Revision revision) { loader_.OnJobCancelled(id, revision); }
  // The job's record was removed at `revision`, since the job is final.
  void OnJobRemoved(const JobId& id, Revision revision) { loader_.OnJobRemoved(id, revision); }
  // Sets whether tasks may be started. A leader that may not have received all cancellations must
  // not start tasks.
  void AllowTaskStarts(bool allowed) { state_.term.may_start = allowed; }

  // Returns the next batch to write; empty if there is none. Its result is passed to
  // OnWriteCommitted or OnWriteRejected.
  WriteBatch NextWriteBatch(Instant now) { return writer_.NextBatch(now); }
  void OnWriteCommitted(const WriteBatch& batch, Revision revision, Instant now) {
    writer_.OnCommitted(batch, revision, now);
  }
  // No part of the batch was written or can still be written.
  void OnWriteRejected(const WriteBatch& batch) { writer_.OnRejected(batch); }

  // --- Workers

  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Instant now,
                                HeartbeatRoute route = HeartbeatRoute::kDirect) {
    return heartbeats_.OnHeartbeat(heartbeat, route, now);
  }
  // How long the response to the machine's heartbeat may be delayed so that it can start a task: 0
  // if it must be sent now. `awaits_planning`: the next planning round may bind a task to the
  // machine.
  Seconds MaxResponseDelay(const MachineId& machine, bool awaits_planning, Instant now) const {
    return heartbeats_.MaxResponseDelay(machine, awaits_planning, now);
  }
  // Records that the response to the machine's heartbeat is delayed, until UpdateResponse is
  // called: no heartbeat is requested meanwhile.
  void DelayResponse(const MachineId& machine) { heartbeats_.DelayResponse(machine); }
  // Replaces the commands and the token of a response that was not sent at once. Must be called in
  // the term in which the response was made.
  void UpdateResponse(const MachineId& machine, HeartbeatResponse& response) {
    heartbeats_.UpdateResponse(machine, response);
  }
  // The number of planning rounds in this term.
  std::uint64_t planning_rounds() const { return state_.counters.planning_rounds; }
  std::optional<DirectCommand> NextDirectCommand(Instant now) { return dispatcher_.Next(now); }
  // The number of machines with pending commands.
  std::size_t machines_awaiting_commands() const { return state_.commands.size(); }
  // Returns the next probe: a direct command without commands, to a machine without a recent
  // heartbeat or with an outdated token, relayed heartbeats or messages out of order.
  std::optional<DirectCommand> NextProbe(Instant now) { return probes_.Next(now); }
  // Selects machines to probe if the scan interval has passed. Returns the number of machines that
  // wait for a probe.
  std::size_t ScanForProbes(Instant now) { return probes_.Scan(now); }
  // Applies the result of a direct command or a probe. `response` is set only if the worker
  // responded.
  void OnDirectCommandResult(const DirectCommand& direct_command, DeliveryStatus status,
                             const std::optional<Heartbeat>& response, Instant now) {
    dispatcher_.OnResult(direct_command, status, response, now);
  }

  // --- Cloud

  void SetTypes(std::vector<MachineType> types);
  // Returns the next call to make, if any. Its result is passed to one of the functions below.
  std::optional<CloudCall> NextCloudCall(Instant now) { return cloud_.NextCall(now); }
  // `machines` may have fewer machines than the call requested.
  void OnProvisioned(const CloudCall& call, const std::vector<MachineId>& machines, Instant now) {
    cloud_.OnProvisioned(call, machines, now);
  }
  void OnProvisioningRefused(const CloudCall& call, Instant now) {
    cloud_.OnProvisioningRefused(call, now);
  }
  // The cloud may have executed the call, or may still do so.
  void OnProvisioningUnconfirmed(const CloudCall& call) { cloud_.OnProvisioningUnconfirmed(call); }
  void OnReleased(const CloudCall& call, Instant now) { cloud_.OnReleased(call, now); }
  void OnReleaseUnconfirmed(const CloudCall& call) { cloud_.OnReleaseUnconfirmed(call); }
  void OnList(const std::vector<ListedMachine>& machines, Instant now) {
    cloud_.OnList(machines, now);
  }
  void OnListFailed(Instant now) { cloud_.OnListFailed(now); }

  // --- Time

  // Inspects machines, places tasks and plans the provisioning and release of machines.
  void Tick(Instant now, WallTime wall);
  // Whether an event requires a Tick before the next regular one.
  bool wants_tick() const { return state_.signals.tick_requested; }

  // --- Status

  // Returns the decisions made since the last call. Without Options::log_decisions only notices are
  // recorded.
  std::vector<DecisionLog::Line> TakeDecisions() { return state_.decisions.TakeAll(); }
  // The number of machines on which tasks may run.
  std::size_t ReachableMachines() const { return CountReachableMachines(state_); }
  // Returns none if the job is unknown or the records are not loaded.
  std::optional<JobProgress> GetJobProgress(const JobId& id) const;
  std::map<JobId, JobProgress> GetAllJobProgress() const { return ProgressOfAll(state_); }
  SchedulerStatus GetStatus() const { return StatusOf(state_); }
  ReconciliationProgress GetReconciliationProgress() const {
    return ReconciliationOf(state_, writer_.write_in_progress());
  }
  // Service metrics by job class and by team since the takeover.
  ServiceMetrics::Table GetServiceMetrics(WallTime wall) const {
    return ServiceMetricsOf(state_, wall);
  }

 private:
  void ApplyJobChanges(Instant now);
  void InspectMachines(Instant now);
  void ApplyPlanningResult(const PlanningResult& result, Instant now);

  // Each component may depend on those above it, but not on those below.
  ClusterState state_;
  TaskLifecycle lifecycle_;
  MassFailureAlarm alarm_;
  CloudCoordinator cloud_;
  SlowMachineDetector slow_machines_;
  TaskStatusProcessor task_statuses_;
  CommandBuilder command_builder_;
  HeartbeatProcessor heartbeats_;
  ProbeScheduler probes_;
  CommandDispatcher dispatcher_;
  FailureDetector failure_detector_;
  RecordLoader loader_;
  RecordWriter writer_;
  Planner planner_;
};

}  // namespace magpie
