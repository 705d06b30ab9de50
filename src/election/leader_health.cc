#include "election/leader_health.h"

#include <algorithm>

namespace magpie {
namespace {
constexpr std::size_t kMinRelayedMachines = 3;
constexpr std::size_t kRelayedMachinesDivisor = 8;  // ShouldResign() needs 1/8 of all machines
constexpr std::size_t kMaxRelayedHeartbeats = 4096;
// Multiple of the mean interval between consecutive heartbeats of all machines together.
constexpr double kContactTimeoutFactor = 8;
constexpr Seconds kMinContactTimeout{2.5};
constexpr Seconds kSettlingTime{5};  // after a takeover, for workers to find the leader
constexpr Seconds kMinNoCampaignInterval{30};
constexpr Seconds kMaxNoCampaignInterval{240};
constexpr Seconds kMaxLeaderlessTime{3};
}  // namespace

void LeaderHealth::OnElected(Instant now) {
  elected_at_ = last_direct_contact_ = now;
  relayed_heartbeats_.clear();
}

void LeaderHealth::OnDirectContact(Instant now) {
  last_direct_contact_ = now;
  if (!relayed_heartbeats_.empty()) relayed_heartbeats_.clear();
}

void LeaderHealth::OnRelayedHeartbeat(const MachineId& machine, Instant now) {
  if (relayed_heartbeats_.size() < kMaxRelayedHeartbeats) relayed_heartbeats_[machine] = now;
}

// The longest period without direct contact that is plausible when all workers reach the leader.
Seconds LeaderHealth::DirectContactTimeout(std::size_t machines) const {
  const double machine_count = static_cast<double>(std::max<std::size_t>(machines, 1));
  return std::max(kMinContactTimeout,
                  (kContactTimeoutFactor / machine_count) * heartbeat_interval_);
}

bool LeaderHealth::ShouldResign(std::size_t machines, Instant now) const {
  const std::size_t min_relayed = std::max(kMinRelayedMachines, machines / kRelayedMachinesDivisor);
  if (relayed_heartbeats_.size() < min_relayed) return false;
  if (now - elected_at_ < kSettlingTime + heartbeat_interval_) return false;
  if (now < no_campaign_until_) return false;
  return now - last_direct_contact_ > DirectContactTimeout(machines);
}

void LeaderHealth::OnResigned(Instant now) {
  no_campaign_interval_ = std::min(kMaxNoCampaignInterval,
                                   std::max(kMinNoCampaignInterval, 2.0 * no_campaign_interval_));
  no_campaign_until_ = now + no_campaign_interval_;
}

bool LeaderHealth::MayCampaign(Instant no_leader_since, Instant now) const {
  return now >= no_campaign_until_ || now - no_leader_since > kMaxLeaderlessTime;
}

}  // namespace magpie
