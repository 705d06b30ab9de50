// A cache of final records, which never change.
#pragma once

#include <cstddef>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "model/ids.h"
#include "records/records.h"

namespace magpie {

// Evicts the least recently used records. Thread safe.
class FinalRecordCache {
 public:
  explicit FinalRecordCache(std::size_t max_records) : max_records_(max_records) {}
  std::optional<records::FinalRecord> Find(const JobId& id);
  void Put(const JobId& id, const records::FinalRecord& record);

 private:
  struct Entry {
    std::string job;
    records::FinalRecord record;
  };
  using Entries = std::list<Entry>;

  std::size_t max_records_;
  std::mutex mutex_;  // guards the members below
  Entries entries_;   // most recently used first
  std::unordered_map<std::string, Entries::iterator> by_job_;
};

}  // namespace magpie
