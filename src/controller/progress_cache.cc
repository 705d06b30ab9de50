#include "controller/progress_cache.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock/clock.h"
#include "controller/retry.h"
#include "protocol/codec.h"

namespace magpie {
namespace {

using protocol::Json;

constexpr Seconds kFetchInterval{2};
constexpr Seconds kMaxAge{8};  // of fetched counts

std::map<JobId, JobProgress> ProgressFromJsonText(const std::string& text) {
  std::map<JobId, JobProgress> progress;
  const Json body = protocol::ParseObject(text);
  for (const auto& [job, counts] : body.items())
    progress[{job}] = {counts.at(0).get<std::uint32_t>(), counts.at(1).get<std::uint32_t>()};
  return progress;
}

}  // namespace

ProgressCache::ProgressCache(LeaderState& state, PeerClients& peers)
    : state_(state), peers_(peers) {}

void ProgressCache::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

std::optional<JobProgress> ProgressCache::Find(const JobId& job) {
  {
    std::scoped_lock lock(state_.mutex());
    if (state_.scheduler().leading()) return state_.scheduler().GetJobProgress(job);
  }
  std::scoped_lock lock(mutex_);
  if (!std::exchange(fetch_requested_, true)) fetch_requested_condition_.notify_one();
  if (SteadyNow() - fetched_at_ > kMaxAge) return std::nullopt;
  const auto found = progress_.find(job);
  return found == progress_.end() ? JobProgress{} : found->second;
}

std::string ProgressCache::ToJsonText(const std::map<JobId, JobProgress>& progress) {
  Json body = Json::object();
  for (const auto& [job, counts] : progress) body[job.value] = {counts.done, counts.running};
  return body.dump();
}

void ProgressCache::Run(const std::stop_token& stop) {
  while (WaitForFetchRequest(stop)) {
    Fetch();
    SleepWithJitter(kFetchInterval, stop);
  }
}

bool ProgressCache::WaitForFetchRequest(const std::stop_token& stop) {
  const std::stop_callback wake_on_stop(stop, [this] {
    std::scoped_lock lock(mutex_);
    fetch_requested_condition_.notify_all();
  });
  std::unique_lock lock(mutex_);
  fetch_requested_condition_.wait(lock, [&] { return fetch_requested_ || stop.stop_requested(); });
  fetch_requested_ = false;
  return !stop.stop_requested();
}

void ProgressCache::Fetch() {
  const std::string leader = state_.leader_label();
  const auto body = peers_.FetchProgress(leader);
  if (!body) return;
  try {
    Update(*body);
  } catch (const protocol::InvalidMessage& error) {
    spdlog::warn("progress rejected peer={} error=\"{}\"", leader, error.what());
  } catch (const nlohmann::json::exception& error) {
    spdlog::warn("progress rejected peer={} error=\"{}\"", leader, error.what());
  }
}

void ProgressCache::Update(const std::string& body) {
  auto progress = ProgressFromJsonText(body);
  std::scoped_lock lock(mutex_);
  progress_ = std::move(progress);
  fetched_at_ = SteadyNow();
}

}  // namespace magpie
