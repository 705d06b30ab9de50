#include "failure_attribution/failure_attribution.h"

#include <algorithm>
#include <cmath>

namespace magpie {
namespace {
constexpr std::size_t kMinMachinesForFaultyJob = 3;  // machines on which the job failed
constexpr std::size_t kMinJobsForFaultyMachine = 2;  // jobs that failed on the machine
constexpr std::size_t kMaxTracked = 16;  // maximum of machines per job and of jobs per machine
constexpr std::uint32_t kMaxTasksOfSuspectedJob = 2;  // concurrent tasks
constexpr Seconds kInitialSuspicion{2};
constexpr Seconds kMaxSuspicion{16};
constexpr Seconds kInitialRetryPause{1};
constexpr Seconds kMaxRetryPause{30};
// A task counts as running well after kRunsWellFactor times its job's longest run time until a
// failure, plus a margin.
constexpr double kRunsWellFactor = 3;
constexpr Seconds kRunsWellMargin{5};
constexpr std::uint64_t kSuspiciousAttempts = 4;  // of one task of a job without completed tasks

Seconds ExponentialDelay(Seconds initial, std::uint32_t doublings, Seconds maximum) {
  constexpr std::uint32_t kMaxDoublings = 10;
  return std::min(maximum, std::exp2(std::min(doublings, kMaxDoublings)) * initial);
}
}  // namespace

bool FailureAttribution::IsFaulty(JobSerial job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && !it->second.ran_well &&
         it->second.failed_machine_count >= kMinMachinesForFaultyJob;
}

bool FailureAttribution::HasSuspicion(JobSerial job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() &&
         (it->second.failures > 0 || it->second.max_tasks_after_takeover != kUnlimited);
}

// Counts the jobs that failed on the machine and are not known to be faulty.
std::size_t FailureAttribution::CountSuspiciousJobs(const MachineState& machine) const {
  return static_cast<std::size_t>(std::count_if(machine.jobs.begin(), machine.jobs.end(),
                                                [this](JobSerial job) { return !IsFaulty(job); }));
}

void FailureAttribution::AddFailedJob(MachineState& machine, JobSerial job) const {
  if (std::find(machine.jobs.begin(), machine.jobs.end(), job) != machine.jobs.end()) return;
  if (machine.jobs.size() >= kMaxTracked)
    std::erase_if(machine.jobs, [this](JobSerial other) { return IsFaulty(other); });
  if (machine.jobs.size() < kMaxTracked) machine.jobs.push_back(job);
}

FailureAttribution::Verdict FailureAttribution::OnTaskFailed(JobSerial job,
                                                             const MachineId& machine,
                                                             Seconds run_time, Instant now) {
  JobState& state = jobs_[job];
  ++state.failures;
  state.longest_failed_run = std::max(state.longest_failed_run, run_time);
  if (state.ran_well) return {{machine}, {}};
  const bool was_faulty = IsFaulty(job);
  if (std::find(state.failed_machines.begin(), state.failed_machines.end(), machine) ==
      state.failed_machines.end()) {
    ++state.failed_machine_count;
    if (state.failed_machines.size() < kMaxTracked) state.failed_machines.push_back(machine);
  }
  MachineState& machine_state = machines_[machine];
  AddFailedJob(machine_state, job);
  if (IsFaulty(job)) {
    // The job fails wherever it runs, so it no longer counts as evidence against its machines.
    if (!was_faulty)
      for (const MachineId& other : state.failed_machines)
        if (const auto it = machines_.find(other);
            it != machines_.end() && CountSuspiciousJobs(it->second) == 0)
          it->second.suspected_until = {};
    // Tasks that fail during the pause belong to the same round of retries and do not extend it.
    if (now >= state.not_before)
      state.not_before =
          now + ExponentialDelay(kInitialRetryPause, state.retry_rounds++, kMaxRetryPause);
    return {};
  }
  if (CountSuspiciousJobs(machine_state) >= kMinJobsForFaultyMachine) return {{machine}, {}};
  // Failures on the machine while it is suspected count as one suspicion.
  if (now >= machine_state.suspected_until)
    machine_state.suspected_until =
        now + ExponentialDelay(kInitialSuspicion, machine_state.suspicion_count++, kMaxSuspicion);
  return {{}, {machine}};
}

// Reports as faulty the machines on which the job failed and no task has completed since, except
// `machine`, on which the job has run well.
FailureAttribution::Verdict FailureAttribution::MarkRanWell(JobSerial job,
                                                            const MachineId& machine) {
  JobState& state = jobs_[job];
  Verdict verdict;
  for (const MachineId& other : state.failed_machines)
    if (other != machine) verdict.faulty.push_back(other);
  state = {};
  state.ran_well = true;
  return verdict;
}

FailureAttribution::Verdict FailureAttribution::OnTaskCompleted(JobSerial job,
                                                                const MachineId& machine) {
  // The machine completes tasks, so earlier failures on it were chance or the fault of the jobs.
  if (const auto it = machines_.find(machine); it != machines_.end()) {
    for (const JobSerial other : it->second.jobs)
      if (const auto entry = jobs_.find(other); entry != jobs_.end())
        std::erase(entry->second.failed_machines, machine);
    machines_.erase(it);
  }
  if (const auto it = jobs_.find(job); it != jobs_.end())
    std::erase(it->second.failed_machines, machine);
  return MarkRanWell(job, machine);
}

FailureAttribution::Verdict FailureAttribution::OnTaskRunning(JobSerial job,
                                                              const MachineId& machine,
                                                              Seconds run_time) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.ran_well) return {};
  if (run_time < kRunsWellFactor * it->second.longest_failed_run + kRunsWellMargin) return {};
  return MarkRanWell(job, machine);
}

void FailureAttribution::OnAttemptsLoaded(JobSerial job, Attempt max_attempt) {
  if (max_attempt.value >= kSuspiciousAttempts)
    jobs_[job].max_tasks_after_takeover = kMaxTasksOfSuspectedJob;
}

void FailureAttribution::Forget(JobSerial job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  for (const MachineId& machine : it->second.failed_machines) {
    const auto entry = machines_.find(machine);
    if (entry == machines_.end()) continue;
    std::erase(entry->second.jobs, job);
    if (entry->second.jobs.empty()) machines_.erase(entry);
  }
  jobs_.erase(it);
}

void FailureAttribution::Forget(const MachineId& machine) { machines_.erase(machine); }

void FailureAttribution::Clear() {
  jobs_.clear();
  machines_.clear();
}

std::uint32_t FailureAttribution::MaxConcurrentTasks(JobSerial job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.ran_well) return kUnlimited;
  const JobState& state = it->second;
  if (state.failed_machine_count >= kMinMachinesForFaultyJob) return 1;
  return state.failed_machine_count + 1 >= kMinMachinesForFaultyJob
             ? kMaxTasksOfSuspectedJob
             : state.max_tasks_after_takeover;
}

Instant FailureAttribution::NotBefore(JobSerial job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() || it->second.ran_well ? Instant{} : it->second.not_before;
}

Instant FailureAttribution::SuspectedUntil(const MachineId& machine) const {
  const auto it = machines_.find(machine);
  return it == machines_.end() ? Instant{} : it->second.suspected_until;
}

}  // namespace magpie
