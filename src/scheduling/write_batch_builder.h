// Builds one write batch within limits on operations, conditions and bytes.
//
// Invariant: Task::planned is set while the batch under construction has the task's record, so that
// a rewritten page does not get the record twice. A page in the batch keeps the durable records of
// all tasks whose latest record it has.
#pragma once

#include <cstddef>

#include "model/write_batch.h"
#include "scheduling/cluster_state.h"

namespace magpie {

// Builds one batch; not reusable. Not thread-safe: it belongs to one scheduler.
class WriteBatchBuilder {
 public:
  // `state` must outlive the builder.
  WriteBatchBuilder(ClusterState& state, std::size_t max_operations);

  // Adds the job's final record; returns false if the batch has no space for it.
  bool AddFinal(const Job& job, JobOutcome outcome);
  // Adds as many of the job's unpersisted tasks as the batch has space for; returns whether all
  // were added.
  bool AddUnpersistedTasks(Job& job);
  // Adds the removal of a page without live records. The batch must have no other changes.
  void AddRemoval(RecordPageId page);

  bool empty() const { return batch_.empty(); }
  std::size_t operations() const { return operations_; }
  // Returns the batch. The builder must not be used afterwards.
  WriteBatch Finish();

 private:
  bool HasSpaceFor(std::size_t operations, std::size_t conditions) const;
  bool HasSpaceInPage(std::size_t bytes) const;
  bool AddPage();
  std::size_t KeepLiveRecords(WriteBatch::Put& put);
  void ConsumeBytes(std::size_t bytes);

  ClusterState& state_;
  WriteBatch batch_;
  std::size_t max_operations_;
  std::size_t max_conditions_;
  std::size_t operations_ = 0;
  std::size_t conditions_;
  std::size_t bytes_left_;
  std::size_t page_bytes_left_ = 0;  // in the last page of the batch
};

}  // namespace magpie
