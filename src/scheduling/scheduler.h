// The leader's scheduler: what runs where. Events and the time go in; writes, commands and cloud
// calls come out. It never blocks, does no I/O and has no threads: its owner calls it from one
// thread at a time, carries out what it asks for and reports how that ended.
//
// Safety rests on three things and on no clock:
//  - a binding (task, attempt, machine) is durable before `run` is sent (RecordWriter,
//    CommandBuilder);
//  - a bound task is bound again only once it can no longer start where it was (fencing.h,
//    HeartbeatProcessor, CloudCoordinator);
//  - each write is conditional on the leader's epoch and on the keys that it changes (WriteBatch).
//
// This class only connects the parts. ClusterState has the tables that they share.
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

// Not thread-safe. Functions other than Start, Stop and the loading of records do nothing, or
// return nothing to do, while the records are not loaded.
class Scheduler {
 public:
  using Options = SchedulerOptions;

  Scheduler(Options options, Autoscaler::Options autoscaler_options);

  // --- Leadership

  // A term of leadership begins with an empty state: jobs and record pages are loaded next.
  // `request_prefix` begins the names of the term's scale-outs; no other term may use it.
  void Start(Revision epoch, std::string request_prefix, Instant now);
  // The term has ended: nothing more is decided.
  void Stop();
  bool leading() const { return state_.term.token.value != 0; }
  bool loaded() const { return state_.term.loaded; }

  // --- Durable records

  void LoadJob(const JobSpec& spec, bool cancelled, Revision revision) {
    loader_.LoadJob(spec, cancelled, revision);
  }
  // Pages may be loaded in any order, after the jobs.
  void LoadRecordPage(const RecordPageKey& key, const std::vector<RecordPageEntry>& records,
                      Revision revision) {
    loader_.LoadPage(key, records, revision);
  }
  // All records are loaded. From now on, jobs may still be added and changed by LoadJob.
  void FinishLoad(Instant now);
  // The job's record showed at this revision that the job was cancelled.
  void OnCancelled(const JobId& id, Revision revision) { loader_.OnJobCancelled(id, revision); }
  // The job's record was removed at this revision: the job is final.
  void OnJobRemoved(const JobId& id, Revision revision) { loader_.OnJobRemoved(id, revision); }
  // Whether tasks may be started now. A leader that may lack cancellations must not.
  void AllowTaskStarts(bool allowed) { state_.term.may_start = allowed; }

  // The next batch to write; empty if there is none. It is answered by one of the next two.
  WriteBatch NextWriteBatch(Instant now) { return writer_.NextBatch(now); }
  void OnWriteCommitted(const WriteBatch& batch, Revision revision, Instant now) {
    writer_.OnCommitted(batch, revision, now);
  }
  // Nothing was written, and nothing of the batch can be written later.
  void OnWriteRejected(const WriteBatch& batch) { writer_.OnRejected(batch); }

  // --- Workers

  // `relayed`: another controller passed the heartbeat on, since the worker could not reach the
  // leader.
  HeartbeatResponse OnHeartbeat(const Heartbeat& heartbeat, Instant now, bool relayed = false);
  std::optional<DirectCommand> NextDirectCommand(Instant now) { return dispatcher_.Next(now); }
  // How many machines wait for commands.
  std::size_t machines_awaiting_commands() const { return state_.commands.size(); }
  // An empty command to a machine that was not heard for a while.
  std::optional<DirectCommand> NextProbe(Instant now) { return probes_.Next(now); }
  // Looks for machines to probe if it is time; returns how many wait for a probe.
  std::size_t ScanForProbes(Instant now) { return probes_.Scan(now); }
  // How a command or a probe ended. `answer` is set only if the worker answered.
  void OnDirectCommandResult(const DirectCommand& direct_command, DeliveryStatus status,
                             const std::optional<Heartbeat>& answer, Instant now) {
    dispatcher_.OnResult(direct_command, status, answer, now);
  }

  // --- Cloud

  void SetTypes(std::vector<MachineType> types);
  // The next call to make. It is answered by one of the functions below, by kind of call.
  std::optional<CloudCall> NextCloudCall(Instant now) { return cloud_.NextCall(now); }
  // The cloud may have provided fewer machines than the call asked for.
  void OnProvisioned(const CloudCall& call, const std::vector<MachineId>& machines, Instant now) {
    cloud_.OnProvisioned(call, machines, now);
  }
  void OnProvisioningRefused(const CloudCall& call, Instant now) {
    cloud_.OnProvisioningRefused(call, now);
  }
  // The call may have been carried out, or may be yet.
  void OnProvisioningUnknown(const CloudCall& call) { cloud_.OnProvisioningUnknown(call); }
  void OnReleased(const CloudCall& call, Instant now) { cloud_.OnReleased(call, now); }
  void OnReleaseUnconfirmed(const CloudCall& call) { cloud_.OnReleaseUnconfirmed(call); }
  void OnList(const std::vector<ListedMachine>& machines, Instant now) {
    cloud_.OnList(machines, now);
  }
  void OnListFailed(Instant now) { cloud_.OnListFailed(now); }

  // --- Time

  // Inspects machines, places tasks and plans which machines to provision and to release.
  void Tick(Instant now, WallTime wall);
  // Whether something happened for which Tick should be called before its time.
  bool wants_tick() const { return state_.signals.tick_requested; }

  // --- Status

  // The decisions made since the last call, for the log, if Options::log_decisions is set.
  std::vector<std::string> TakeDecisions() { return state_.decisions.Take(); }
  // Machines on which something may run.
  std::size_t ReachableMachines() const { return CountReachableMachines(state_); }
  // None if the job is unknown or the records are not loaded yet.
  std::optional<JobProgress> GetJobProgress(const JobId& id) const;
  std::map<JobId, JobProgress> GetAllJobProgress() const { return ProgressOfAll(state_); }
  SchedulerStatus GetStatus() const { return StatusOf(state_); }
  ReconciliationProgress GetReconciliationProgress() const {
    return ReconciliationOf(state_, writer_.write_in_progress());
  }
  // How classes and teams are served since the takeover.
  ServiceMetrics::Table GetServiceMetrics(WallTime wall) const {
    return ServiceMetricsOf(state_, wall);
  }

 private:
  void ApplyJobChanges(Instant now);
  void InspectMachines(Instant now);
  void ApplyPlanningResult(const PlanningResult& result, Instant now);

  // Each part may use those above it, and knows nothing of those below.
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
