#include "scheduling/write_batch_builder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "scheduling/task_records.h"

namespace magpie {
namespace {
constexpr std::size_t kLeadershipConditions = 2;  // one on the leader key, one on the epoch
constexpr std::size_t kConditionsPerOperation = 4;
constexpr std::size_t kLongRecordBytes = 128;

// Upper bound of the size of the task's record, including the job's id if it is the job's first.
std::size_t MaxRecordBytes(const JobId& job, const TaskRecord& record) {
  constexpr std::size_t kRecordBytes = 48;
  constexpr std::size_t kJobBytes = 8;
  return kRecordBytes + record.machine.value.size() + record.zone.size() + job.value.size() +
         kJobBytes;
}
}  // namespace

WriteBatchBuilder::WriteBatchBuilder(ClusterState& state, std::size_t max_operations)
    : state_(state),
      max_operations_(max_operations),
      max_conditions_(kConditionsPerOperation * state.options.max_operations),
      conditions_(kLeadershipConditions),
      bytes_left_(state.options.max_bytes) {}

bool WriteBatchBuilder::HasSpaceFor(std::size_t operations, std::size_t conditions) const {
  return operations_ + operations <= max_operations_ && conditions_ + conditions <= max_conditions_;
}

bool WriteBatchBuilder::HasSpaceInPage(std::size_t bytes) const {
  return !batch_.puts.empty() && page_bytes_left_ >= bytes;
}

void WriteBatchBuilder::ConsumeBytes(std::size_t bytes) {
  bytes_left_ -= std::min(bytes_left_, bytes);
}

bool WriteBatchBuilder::AddFinal(const Job& job, JobOutcome outcome) {
  if (!HasSpaceFor(2, 2)) return false;
  batch_.finals.push_back({job.spec.id, outcome, job.spec.tasks});
  batch_.expected_job_revisions[job.spec.id] = job.revision;
  operations_ += 2;
  conditions_ += 2;
  return true;
}

bool WriteBatchBuilder::AddUnpersistedTasks(Job& job) {
  if (job.unpersisted_tasks.empty()) return true;
  if (!HasSpaceFor(0, 1)) return false;
  std::size_t added = 0;
  for (const std::uint32_t index : job.unpersisted_tasks) {
    Task& task = job.tasks[index];
    const TaskRecord record = RecordOf(task, index);
    const std::size_t bytes = MaxRecordBytes(job.spec.id, record);
    if (!HasSpaceInPage(bytes) && (!AddPage() || !HasSpaceInPage(bytes))) break;
    batch_.puts.back().records.push_back({job.spec.id, record});
    page_bytes_left_ -= bytes;
    ConsumeBytes(bytes);
    task.unpersisted = false;
    task.planned = true;
    ++added;
  }
  if (added > 0 && batch_.expected_job_revisions.try_emplace(job.spec.id, job.revision).second)
    ++conditions_;
  job.unpersisted_tasks.erase(job.unpersisted_tasks.begin(),
                              job.unpersisted_tasks.begin() + static_cast<std::ptrdiff_t>(added));
  return job.unpersisted_tasks.empty();
}

// Adds the page with the fewest records to keep; returns false if the batch has no space for a
// page.
bool WriteBatchBuilder::AddPage() {
  // A page may be rewritten if the records that it must keep take at most 1/4 of it.
  constexpr std::size_t kMaxKeptDivisor = 4;
  const std::size_t max_page_bytes = state_.options.max_page_bytes;
  if (!HasSpaceFor(1, 2)) return false;
  if (!batch_.puts.empty() && bytes_left_ < max_page_bytes) return false;
  std::vector<RecordPageId> excluded;
  for (const WriteBatch::Put& put : batch_.puts) excluded.push_back(put.page);
  const auto max_kept =
      static_cast<std::uint32_t>(max_page_bytes / kMaxKeptDivisor / kLongRecordBytes);
  const RecordPageId id = state_.record_pages.SelectForWrite(max_kept, excluded);
  const RecordPages::Page& page = state_.record_pages.at(id);
  WriteBatch::Put put{id, page.key, page.revision, 0, {}};
  const std::size_t bytes = KeepLiveRecords(put);
  batch_.puts.push_back(std::move(put));
  ++operations_;
  ++conditions_;
  const std::size_t left = std::min(max_page_bytes, bytes_left_);
  page_bytes_left_ = left - std::min(left, bytes);
  ConsumeBytes(bytes);
  return true;
}

// Adds the records that the page must keep; returns their size in bytes.
std::size_t WriteBatchBuilder::KeepLiveRecords(WriteBatch::Put& put) {
  std::size_t bytes = 0;
  for (const RecordPages::Holder& holder : state_.record_pages.at(put.page).holders) {
    Job* job = state_.jobs.FindBySerial(holder.job);
    if (job == nullptr) continue;
    Task& task = job->tasks[holder.index];
    if (task.page != put.page || task.planned) continue;
    const auto record = DurableRecordOf(task, holder.index);
    if (!record) continue;
    task.planned = true;
    bytes += MaxRecordBytes(job->spec.id, *record);
    put.records.push_back({job->spec.id, *record});
  }
  put.rewritten = put.records.size();
  return bytes;
}

void WriteBatchBuilder::AddRemoval(RecordPageId page) {
  const RecordPages::Page& removed = state_.record_pages.at(page);
  batch_.drops.push_back({page, removed.key, removed.revision});
  ++operations_;
}

WriteBatch WriteBatchBuilder::Finish() {
  for (const WriteBatch::Put& put : batch_.puts)
    for (const RecordPageEntry& entry : put.records)
      state_.jobs.Find(entry.job)->tasks[entry.task.index].planned = false;
  return std::move(batch_);
}

}  // namespace magpie
