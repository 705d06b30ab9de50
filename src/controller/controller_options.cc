#include "controller/controller_options.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace magpie {
namespace {

std::size_t MemoryShare(const Settings& settings, double share) {
  return static_cast<std::size_t>(settings.max_memory_mb * 1e6 * share);
}

// The number of threads whose stacks and buffers fit into the given share of the memory limit.
std::size_t ThreadsForMemoryShare(const Settings& settings, double memory_share,
                                  std::size_t min_threads, std::size_t max_threads) {
  constexpr std::size_t kBytesPerThread = 64UL * 1024;
  if (settings.max_memory_mb <= 0) return std::max(min_threads, max_threads / 8);
  const std::size_t threads = MemoryShare(settings, memory_share) / kBytesPerThread;
  return std::clamp(threads, min_threads, max_threads);
}

}  // namespace

Scheduler::Options SchedulerOptions(const Settings& settings) {
  constexpr double kMaxValueFill = 0.95;
  // The remaining writes are for submissions and cancellations.
  constexpr double kLeaderWriteShare = 0.75;
  constexpr double kBytesPerKib = 1024;
  Scheduler::Options options;
  options.teams = settings.teams;
  options.objectives = settings.objectives;
  options.heartbeat_interval = settings.heartbeat_interval;
  options.lease = settings.lease;
  options.cancel_deadline = settings.cancel_deadline;
  options.list_lag = settings.list_lag;
  options.max_operations = settings.max_transaction_operations;
  options.max_page_bytes =
      std::min(options.max_bytes,
               static_cast<std::size_t>(kMaxValueFill * kBytesPerKib * settings.max_value_kib));
  options.weights = settings.weights;
  options.idle_timeout = settings.idle_timeout;
  options.heartbeat_timeout = settings.heartbeat_timeout;
  options.list_interval = settings.list_interval;
  options.boot_timeout_factor = settings.boot_timeout_factor;
  options.headroom = settings.headroom;
  options.headroom_duration = settings.headroom_duration;
  options.writes_per_s = kLeaderWriteShare * settings.store_writes_per_s;
  for (const PeerSettings& peer : settings.peers)
    if (peer.zone != settings.zone) options.zones_with_controller.insert(peer.zone);
  options.log_decisions = spdlog::should_log(spdlog::level::debug);
  return options;
}

// All controllers share the write rate of the key-value store. Each starts with twice its equal
// share, since users are rarely spread evenly over the controllers, and then adapts the rate.
SubmissionBatcher::Options SubmissionOptions(const Settings& settings) {
  SubmissionBatcher::Options options;
  options.max_jobs = settings.max_transaction_operations;
  options.rate_limit.maximum = settings.store_writes_per_s;
  options.rate_limit.initial = std::min(1.0, 2 / static_cast<double>(settings.peers.size() + 1));
  return options;
}

HeartbeatHandler::Options HeartbeatOptions(const Settings& settings) {
  constexpr std::size_t kDelayedResponsesShare = 4;  // of the request threads: one of so many
  HeartbeatHandler::Options options{settings.lease, settings.leader_lease, {}};
  for (const PeerSettings& peer : settings.peers) options.peers.insert(peer.label);
  options.max_delayed_responses = MaxConcurrentRequests(settings) / kDelayedResponsesShare;
  return options;
}

CancellationBroadcaster::Options BroadcasterOptions(const Settings& settings) {
  CancellationBroadcaster::Options options;
  for (const PeerSettings& peer : settings.peers) options.peers.push_back(peer.label);
  options.acknowledge_only_when_final = !CancellationBroadcaster::AllowsEarlyAcknowledgement(
      settings.lease, settings.cancel_deadline);
  return options;
}

HttpServer::Limits UserServerLimits(const Settings& settings) {
  constexpr double kPendingMemoryShare = 1.0 / 16;  // for incomplete requests
  constexpr std::uint32_t kSmallSocketLimit = 200;
  const std::size_t connections = settings.max_sockets > kSmallSocketLimit
                                      ? settings.max_sockets / 2
                                      : settings.max_sockets / 3;
  HttpServer::Limits limits{.connections = connections,
                            .keep_alive_connections = connections * 3 / 4,
                            .threads = MaxConcurrentRequests(settings)};
  if (settings.max_memory_mb > 0) limits.pending_bytes = MemoryShare(settings, kPendingMemoryShare);
  return limits;
}

HttpServer::Limits PeerServerLimits() { return {.connections = 32}; }

Seconds MinPollReadInterval(const Settings& settings) {
  // The share of the key-value store's request rate for the polls of all controllers.
  constexpr double kPollReadShare = 0.4;
  const double controllers = static_cast<double>(settings.peers.size() + 1);
  return {controllers / (kPollReadShare * settings.store_requests_per_s)};
}

Seconds MinCloudCallInterval(const Settings& settings) {
  constexpr double kIntervalMargin = 1.2;
  return {kIntervalMargin / settings.cloud_requests_per_s};
}

std::size_t MaxConcurrentRequests(const Settings& settings) {
  return ThreadsForMemoryShare(settings, 1.0 / 8, 16, 512);
}

std::size_t ProbeThreads(const Settings& settings) {
  return ThreadsForMemoryShare(settings, 1.0 / 16, 16, 96);
}

}  // namespace magpie
