#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <mutex>
#include <random>

#include "clock/clock.h"
#include "controller/controller_options.h"
#include "controller/retry.h"

namespace magpie {
namespace {

constexpr Seconds kStoreTimeout{1.5};
constexpr Seconds kCloudTimeout{5};

// Distinguishes this run of the process from earlier ones.
std::string RandomNonce() {
  std::random_device device;
  return std::to_string((static_cast<std::uint64_t>(device()) << 32U) | device());
}

}  // namespace

Controller::Controller(const Settings& settings)
    : settings_(settings),
      store_(settings.store_address, kStoreTimeout),
      watch_store_(settings.store_address, kStoreTimeout),
      cloud_(settings.cloud_address, kCloudTimeout),
      peers_(settings.peers),
      state_(LeaderStateOptions()),
      machine_types_(state_, cloud_),
      progress_(state_, peers_),
      job_api_(store_, settings.teams, settings.zones, MinPollReadInterval(settings),
               SubmissionOptions(settings), JobApiHooks()),
      cancellations_(job_api_.cache(),
                     [this](const auto& cancellation) { OnCancellation(cancellation); }),
      broadcaster_(BroadcasterOptions(settings), BroadcasterHooks()),
      heartbeat_handler_(HeartbeatOptions(settings), state_.mutex(), state_.scheduler(),
                         state_.health(), cancellations_, HeartbeatHooks()),
      election_(state_, {store_, settings.label, RandomNonce(), settings.leader_lease},
                cancellations_),
      control_key_watcher_(watch_store_, [this] { election_.Wake(); }),
      takeover_(state_, store_, watch_store_),
      planning_(state_, {settings.label, ProbeThreads(settings),
                         [this] { return cancellations_.Loaded(); }}),
      writes_(state_, store_, [this] { election_.Wake(); }),
      direct_commands_(state_, cancellations_),
      probes_(state_, ProbeThreads(settings)),
      cloud_calls_(state_, cloud_, {MinCloudCallInterval(settings), settings.leader_lease}),
      job_router_(job_api_),
      user_api_(MaxConcurrentRequests(settings), state_, heartbeat_handler_, job_router_, peers_),
      peer_api_(state_, heartbeat_handler_, job_router_, cancellations_),
      user_server_([this](const HttpRequest& request) { return user_api_.Handle(request); },
                   UserServerLimits(settings)),
      peer_server_([this](const HttpRequest& request) { return peer_api_.Handle(request); },
                   PeerServerLimits()) {
  if (BroadcasterOptions(settings).acknowledge_only_when_final)
    spdlog::warn(
        "early cancellation acknowledgement disabled reason=\"cluster.workers.cancel_s is too "
        "close to lease_s\"");
}

LeaderState::Options Controller::LeaderStateOptions() {
  return {settings_.label,
          SchedulerOptions(settings_),
          {settings_.provision_retry_delay, settings_.max_per_request},
          settings_.heartbeat_interval,
          [this] { heartbeat_handler_.OnLeaderChanged(); }};
}

JobApi::Hooks Controller::JobApiHooks() {
  return {[this] { return machine_types_.types(); },
          [this](const JobId& job) { return progress_.Find(job); },
          WallNow,
          [](Seconds mean) { SleepWithJitter(mean); },
          SteadyNow,
          [this](const JobId& job, Revision revision) {
            return broadcaster_.Broadcast(job, revision);
          }};
}

CancellationBroadcaster::Hooks Controller::BroadcasterHooks() {
  return {SteadyNow,
          [this](const std::string& peer, const JobId& job, Revision revision) {
            return peers_.AnnounceCancellation(peer, {job, revision});
          },
          [this](const JobId& job, Revision revision) {
            return cancellations_.Record(JobCache::Cancellation{job, revision});
          }};
}

HeartbeatHandler::Hooks Controller::HeartbeatHooks() {
  return {SteadyNow,
          [this] { return state_.ClusterView(); },
          [this] { state_.RequestPlanningIfWanted(); },
          [this] { election_.Wake(); },
          [this](const std::string& peer, const std::string& body) {
            return peers_.RelayHeartbeat(peer, body);
          },
          [this](std::unique_lock<std::mutex>& lock, Seconds max_wait) {
            state_.WaitForProgress(lock, max_wait);
          }};
}

// Works without the key-value store. Each response to a worker repeats the stop commands until the
// tasks have ended.
void Controller::OnCancellation(const JobCache::Cancellation& cancellation) {
  std::scoped_lock lock(state_.mutex());
  if (!state_.scheduler().leading()) return;
  state_.scheduler().OnCancelled(cancellation.job, cancellation.revision);
  state_.NotifyCommandThreads();
  state_.RequestPlanningIfWanted();
}

bool Controller::Run() {
  if (!Listen()) return false;
  StartThreads();
  spdlog::info("controller started label={}", settings_.label);
  stopped_.acquire();
  return true;
}

bool Controller::Listen() {
  if (!peer_server_.Start(settings_.peer_address)) {
    spdlog::error("listen failed setting=mesh_addr");
    return false;
  }
  if (!user_server_.Start(settings_.api_address)) {
    spdlog::error("listen failed setting=api_addr");
    return false;
  }
  return true;
}

void Controller::StartThreads() {
  election_.Start();
  control_key_watcher_.Start();
  machine_types_.Start();
  takeover_.Start();
  planning_.Start();
  writes_.Start();
  cloud_calls_.Start();
  progress_.Start();
  direct_commands_.Start();
  probes_.Start();
}

}  // namespace magpie
