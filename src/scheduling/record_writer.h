// Selects the durable records to write next, and applies the results of writes.
//
// Invariant: at most one batch is in progress. A binding is durable, and its task may be started,
// only after the batch with it was committed; a binding in a rejected batch never existed outside
// this process. The leader limits its writes to its share of the store's writes per second, since
// users' submissions need the rest.
#pragma once

#include <vector>

#include "model/write_batch.h"
#include "scheduling/cluster_state.h"
#include "scheduling/task_lifecycle.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class RecordWriter {
 public:
  // Both arguments must outlive this object.
  RecordWriter(ClusterState& state, TaskLifecycle& lifecycle)
      : state_(state), lifecycle_(lifecycle) {}

  void Start(Instant now);
  void Clear() { write_in_progress_ = false; }
  bool write_in_progress() const { return write_in_progress_; }

  // Returns the next batch to write; empty if nothing is to be written now.
  WriteBatch NextBatch(Instant now);
  void OnCommitted(const WriteBatch& batch, Revision revision, Instant now);
  // No part of the batch was written or can still be written.
  void OnRejected(const WriteBatch& batch);

 private:
  void RefillBudget(Instant now);
  double MaxBudget() const;
  bool WritesLowPriorityBindings(Instant now) const;
  std::vector<JobId> WriteOrder(Instant now) const;
  void DiscardUnwrittenBindings(Job& job, Instant now);
  void OnTaskWritten(Job& job, const TaskRecord& record, Instant now);
  void OnFinalWritten(const WriteBatch::Final& final, Instant now);
  void OnTaskRejected(Job& job, const TaskRecord& record);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  bool write_in_progress_ = false;
  double budget_ = 0;  // operations that may be written now
  Instant budget_refilled_;
};

}  // namespace magpie
