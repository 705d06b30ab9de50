#include "scheduling/job_table.h"

namespace magpie {

void JobTable::Clear() {
  changed_.clear();
  queued_.clear();
  by_serial_.clear();
  jobs_.clear();
}

Job& JobTable::Add(const JobSpec& spec) {
  auto& job = jobs_[spec.id];
  job = std::make_unique<Job>();
  job->spec = spec;
  job->tasks.resize(spec.tasks);
  job->serial = ++last_serial_;
  by_serial_[job->serial] = job.get();
  return *job;
}

void JobTable::Remove(Job& job) {
  queued_.erase(&job);
  by_serial_.erase(job.serial);
  const JobId id = job.spec.id;  // the key must outlive the job
  jobs_.erase(id);
}

Job* JobTable::Find(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Job* JobTable::FindBySerial(std::uint32_t serial) const {
  const auto it = by_serial_.find(serial);
  return it == by_serial_.end() ? nullptr : it->second;
}

Job* JobTable::FindFrom(const Machine& machine, const JobId& id) const {
  for (const HeldTask& held : machine.tasks)
    if (held.job->spec.id == id) return held.job;
  return Find(id);
}

}  // namespace magpie
