// Attributes task failures to faulty jobs or to faulty machines.
//
// Rules: Failures of a job that has run well anywhere are attributed to the machines. A job that
// failed on several machines and never ran well is considered faulty: its failures no longer count
// against the machines, and it is retried one task at a time with growing pauses. Failures of
// several jobs on one machine, none of them known to be faulty, are attributed to the machine.
// Until the evidence suffices, the machine is suspected and gets no new work for a limited time.
//
// Pure: takes events and the time, and returns verdicts. Not thread-safe. Memory is bounded: a
// limited number of machines per job and of jobs per machine. A new leader starts without evidence
// (docs/notes/failure-attribution.md describes the cost).
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
  using JobSerial = std::uint32_t;  // never reused
  static constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();

  struct Verdict {
    std::vector<MachineId> faulty;     // must get no more work
    std::vector<MachineId> suspected;  // must get no work until SuspectedUntil()
  };

  // A task of the job failed on the machine, `run_time` after it was first reported running.
  Verdict OnTaskFailed(JobSerial job, const MachineId& machine, Seconds run_time, Instant now);
  // A task of the job completed on the machine.
  Verdict OnTaskCompleted(JobSerial job, const MachineId& machine);
  // A task of the job has run on the machine for `run_time`. Services never complete and arrays may
  // take long, so a run far longer than those of the job's failed tasks counts as running well.
  Verdict OnTaskRunning(JobSerial job, const MachineId& machine, Seconds run_time);
  // Whether OnTaskRunning() could change the state of the job.
  bool HasSuspicion(JobSerial job) const;
  // The records loaded at a takeover show no completed task of the job and at most `max_attempt`
  // attempts of a task. If that is many, the job's concurrent tasks are limited at first.
  void OnAttemptsLoaded(JobSerial job, Attempt max_attempt);
  void Forget(JobSerial job);
  void Forget(const MachineId& machine);
  void Clear();

  // The number of tasks of the job that may be on machines at the same time.
  std::uint32_t MaxConcurrentTasks(JobSerial job) const;
  // No further task of the job may be started before this time.
  Instant NotBefore(JobSerial job) const;
  // No task may be started on the machine before this time.
  Instant SuspectedUntil(const MachineId& machine) const;
  // Whether there is no evidence against any machine.
  bool quiet() const { return machines_.empty(); }
  // Whether the job is considered faulty: it failed on several machines and never ran well.
  bool IsFaulty(JobSerial job) const;

 private:
  struct JobState {
    bool ran_well = false;                   // a task completed or ran for long on some machine
    std::uint32_t failures = 0;              // since a task last ran well
    std::uint32_t failed_machine_count = 0;  // number of machines on which it failed since then
    std::vector<MachineId> failed_machines;  // those on which no task has completed since
    Seconds longest_failed_run;              // the longest run time of a failed task
    std::uint32_t retry_rounds = 0;          // since the job has been considered faulty
    Instant not_before;
    std::uint32_t max_tasks_after_takeover = kUnlimited;  // limit of concurrent tasks
  };
  struct MachineState {
    std::vector<JobSerial> jobs;  // distinct jobs that failed on it since a task completed on it
    std::uint32_t suspicion_count = 0;
    Instant suspected_until;
  };
  std::size_t CountSuspiciousJobs(const MachineState& machine) const;
  void AddFailedJob(MachineState& machine, JobSerial job) const;
  Verdict MarkRanWell(JobSerial job, const MachineId& machine);

  std::map<JobSerial, JobState> jobs_;
  std::unordered_map<MachineId, MachineState, IdHash> machines_;
};

}  // namespace magpie
