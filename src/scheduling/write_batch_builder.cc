#include "scheduling/write_batch_builder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "scheduling/task_records.h"

namespace magpie {
namespace {
constexpr std::size_t kLeadershipConditions = 2;  // on the leader's key and on the epoch
constexpr std::size_t kConditionsPerOperation = 4;
constexpr std::size_t kLongRecordBytes = 128;

// Upper bound of what the task's record takes, with its job's id if it is the first of the job.
std::size_t MaxBytesOf(const JobId& job, const TaskRecord& record) {
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

void WriteBatchBuilder::TakeBytes(std::size_t bytes) {
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
    const std::size_t bytes = MaxBytesOf(job.spec.id, record);
    if (!HasSpaceInPage(bytes) && (!AddPage() || !HasSpaceInPage(bytes))) break;
    batch_.puts.back().records.push_back({job.spec.id, record});
    page_bytes_left_ -= bytes;
    TakeBytes(bytes);
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

// Adds the page that costs least to write again; returns false if there is no space for one.
bool WriteBatchBuilder::AddPage() {
  constexpr std::size_t kKeptPart = 4;  // of a page, at most, is taken by what it must keep
  const std::size_t max_page_bytes = state_.options.max_page_bytes;
  if (!HasSpaceFor(1, 2)) return false;
  if (!batch_.puts.empty() && bytes_left_ < max_page_bytes) return false;
  std::vector<RecordPageId> taken;
  for (const WriteBatch::Put& put : batch_.puts) taken.push_back(put.page);
  const auto max_kept = static_cast<std::uint32_t>(max_page_bytes / kKeptPart / kLongRecordBytes);
  const RecordPageId id = state_.record_pages.Choose(max_kept, taken);
  const RecordPages::Page& page = state_.record_pages.at(id);
  WriteBatch::Put put{id, page.key, page.revision, 0, {}};
  const std::size_t bytes = KeepLiveRecords(put);
  batch_.puts.push_back(std::move(put));
  ++operations_;
  ++conditions_;
  const std::size_t left = std::min(max_page_bytes, bytes_left_);
  page_bytes_left_ = left - std::min(left, bytes);
  TakeBytes(bytes);
  return true;
}

// Puts what the page must keep into it; returns its size in bytes.
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
    bytes += MaxBytesOf(job->spec.id, *record);
    put.records.push_back({job->spec.id, *record});
  }
  put.rewritten = put.records.size();
  return bytes;
}

void WriteBatchBuilder::AddDrop(RecordPageId page) {
  const RecordPages::Page& dropped = state_.record_pages.at(page);
  batch_.drops.push_back({page, dropped.key, dropped.revision});
  ++operations_;
}

WriteBatch WriteBatchBuilder::Finish() {
  for (const WriteBatch::Put& put : batch_.puts)
    for (const RecordPageEntry& entry : put.records)
      state_.jobs.Find(entry.job)->tasks[entry.task.index].planned = false;
  return std::move(batch_);
}

}  // namespace magpie
