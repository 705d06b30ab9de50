#include "scheduling/record_writer.h"

#include <algorithm>
#include <utility>

#include "scheduling/write_batch_builder.h"

namespace magpie {
namespace {
// A new term starts with only the budget of this time, since the previous leader, or this process
// in an earlier term, may just have used up the store's writes per second.
constexpr Seconds kInitialBudget{0.3};
constexpr double kMinOperations = 3;  // a job's final record takes two
// Fractions of the operations that the leader may write in one second. The budget is low if it is
// below the first, and high if it is not below the second.
constexpr double kLowBudgetFraction = 0.5;
constexpr double kHighBudgetFraction = 0.9;
constexpr Seconds kMaxEndDelay{2};
constexpr Seconds kLowPriorityDelay{0.5};

bool BindsAtLowPriority(const Job& job) {
  return job.bindings_unpersisted && !job.cancelled && job.spec.priority == Priority::kLow;
}
}  // namespace

void RecordWriter::Start(Instant now) {
  budget_ = kInitialBudget.value * state_.options.writes_per_s;
  budget_refilled_ = now;
}

double RecordWriter::MaxBudget() const {
  return std::max(state_.options.writes_per_s, static_cast<double>(state_.options.max_operations));
}

void RecordWriter::RefillBudget(Instant now) {
  const double elapsed = std::max(0.0, (now - budget_refilled_).value);
  budget_ = std::min(MaxBudget(), budget_ + elapsed * state_.options.writes_per_s);
  budget_refilled_ = now;
}

// Low-priority bindings are delayed and written together unless the budget is high. Otherwise many
// jobs of one task each would take one write per job and delay users' submissions.
bool RecordWriter::WritesLowPriorityBindings(Instant now) const {
  if (budget_ >= kHighBudgetFraction * state_.options.writes_per_s) return true;
  const auto& ids = state_.unpersisted.jobs();
  return std::any_of(ids.begin(), ids.end(), [&](const JobId& id) {
    const Job& job = *state_.jobs.Find(id);
    return BindsAtLowPriority(job) && now - job.unpersisted_since >= kLowPriorityDelay;
  });
}

// Bindings are written first, since tasks start only after them, in the order of priority and then
// of age: after the failure of many machines, hundreds of bindings compete for a few writes per
// second. Final records follow, since users wait for them, then ends of single tasks, which may be
// delayed while the budget is low.
std::vector<JobId> RecordWriter::WriteOrder(Instant now) const {
  const bool low_budget = budget_ < kLowBudgetFraction * state_.options.writes_per_s;
  const bool writes_low_priority = WritesLowPriorityBindings(now);
  std::vector<JobId> bindings;
  std::vector<JobId> finals;
  std::vector<JobId> ends;
  for (const JobId& id : state_.unpersisted.jobs()) {
    const Job& job = *state_.jobs.Find(id);
    if (job.reload_pending) continue;
    if (lifecycle_.IsFinal(job))
      finals.push_back(id);
    else if (BindsAtLowPriority(job) && !writes_low_priority)
      continue;
    else if (job.bindings_unpersisted || job.cancelled)
      bindings.push_back(id);
    else if (!low_budget || now - job.unpersisted_since > kMaxEndDelay)
      ends.push_back(id);
  }
  const auto key = [this](const JobId& id) {
    const Job& job = *state_.jobs.Find(id);
    return std::pair(-static_cast<int>(job.spec.priority), job.unpersisted_since);
  };
  std::stable_sort(bindings.begin(), bindings.end(),
                   [&](const JobId& a, const JobId& b) { return key(a) < key(b); });
  bindings.insert(bindings.end(), finals.begin(), finals.end());
  bindings.insert(bindings.end(), ends.begin(), ends.end());
  return bindings;
}

WriteBatch RecordWriter::NextBatch(Instant now) {
  if (!state_.term.loaded || write_in_progress_) return {};
  RefillBudget(now);
  const auto removable_page = state_.record_pages.FindRemovable();
  if (state_.unpersisted.empty() && !removable_page) return {};
  if (budget_ < kMinOperations) return {};
  WriteBatchBuilder builder(
      state_, std::min(state_.options.max_operations, static_cast<std::size_t>(budget_)));
  for (const JobId& id : WriteOrder(now)) {
    Job& job = *state_.jobs.Find(id);
    if (lifecycle_.IsFinal(job)) {
      if (!builder.AddFinal(job, job.cancelled ? JobOutcome::kCancelled : JobOutcome::kDone)) break;
      job.reload_pending = true;  // no further record of the job is written
      state_.unpersisted.Remove(id);
      continue;
    }
    if (job.cancelled)
      DiscardUnwrittenBindings(job, now);
    else if (!builder.AddUnpersistedTasks(job))
      break;
    job.bindings_unpersisted = false;
    // If discarding bindings made a cancelled job final, it stays marked for its final record.
    if (!job.cancelled || !lifecycle_.IsFinal(job)) state_.unpersisted.Remove(id);
  }
  // Pages without live records cost only space, so one is removed only when nothing else is written
  // and enough budget is left.
  if (removable_page && builder.empty() && budget_ >= kLowBudgetFraction * MaxBudget())
    builder.AddRemoval(*removable_page);
  budget_ -= static_cast<double>(builder.operations());
  write_in_progress_ = !builder.empty();
  return builder.Finish();
}

// Tasks of a cancelled job need no records. Its unwritten bindings are undone at once, which is
// safe since no write of them is in progress.
void RecordWriter::DiscardUnwrittenBindings(Job& job, Instant now) {
  for (const std::uint32_t index : std::exchange(job.unpersisted_tasks, {})) {
    job.tasks[index].unpersisted = false;
    if (job.tasks[index].state == TaskPhase::kBinding)
      lifecycle_.Unbind(job, index, UnbindReason::kNotWritten, now);
  }
}

void RecordWriter::OnCommitted(const WriteBatch& batch, Revision revision, Instant now) {
  if (!state_.term.loaded) return;
  write_in_progress_ = false;
  for (const WriteBatch::Put& put : batch.puts) {
    state_.record_pages.OnWritten(put.page, revision);
    for (const RecordPageEntry& entry : put.records) {
      Job* job = state_.jobs.Find(entry.job);
      if (job == nullptr) continue;
      const std::uint32_t index = entry.task.index;
      state_.record_pages.Put(put.page, {job->serial, index}, job->tasks[index].page);
      OnTaskWritten(*job, entry.task, now);
      if (lifecycle_.IsFinal(*job)) state_.unpersisted.MarkJob(entry.job);
    }
  }
  for (const WriteBatch::Drop& drop : batch.drops) state_.record_pages.OnRemoved(drop.page);
  for (const WriteBatch::Final& final : batch.finals) OnFinalWritten(final, now);
}

void RecordWriter::OnTaskWritten(Job& job, const TaskRecord& record, Instant now) {
  Task& task = job.tasks[record.index];
  if (record.done) {
    if (task.state != TaskPhase::kEnding) return;
    if (task.machine != nullptr && task.machine->tasks.size() > 1)
      state_.commands.Request(*task.machine);
    lifecycle_.Unbind(job, record.index, UnbindReason::kCompleted, now);
  } else if (task.state == TaskPhase::kBinding && task.attempt == record.attempt &&
             task.machine != nullptr && task.machine->id == record.machine) {
    lifecycle_.ConfirmBinding(job, record.index);
  }
}

void RecordWriter::OnFinalWritten(const WriteBatch::Final& final, Instant now) {
  Job* job = state_.jobs.Find(final.job);
  if (job == nullptr) return;
  for (std::uint32_t index = 0; index < job->tasks.size(); ++index)
    if (job->tasks[index].machine != nullptr) lifecycle_.EndWithJob(*job, index, now);
  state_.service_metrics.Count(job->spec, final.state == JobOutcome::kDone
                                              ? &ServiceMetrics::Row::done
                                              : &ServiceMetrics::Row::cancelled);
  state_.RemoveJob(*job);
}

void RecordWriter::OnRejected(const WriteBatch& batch) {
  if (!state_.term.loaded) return;
  write_in_progress_ = false;
  for (const WriteBatch::Final& final : batch.finals) {
    Job* job = state_.jobs.Find(final.job);
    if (job == nullptr) continue;
    job->reload_pending = false;
    state_.unpersisted.MarkJob(final.job);
  }
  for (const WriteBatch::Put& put : batch.puts) {
    for (std::size_t i = put.rewritten; i < put.records.size(); ++i) {
      Job* job = state_.jobs.Find(put.records[i].job);
      if (job != nullptr) OnTaskRejected(*job, put.records[i].task);
    }
  }
}

void RecordWriter::OnTaskRejected(Job& job, const TaskRecord& record) {
  Task& task = job.tasks[record.index];
  // No command was sent for a binding that was not written.
  if (task.state == TaskPhase::kBinding && task.attempt == record.attempt && job.cancelled)
    lifecycle_.Unbind(job, record.index, UnbindReason::kNotWritten, task.since);
  else if (!std::exchange(task.unpersisted, true))
    job.unpersisted_tasks.push_back(record.index);
  job.bindings_unpersisted = true;
  state_.unpersisted.MarkJob(job.spec.id);
}

}  // namespace magpie
