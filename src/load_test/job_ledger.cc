#include "load_test/job_ledger.h"

#include <functional>

namespace magpie::load_test {
namespace {

// Maps a task to a number in [0, 1).
double HashToUnitInterval(const JobId& job, std::uint32_t task) {
  // 2^64 divided by the golden ratio, as an odd number: maps adjacent numbers to distant hashes.
  constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15;
  const std::uint64_t task_hash =
      (std::hash<std::string>()(job.value) + task + 1) * kHashMultiplier;
  constexpr int kMantissaBits = 53;  // of a double
  return static_cast<double>(task_hash >> (64 - kMantissaBits)) /
         static_cast<double>(1ULL << kMantissaBits);
}

}  // namespace

Seconds RunTimeOf(const SubmittedJob& job, std::uint32_t task) {
  const double factor = 1 + job.run_time_spread * (2 * HashToUnitInterval(job.spec.id, task) - 1);
  return factor * job.run_time;
}

void JobLedger::Add(const SubmittedJob& job) {
  std::lock_guard lock(mutex_);
  jobs_.insert_or_assign(job.spec.id, job);
}

void JobLedger::Remove(const JobId& id) {
  std::lock_guard lock(mutex_);
  jobs_.erase(id);
}

std::optional<SubmittedJob> JobLedger::Find(const JobId& id) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? std::nullopt : std::optional(it->second);
}

agent::JobDescription DescriptionOf(const JobSpec& spec) {
  return {spec.per_task, spec.image, spec.image_gb, spec.checkpoint_interval, spec.save_duration};
}

}  // namespace magpie::load_test
