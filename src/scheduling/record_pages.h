// Tracks which durable page holds the latest record of each task.
//
// Pages are shared by all jobs, since the key-value store allows few writes per second, but each
// write may contain a few hundred bindings. A rewritten page keeps those of its records that are
// still the latest of their tasks.
//
// Invariant: a page's count of live records is the number of tasks assigned to the page by Put.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/write_batch.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class RecordPages {
 public:
  using Id = RecordPageId;
  // A task with a record in a page.
  struct Holder {
    std::uint32_t job = 0;  // serial number
    std::uint32_t index = 0;
  };
  struct Page {
    RecordPageKey key;
    Revision revision;            // 0: not written yet
    std::uint32_t live = 0;       // number of records that are the latest of their task
    std::vector<Holder> holders;  // the tasks of all its records, live or not
  };

  void Clear();
  // Adds a page that was read from the store. Its records are added with Put.
  Id AddLoaded(const RecordPageKey& key, Revision revision);
  // Records that the page has the task's latest record. `current` is the task's page before the
  // call, 0 if none, and is set to `page`.
  void Put(Id page, Holder holder, Id& current);
  // Records that the task needs no record. `current` is the task's page and is set to 0.
  void Unassign(Id& current);

  // Returns a shared page to write next that is not in `excluded`: the one with the fewest live
  // records if it has at most `max_live`, else a new one.
  Id SelectForWrite(std::uint32_t max_live, const std::vector<Id>& excluded);
  const Page& at(Id page) const { return pages_.at(page); }
  // Records that the page was rewritten: it then has only the records added with Put afterwards.
  void OnWritten(Id page, Revision revision);

  // Returns a durable page to remove: one without live records that is not kept as a spare.
  std::optional<Id> FindRemovable() const;
  // Records that the page was removed from the store.
  void OnRemoved(Id page);

 private:
  static constexpr std::size_t kMaxSparePages = 4;  // empty shared pages kept for later writes
  Id Add(Page page);
  void ChangeLiveCount(Id id, int change);

  std::unordered_map<Id, Page> pages_;
  std::set<std::pair<std::uint32_t, Id>> by_live_;  // shared pages by number of live records
  // Pages without live records, including blocks of single jobs as written by earlier versions.
  std::set<Id> empty_;
  std::size_t empty_shared_ = 0;  // number of shared pages in empty_
  Id last_id_ = 0;
  std::uint64_t next_number_ = 1;
};

}  // namespace magpie
