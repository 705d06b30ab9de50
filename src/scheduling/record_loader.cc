#include "scheduling/record_loader.h"

#include <algorithm>
#include <deque>
#include <tuple>
#include <utility>

#include "model/safety_checks.h"
#include "scheduling/job_shape.h"
#include "scheduling/task_records.h"

namespace magpie {
namespace {
// Orders the records of a task. A record in which the task is done comes after one in which it is
// not, then a higher attempt after a lower one, then an unbound attempt after a bound one. Each
// record written for a task compares greater than the one before.
auto RecordOrder(const TaskRecord& record) {
  return std::tuple(record.done, record.attempt, record.machine.value.empty());
}
}  // namespace

void RecordLoader::LoadJob(const JobSpec& spec, bool cancelled, Revision revision) {
  if (Job* known = state_.jobs.Find(spec.id)) {
    UpdateJob(*known, cancelled, revision);
    return;
  }
  Job& job = state_.jobs.Add(spec);
  job.revision = revision;
  job.cancelled = cancelled;
  job.image = state_.images.NumberOf(spec.image);
  job.shape = ShapeOf(spec);
  state_.service_metrics.Count(spec, &ServiceMetrics::Row::accepted);
  state_.jobs.MarkChanged(spec.id);
  state_.signals.RequestTick();
  if (cancelled) {
    state_.unpersisted.MarkJob(spec.id);
    return;
  }
  for (std::uint32_t index = 0; index < spec.tasks; ++index) job.pending.push_back(index);
  state_.jobs.queued().insert(&job);
}

void RecordLoader::UpdateJob(Job& job, bool cancelled, Revision revision) {
  if (revision < job.revision) return;
  job.revision = revision;
  job.reload_pending = false;
  if (!cancelled || job.cancelled) return;
  job.cancelled = true;
  lifecycle_.StopAll(job);
  state_.jobs.MarkChanged(job.spec.id);
  state_.unpersisted.MarkJob(job.spec.id);
  state_.signals.RequestTick();
}

void RecordLoader::OnJobCancelled(const JobId& id, Revision revision) {
  Job* job = state_.jobs.Find(id);
  if (job != nullptr && !job->cancelled) UpdateJob(*job, true, std::max(revision, job->revision));
}

void RecordLoader::OnJobRemoved(const JobId& id, Revision revision) {
  Job* job = state_.jobs.Find(id);
  if (job != nullptr && job->revision < revision && job->bound == 0) state_.RemoveJob(*job);
}

void RecordLoader::LoadPage(const RecordPageKey& key, const std::vector<RecordPageEntry>& records,
                            Revision revision) {
  const RecordPageId page = state_.record_pages.AddLoaded(key, revision);
  for (const RecordPageEntry& entry : records) {
    const std::uint32_t index = entry.task.index;
    Job* job = state_.jobs.Find(entry.job);  // null: the job is final
    if (job == nullptr || index >= job->tasks.size()) continue;
    Task& task = job->tasks[index];
    const bool later =
        task.page == 0 || RecordOrder(entry.task) > RecordOrder(RecordOf(task, index));
    if (!later && !IsDisabled(SafetyCheck::kReadLatestRecord)) continue;
    ApplyRecord(*job, entry.task);
    state_.record_pages.Put(page, {job->serial, index}, task.page);
  }
}

void RecordLoader::ApplyRecord(Job& job, const TaskRecord& record) {
  Task& task = job.tasks[record.index];
  lifecycle_.DiscardBinding(job, record.index);  // of an earlier record that was read before
  task.attempt = record.attempt;
  if (record.done) {
    task.state = TaskPhase::kDone;
    ++job.done;
    return;
  }
  if (record.machine.value.empty()) return;  // unbound: the record only keeps the attempt
  Machine& machine = state_.FindOrCreateMachine(record.machine, Instant{});
  if (machine.zone.empty()) machine.zone = record.zone;
  lifecycle_.RestoreBinding(job, record.index, machine);
}

void RecordLoader::Finish(Instant now) {
  std::vector<Job*> loaded;
  for (const auto& [id, job] : state_.jobs.all()) {
    FinishJob(*job, now);
    loaded.push_back(job.get());
  }
  state_.quotas.ClaimGuarantees(std::move(loaded));
  FinishMachines(now);
  state_.term.loaded = true;
  state_.term.loaded_at = now;
}

void RecordLoader::FinishJob(Job& job, Instant now) {
  std::deque<std::uint32_t> pending;
  for (const std::uint32_t index : job.pending)
    if (job.tasks[index].state == TaskPhase::kPending) pending.push_back(index);
  job.pending.swap(pending);
  if (job.done == 0) {
    Attempt maximum;
    for (const Task& task : job.tasks) maximum = std::max(maximum, task.attempt);
    state_.failure_attribution.OnAttemptsLoaded(job.serial, maximum);
  }
  job.cancelled_at = now;
  if (lifecycle_.IsFinal(job)) state_.unpersisted.MarkJob(job.spec.id);
}

void RecordLoader::FinishMachines(Instant now) {
  HeartbeatIndex& heartbeats = state_.machines.heartbeats();
  for (const auto& [id, machine] : state_.machines.all()) {
    heartbeats.RecordHeartbeat(*machine, now);
    heartbeats.RecordDirectHeartbeat(machine->zone, now);
    state_.machines.UpdateZoneCount(*machine);
    machine->created_at = now;
    machine->idle_since = now;
    machine->awaiting_reconciliation = !machine->tasks.empty();
    state_.reconciliation.machines += machine->awaiting_reconciliation ? 1 : 0;
  }
  state_.reconciliation.unreconciled = state_.reconciliation.machines;
}

}  // namespace magpie
