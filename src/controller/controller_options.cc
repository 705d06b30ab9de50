#include "controller/controller_options.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace magpie {
namespace {

std::size_t MemoryShare(const Settings& settings, double share) {
  return static_cast<std::size_t>(settings.memory_mb * 1e6 * share);
}

// How many threads may be kept for a purpose, whose stacks and buffers take that share of the
// memory at most.
std::size_t ThreadsWithin(const Settings& settings, double memory_share, std::size_t min_threads,
                          std::size_t max_threads) {
  constexpr std::size_t kBytesOfThread = 64UL * 1024;
  if (settings.memory_mb <= 0) return std::max(min_threads, max_threads / 8);
  const std::size_t threads = MemoryShare(settings, memory_share) / kBytesOfThread;
  return std::clamp(threads, min_threads, max_threads);
}

}  // namespace

Scheduler::Options SchedulerOptions(const Settings& settings) {
  constexpr double kMaxValueFill = 0.95;
  // The rest of the writes is for users' submissions and cancellations.
  constexpr double kLeaderWriteShare = 0.75;
  constexpr double kBytesOfKb = 1024;
  Scheduler::Options options;
  options.teams = settings.teams;
  options.objectives = settings.objectives;
  options.heartbeat_interval = settings.heartbeat_interval;
  options.lease = settings.lease;
  options.cancel_deadline = settings.cancel;
  options.list_lag = settings.list_lag;
  options.max_operations = settings.txn_ops;
  options.max_page_bytes = std::min(
      options.max_bytes, static_cast<std::size_t>(kMaxValueFill * kBytesOfKb * settings.value_kb));
  options.weights = settings.weights;
  options.idle_timeout = settings.idle;
  options.heartbeat_timeout = settings.heartbeat_timeout;
  options.list_interval = settings.list_interval;
  options.boot_timeout_factor = settings.boot_timeout_factor;
  options.headroom = settings.headroom;
  options.headroom_duration = settings.headroom_duration;
  options.writes_per_s = kLeaderWriteShare * settings.write_rps;
  for (const Member& member : settings.others)
    if (member.zone != settings.zone) options.zones_with_controller.insert(member.zone);
  options.log_decisions = spdlog::should_log(spdlog::level::debug);
  return options;
}

// All controllers share the writes that the key-value store takes. Each begins with twice its part
// of them, since users seldom come to all controllers alike, and learns the rest.
SubmissionBatcher::Options SubmissionOptions(const Settings& settings) {
  SubmissionBatcher::Options options;
  options.max_jobs = settings.txn_ops;
  options.rate_limit.maximum = settings.write_rps;
  options.rate_limit.initial = std::min(1.0, 2 / static_cast<double>(settings.others.size() + 1));
  return options;
}

HeartbeatHandler::Options HeartbeatOptions(const Settings& settings) {
  HeartbeatHandler::Options options{settings.lease, settings.leader_lease, {}};
  for (const Member& member : settings.others) options.others.insert(member.label);
  return options;
}

CancellationBroadcaster::Options BroadcasterOptions(const Settings& settings) {
  CancellationBroadcaster::Options options;
  for (const Member& member : settings.others) options.peers.push_back(member.label);
  options.acknowledge_only_when_final =
      !CancellationBroadcaster::AllowsEarlyAcknowledgement(settings.lease, settings.cancel);
  return options;
}

HttpServer::Limits UserServerLimits(const Settings& settings) {
  constexpr double kPendingMemoryShare = 1.0 / 16;  // for requests that have not come whole
  constexpr std::uint32_t kFewSockets = 200;
  const std::size_t connections =
      settings.sockets > kFewSockets ? settings.sockets / 2 : settings.sockets / 3;
  HttpServer::Limits limits{.connections = connections,
                            .keep_alive_connections = connections * 3 / 4,
                            .threads = MaxConcurrentRequests(settings)};
  if (settings.memory_mb > 0) limits.pending_bytes = MemoryShare(settings, kPendingMemoryShare);
  return limits;
}

HttpServer::Limits PeerServerLimits() { return {.connections = 32}; }

Seconds MinPollInterval(const Settings& settings) {
  constexpr double kPollShare = 0.4;  // of the reads, for the polls of all controllers together
  const double controllers = static_cast<double>(settings.others.size() + 1);
  return {controllers / (kPollShare * settings.state_rps)};
}

Seconds MinCloudCallInterval(const Settings& settings) {
  constexpr double kMargin = 1.2;
  return {kMargin / settings.cloud_rps};
}

std::size_t MaxConcurrentRequests(const Settings& settings) {
  return ThreadsWithin(settings, 1.0 / 8, 16, 512);
}

std::size_t ProbeThreads(const Settings& settings) {
  return ThreadsWithin(settings, 1.0 / 16, 16, 96);
}

}  // namespace magpie
