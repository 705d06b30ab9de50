#include "scheduling/record_pages.h"

#include <algorithm>

namespace magpie {

void RecordPages::Clear() { *this = RecordPages{}; }

RecordPages::Id RecordPages::Add(Page page) {
  const Id id = ++last_id_;
  const bool shared = page.key.job.value.empty();
  pages_.emplace(id, std::move(page));
  empty_.insert(id);
  if (shared) {
    by_live_.emplace(0, id);
    ++empty_shared_;
  }
  return id;
}

RecordPages::Id RecordPages::AddLoaded(const RecordPageKey& key, Revision revision) {
  if (key.job.value.empty()) next_number_ = std::max(next_number_, key.number + 1);
  return Add({key, revision, 0, {}});
}

void RecordPages::ChangeLiveCount(Id id, int change) {
  Page& page = pages_.at(id);
  const bool shared = page.key.job.value.empty();
  if (shared) by_live_.erase({page.live, id});
  if (page.live == 0) {
    empty_.erase(id);
    empty_shared_ -= shared ? 1 : 0;
  }
  page.live += static_cast<std::uint32_t>(change);
  if (page.live == 0) {
    empty_.insert(id);
    empty_shared_ += shared ? 1 : 0;
  }
  if (shared) by_live_.emplace(page.live, id);
}

void RecordPages::Put(Id page, Holder holder, Id& current) {
  pages_.at(page).holders.push_back(holder);
  if (current == page) return;
  Unassign(current);
  current = page;
  ChangeLiveCount(page, 1);
}

void RecordPages::Unassign(Id& current) {
  if (current != 0) ChangeLiveCount(current, -1);
  current = 0;
}

RecordPages::Id RecordPages::SelectForWrite(std::uint32_t max_live,
                                            const std::vector<Id>& excluded) {
  for (const auto& [live, id] : by_live_) {
    if (live > max_live) break;
    if (std::find(excluded.begin(), excluded.end(), id) == excluded.end()) return id;
  }
  return Add({{{}, next_number_++}, {}, 0, {}});
}

void RecordPages::OnWritten(Id page, Revision revision) {
  Page& written = pages_.at(page);
  written.revision = revision;
  written.holders.clear();
}

std::optional<RecordPages::Id> RecordPages::FindRemovable() const {
  for (const Id id : empty_) {
    const Page& page = pages_.at(id);
    if (page.revision.value != 0 && (!page.key.job.value.empty() || empty_shared_ > kMaxSparePages))
      return id;
  }
  return std::nullopt;
}

void RecordPages::OnRemoved(Id page) {
  const Page& removed = pages_.at(page);
  if (removed.key.job.value.empty()) {
    by_live_.erase({removed.live, page});
    --empty_shared_;
  }
  empty_.erase(page);
  pages_.erase(page);
}

}  // namespace magpie
