// Running tasks, ordered by the time at which they will have run far longer than expected.
//
// Invariant: a task has an entry if and only if Task::overdue is set; the entry has that time.
#pragma once

#include <compare>
#include <cstdint>
#include <set>

#include "model/time.h"
#include "scheduling/job_state.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class OverdueTasks {
 public:
  struct Entry {
    Instant overdue_at;
    std::uint32_t job_serial = 0;
    std::uint32_t index = 0;
    auto operator<=>(const Entry&) const = default;
  };

  void Clear() { entries_.clear(); }
  // The task must not have an entry.
  void Add(Job& job, std::uint32_t index, Instant overdue_at);
  // Does nothing if the task has no entry.
  void Remove(Job& job, std::uint32_t index);
  bool empty() const { return entries_.empty(); }
  // The entry with the earliest time; there must be one.
  const Entry& first() const { return *entries_.begin(); }

 private:
  std::set<Entry> entries_;
};

}  // namespace magpie
