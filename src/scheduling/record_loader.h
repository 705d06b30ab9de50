// Rebuilds jobs, tasks and machines from the durable records at a takeover, and applies later
// changes of job records.
//
// Invariant: records may be read in any order, and a task may have several in different pages. Of
// two records of a task the later one is used: the one with the task done, else the one with the
// higher attempt, else the one with the attempt unbound. The order of pages has no effect.
#pragma once

#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/time.h"
#include "model/write_batch.h"
#include "scheduling/cluster_state.h"
#include "scheduling/task_lifecycle.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class RecordLoader {
 public:
  // Both arguments must outlive this object.
  RecordLoader(ClusterState& state, TaskLifecycle& lifecycle)
      : state_(state), lifecycle_(lifecycle) {}

  // Loads the job's record at `revision`. A revision older than the loaded one is ignored.
  void LoadJob(const JobSpec& spec, bool cancelled, Revision revision);
  // The job's record at `revision` shows that the job was cancelled.
  void OnJobCancelled(const JobId& id, Revision revision);
  // The job's record was removed at `revision`, since the job is final.
  void OnJobRemoved(const JobId& id, Revision revision);
  void LoadPage(const RecordPageKey& key, const std::vector<RecordPageEntry>& records,
                Revision revision);
  // Called when all records have been read.
  void Finish(Instant now);

 private:
  void UpdateJob(Job& job, bool cancelled, Revision revision);
  void ApplyRecord(Job& job, const TaskRecord& record);
  void FinishJob(Job& job, Instant now);
  void FinishMachines(Instant now);

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
};

}  // namespace magpie
