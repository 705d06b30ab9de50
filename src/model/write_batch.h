// The leader's durable records and the transaction that writes them.
//
// Task records are grouped into pages, each stored under one key, so that one transaction can write
// the bindings of many jobs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"

namespace magpie {

// How a job ended.
enum class JobOutcome { kDone, kCancelled };

// The durable record of a task. A task that was never bound has no record.
struct TaskRecord {
  std::uint32_t index = 0;
  Attempt attempt;
  bool done = false;
  MachineId machine;  // empty if the task is not bound
  std::string zone;
  bool operator==(const TaskRecord&) const = default;
};

// Identifies a page that all jobs share or, as written by earlier versions, a page that holds a
// block of tasks of a single job.
struct RecordPageKey {
  JobId job;  // empty: a shared page
  std::uint64_t number = 0;
  auto operator<=>(const RecordPageKey&) const = default;
};

// One task's record in a page.
struct RecordPageEntry {
  JobId job;
  TaskRecord task;
};

// The leader's in-memory number of a page, which is not stored. 0: no page.
using RecordPageId = std::uint32_t;

// One transaction of the leader. The code that commits it adds the conditions on the leader key and
// on the epoch. The transaction applies only if each key below is at its expected revision.
struct WriteBatch {
  // Writes a page.
  struct Put {
    RecordPageId page = 0;
    RecordPageKey key;
    Revision expected;
    std::size_t rewritten = 0;  // number of leading entries of `records` that are not new
    std::vector<RecordPageEntry> records;
  };
  // Deletes a page without live records.
  struct Drop {
    RecordPageId page = 0;
    RecordPageKey key;
    Revision expected;
  };
  // Replaces a job's record by its final record.
  struct Final {
    JobId job;
    JobOutcome state = JobOutcome::kDone;
    std::uint32_t tasks = 0;
  };
  std::vector<Put> puts;
  std::vector<Drop> drops;
  std::vector<Final> finals;
  // Expected revisions of the job keys of jobs with new records.
  std::map<JobId, Revision> expected_job_revisions;

  bool empty() const { return puts.empty() && drops.empty() && finals.empty(); }
};

}  // namespace magpie
