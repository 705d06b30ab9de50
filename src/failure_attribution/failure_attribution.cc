#include "failure_attribution/failure_attribution.h"

#include <algorithm>
#include <cmath>

namespace magpie {
namespace {
constexpr std::size_t kMinMachinesOfFaultyJob = 3;  // that it failed on
constexpr std::size_t kMinJobsOfFaultyMachine = 2;  // that failed on it
constexpr std::size_t kMaxKept = 16;                // machines of a job, jobs of a machine
constexpr std::uint32_t kMaxTasksOfSuspect = 2;     // at a time
constexpr Seconds kFirstSuspicion{2};
constexpr Seconds kMaxSuspicion{16};
constexpr Seconds kFirstPause{1};
constexpr Seconds kMaxPause{30};
// A task runs well once it has run for so many times its job's longest failure, and a margin.
constexpr double kRunsWellFactor = 3;
constexpr Seconds kRunsWellMargin{5};
constexpr std::uint64_t kManyAttempts = 4;  // without an end: see OnAttemptsLoaded

Seconds Doubled(Seconds first, std::uint32_t times, Seconds maximum) {
  constexpr std::uint32_t kMaxDoublings = 10;
  return std::min(maximum, std::exp2(std::min(times, kMaxDoublings)) * first);
}
}  // namespace

bool FailureAttribution::Wrong(Job job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && !it->second.well && it->second.machines >= kMinMachinesOfFaultyJob;
}

bool FailureAttribution::HasSuspicion(Job job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && (it->second.failures > 0 || it->second.recalled != kUnlimited);
}

// How many jobs failed on the machine that are not known to be faulty themselves.
std::size_t FailureAttribution::Suspicious(const MachineState& machine) const {
  return static_cast<std::size_t>(std::count_if(machine.jobs.begin(), machine.jobs.end(),
                                                [this](Job job) { return !Wrong(job); }));
}

void FailureAttribution::AddJob(MachineState& machine, Job job) const {
  if (std::find(machine.jobs.begin(), machine.jobs.end(), job) != machine.jobs.end()) return;
  if (machine.jobs.size() >= kMaxKept)
    std::erase_if(machine.jobs, [this](Job other) { return Wrong(other); });
  if (machine.jobs.size() < kMaxKept) machine.jobs.push_back(job);
}

FailureAttribution::Verdict FailureAttribution::OnTaskFailed(Job job, const MachineId& machine,
                                                             Seconds life, Instant now) {
  JobState& state = jobs_[job];
  ++state.failures;
  state.longest = std::max(state.longest, life);
  if (state.well) return {{machine}, {}};
  const bool was_faulty = Wrong(job);
  if (std::find(state.failed_on.begin(), state.failed_on.end(), machine) == state.failed_on.end()) {
    ++state.machines;
    if (state.failed_on.size() < kMaxKept) state.failed_on.push_back(machine);
  }
  MachineState& host = machines_[machine];
  AddJob(host, job);
  if (Wrong(job)) {
    // It fails wherever it runs, so its machines are not suspected for it any more.
    if (!was_faulty)
      for (const MachineId& other : state.failed_on)
        if (const auto it = machines_.find(other);
            it != machines_.end() && Suspicious(it->second) == 0)
          it->second.suspected_until = {};
    // Many tasks may fail at once; each round of tries makes the pause longer.
    if (now >= state.not_before)
      state.not_before = now + Doubled(kFirstPause, state.rounds++, kMaxPause);
    return {};
  }
  if (Suspicious(host) >= kMinJobsOfFaultyMachine) return {{machine}, {}};
  // Several tasks that fail there at once count as one suspicion.
  if (now >= host.suspected_until)
    host.suspected_until = now + Doubled(kFirstSuspicion, host.doubts++, kMaxSuspicion);
  return {{}, {machine}};
}

// The machines that the job failed on without a success since are faulty.
FailureAttribution::Verdict FailureAttribution::RunsWell(Job job, const MachineId& machine) {
  JobState& state = jobs_[job];
  Verdict verdict;
  for (const MachineId& other : state.failed_on)
    if (other != machine) verdict.faulty.push_back(other);
  state = {};
  state.well = true;
  return verdict;
}

FailureAttribution::Verdict FailureAttribution::OnTaskCompleted(Job job, const MachineId& machine) {
  // The machine completes tasks, so jobs that failed there before did so by chance or are faulty
  // themselves.
  if (const auto it = machines_.find(machine); it != machines_.end()) {
    for (const Job other : it->second.jobs)
      if (const auto there = jobs_.find(other); there != jobs_.end())
        std::erase(there->second.failed_on, machine);
    machines_.erase(it);
  }
  if (const auto it = jobs_.find(job); it != jobs_.end()) std::erase(it->second.failed_on, machine);
  return RunsWell(job, machine);
}

FailureAttribution::Verdict FailureAttribution::OnTaskRunning(Job job, const MachineId& machine,
                                                              Seconds life) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.well) return {};
  if (life < kRunsWellFactor * it->second.longest + kRunsWellMargin) return {};
  return RunsWell(job, machine);
}

void FailureAttribution::OnAttemptsLoaded(Job job, Attempt maximum) {
  if (maximum.value >= kManyAttempts) jobs_[job].recalled = kMaxTasksOfSuspect;
}

void FailureAttribution::Forget(Job job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  for (const MachineId& machine : it->second.failed_on) {
    const auto there = machines_.find(machine);
    if (there == machines_.end()) continue;
    std::erase(there->second.jobs, job);
    if (there->second.jobs.empty()) machines_.erase(there);
  }
  jobs_.erase(it);
}

void FailureAttribution::Forget(const MachineId& machine) { machines_.erase(machine); }

void FailureAttribution::Clear() {
  jobs_.clear();
  machines_.clear();
}

std::uint32_t FailureAttribution::MaxConcurrentTasks(Job job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.well) return kUnlimited;
  const JobState& state = it->second;
  if (state.machines >= kMinMachinesOfFaultyJob) return 1;
  return state.machines + 1 >= kMinMachinesOfFaultyJob ? kMaxTasksOfSuspect : state.recalled;
}

Instant FailureAttribution::NotBefore(Job job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() || it->second.well ? Instant{} : it->second.not_before;
}

Instant FailureAttribution::SuspectedUntil(const MachineId& machine) const {
  const auto it = machines_.find(machine);
  return it == machines_.end() ? Instant{} : it->second.suspected_until;
}

}  // namespace magpie
