// Tells faulty jobs from faulty machines when tasks fail.
//
// Invariant: evidence is weighed on both sides. The failures of a job that ran well anywhere are
// attributed to the machines. A job that failed on several machines and never ran well is taken to
// be faulty itself: it clears the machines that it failed on, and is tried a few tasks at a time
// with growing pauses. Several jobs that fail on one machine, none of them known to be faulty, are
// attributed to the machine. While it is undecided, the machine gets no new work for a moment, and
// no longer.
//
// Pure: events and the time come in, verdicts go out. Not thread-safe. Memory is bounded: a few
// machines for each suspicious job, a few jobs for each such machine. A takeover begins without
// evidence (docs/notes/failure-attribution.md says what that costs).
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <unordered_map>
#include <vector>

#include "model/id_hash.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class FailureAttribution {
 public:
  using Job = std::uint32_t;  // a job's serial; never used again
  static constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();

  struct Verdict {
    std::vector<MachineId> faulty;     // get no more work
    std::vector<MachineId> suspected;  // get none until SuspectedUntil
  };

  // A task of the job failed on the machine, `life` after it was seen running.
  Verdict OnTaskFailed(Job job, const MachineId& machine, Seconds life, Instant now);
  // A task of the job was completed on the machine.
  Verdict OnTaskCompleted(Job job, const MachineId& machine);
  // A task of the job has run on the machine for `life`. Services never end, and arrays may take
  // long: far longer than the job's failures took counts as running well.
  Verdict OnTaskRunning(Job job, const MachineId& machine, Seconds life);
  // Whether OnTaskRunning could change anything for the job.
  bool HasSuspicion(Job job) const;
  // By the records at a takeover, a task of the job was bound this often and none is done. If that
  // is often, a few tasks are tried at first.
  void OnAttemptsLoaded(Job job, Attempt maximum);
  void Forget(Job job);
  void Forget(const MachineId& machine);
  void Clear();

  // How many tasks of the job may be on machines at a time.
  std::uint32_t MaxConcurrentTasks(Job job) const;
  // Until when no more task of the job is started.
  Instant NotBefore(Job job) const;
  // Until when nothing is started on the machine.
  Instant SuspectedUntil(const MachineId& machine) const;
  // Whether no machine is suspected.
  bool quiet() const { return machines_.empty(); }
  // Whether the job fails wherever it runs.
  bool Wrong(Job job) const;

 private:
  struct JobState {
    bool well = false;                 // ran to its end, or for long, somewhere
    std::uint32_t failures = 0;        // since it ran well
    std::uint32_t machines = 0;        // that it failed on, since it ran well
    std::vector<MachineId> failed_on;  // those without a success since
    Seconds longest;                   // life of what failed
    std::uint32_t rounds = 0;          // of tries since it is taken to be wrong
    Instant not_before;
    std::uint32_t recalled = kUnlimited;  // tries at once after a takeover
  };
  struct MachineState {
    std::vector<Job> jobs;  // different ones that failed there, since a success
    std::uint32_t doubts = 0;
    Instant suspected_until;
  };
  std::size_t Suspicious(const MachineState& machine) const;
  void AddJob(MachineState& machine, Job job) const;
  Verdict RunsWell(Job job, const MachineId& machine);

  std::map<Job, JobState> jobs_;
  std::unordered_map<MachineId, MachineState, IdHash> machines_;
};

}  // namespace magpie
