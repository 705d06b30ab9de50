#include "controller/final_record_cache.h"

namespace magpie {

std::optional<records::FinalRecord> FinalRecordCache::Find(const JobId& id) {
  std::scoped_lock lock(mutex_);
  const auto it = by_job_.find(id.value);
  if (it == by_job_.end()) return std::nullopt;
  entries_.splice(entries_.begin(), entries_, it->second);
  return it->second->record;
}

void FinalRecordCache::Put(const JobId& id, const records::FinalRecord& record) {
  std::scoped_lock lock(mutex_);
  if (by_job_.contains(id.value)) return;
  entries_.push_front({id.value, record});
  by_job_[id.value] = entries_.begin();
  if (entries_.size() > max_records_) {
    by_job_.erase(entries_.back().job);
    entries_.pop_back();
  }
}

}  // namespace magpie
