#include "load_test/leadership_log.h"

#include <algorithm>

#include "records/records.h"

namespace magpie::load_test {

void LeadershipLog::OnCommit(const Transaction& transaction, Instant at) {
  for (const Change& change : transaction.changes) {
    if (change.key != records::kEpochKey || !change.value) continue;
    if (const auto started = recorder_.first_start_since()) {
      std::lock_guard lock(mutex_);
      if (!takeovers_.empty()) first_starts_.push_back({takeovers_.back().at, *started});
    }
    recorder_.ResetFirstStart(at);
    std::lock_guard lock(mutex_);
    takeovers_.push_back({change.value->value("leader", ""), at});
  }
}

void LeadershipLog::RecordLeaderKill(const std::string& leader, Instant at) {
  std::lock_guard lock(mutex_);
  kills_.push_back({leader, at});
}

std::string LeadershipLog::Leader() {
  std::lock_guard lock(mutex_);
  return takeovers_.empty() ? "" : takeovers_.back().leader;
}

nlohmann::json LeadershipLog::TakeoversToJson() {
  std::lock_guard lock(mutex_);
  if (const auto started = recorder_.first_start_since())
    if (!takeovers_.empty()) first_starts_.push_back({takeovers_.back().at, *started});
  nlohmann::json takeovers = nlohmann::json::array();
  for (const Takeover& kill : kills_) {
    nlohmann::json entry{{"killed", kill.leader}};
    const auto next = std::find_if(takeovers_.begin(), takeovers_.end(),
                                   [&](const Takeover& takeover) { return takeover.at > kill.at; });
    if (next != takeovers_.end()) {
      entry["epoch_after_s"] = (next->at - kill.at).value;
      for (const FirstStart& start : first_starts_)
        if (start.epoch_at == next->at) entry["first_start_after_s"] = (start.at - kill.at).value;
    }
    takeovers.push_back(std::move(entry));
  }
  return takeovers;
}

}  // namespace magpie::load_test
