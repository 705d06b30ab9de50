#include "scheduling/failure_detector.h"

#include <algorithm>
#include <string>

namespace magpie {
namespace {
// Silent for so many heartbeat intervals at least before a lone machine is given up.
constexpr double kMinMissedIntervals = 2.5;
// A machine that does not answer probes either is given up after this.
constexpr Seconds kMinSilence{4};
// How much longer a partition may last where another controller goes on renewing leases.
constexpr Seconds kRenewedPartition{80};
}  // namespace

std::map<std::string, std::uint32_t> FailureDetector::CountRelayedByZone(Instant now) {
  constexpr double kRecentIntervals = 2.5;
  std::map<std::string, std::uint32_t> relayed;
  for (const HeartbeatIndex::Member* member : state_.machines.heartbeats().watched()) {
    const auto& machine = static_cast<const Machine&>(*member);
    ++state_.counters.machines_inspected;
    if (machine.relayed &&
        now - machine.last_heartbeat < kRecentIntervals * state_.options.heartbeat_interval)
      ++relayed[machine.zone];
  }
  return relayed;
}

// Zones whose silence is more likely a partition than as many failures: half of the machines are
// silent at once, or all have been for longer than so many could be by chance, or a good part of
// them is relayed while the others still look for a controller that reaches the leader.
std::set<std::string> FailureDetector::SuspectedZones(Instant now) {
  constexpr std::uint32_t kRelayedPart = 8;  // one of so many
  constexpr double kMeanGaps = 8;            // between two heartbeats of the zone
  constexpr Seconds kMinGap{2.5};
  const Seconds interval = state_.options.heartbeat_interval;
  state_.machines.heartbeats().AdvanceTime(now);
  const std::map<std::string, std::uint32_t> relayed = CountRelayedByZone(now);
  std::set<std::string> suspected;
  for (const auto& [name, zone] : state_.machines.heartbeats().zones()) {
    if (zone.all == 0) continue;
    const bool half_late = zone.late > 1 && 2 * zone.late >= zone.all;
    const Seconds max_gap = std::max(kMinGap, (kMeanGaps / zone.all) * interval);
    const bool all_silent = zone.all > 1 && now - zone.last_heartbeat > max_gap;
    const auto relayed_here = relayed.find(name);
    const bool many_relayed =
        relayed_here != relayed.end() && kRelayedPart * relayed_here->second >= zone.all;
    if (half_late || all_silent || many_relayed) zone_suspected_until_[name] = now + 0.5 * interval;
    // The suspicion lasts a while, so that probes can find who is there after all.
    if (now < zone_suspected_until_[name]) suspected.insert(name);
  }
  return suspected;
}

void FailureDetector::InspectMachines(Instant now) {
  const std::set<std::string> suspected_zones = SuspectedZones(now);
  HeartbeatIndex& heartbeats = state_.machines.heartbeats();
  const auto& watched = heartbeats.watched();
  for (auto it = watched.begin(); it != watched.end();) {
    Machine& machine = static_cast<Machine&>(**it++);
    if (IsHealthy(machine))
      heartbeats.Unwatch(machine);
    else
      Inspect(machine, suspected_zones, now);
  }
  const Seconds minimum = std::min(2.0 * state_.options.heartbeat_interval, LoneMachineTimeout());
  for (HeartbeatIndex::Member* member : heartbeats.late()) {
    if (now - member->last_heartbeat <= minimum) break;
    Inspect(static_cast<Machine&>(*member), suspected_zones, now);
  }
}

void FailureDetector::Inspect(Machine& machine, const std::set<std::string>& suspected_zones,
                              Instant now) {
  ++state_.counters.machines_inspected;
  if (machine.releasing) return;
  if (machine.command_deferred && now >= machine.next_command_at && !machine.command_in_flight)
    state_.commands.Request(machine);
  const Silence silence = SilenceOf(machine, suspected_zones, now);
  bool release = false;
  if (machine.up || !machine.tasks.empty()) {
    release = IsLost(machine, silence, now);
    if (release && silence.length > kMinSilence && !silence.partitioned) alarm_.Raise(now);
  } else {
    release = IsBootOverdue(machine, now);
  }
  release |= IsOfNoMoreUse(machine, now);
  if (machine.preemption_deadline) HandlePreemptionNotice(machine, now);
  if (!release) return;
  cloud_.Release(machine);
  const char* reason = machine.up ? "" : ", never heard of";
  if (machine.cordoned) reason = ", faulty";
  state_.decisions.Add("give up " + machine.id.value + reason + ", heard " +
                       std::to_string(silence.length.value) + " s ago");
}

Seconds FailureDetector::LoneMachineTimeout() const {
  return std::max(state_.options.heartbeat_timeout,
                  kMinMissedIntervals * state_.options.heartbeat_interval);
}

// After so long a silent machine holds no lease that the leader has renewed.
Seconds FailureDetector::LeaseEnded() const {
  return std::max(state_.options.heartbeat_timeout,
                  state_.options.lease + 2.0 * state_.options.heartbeat_interval);
}

// A machine in a partition is left alone until its lease must have ended; longer in zones where
// another controller may go on renewing it.
FailureDetector::Silence FailureDetector::SilenceOf(const Machine& machine,
                                                    const std::set<std::string>& suspected_zones,
                                                    Instant now) const {
  constexpr std::uint32_t kFailedProbes = 2;
  constexpr Seconds kHeartbeatsUnderWay{0.3};  // they may have been sent before the failure
  const auto& zones = state_.machines.heartbeats().zones();
  const auto zone = zones.find(machine.zone);
  Silence silence;
  silence.length = now - machine.last_heartbeat;
  silence.partitioned = suspected_zones.contains(machine.zone);
  silence.alone = !silence.partitioned && machine.failed_probes >= kFailedProbes &&
                  zone != zones.end() &&
                  zone->second.last_heartbeat > machine.failing_since + kHeartbeatsUnderWay;
  silence.allowed = silence.alone ? kMinSilence : LoneMachineTimeout();
  if (silence.partitioned) {
    silence.allowed = LeaseEnded();
    if (state_.options.zones_with_controller.contains(machine.zone))
      silence.allowed = silence.allowed + kRenewedPartition;
  }
  return silence;
}

// Releasing a machine is the certain fence: once the cloud has answered, nothing on it runs or can
// start.
bool FailureDetector::IsLost(const Machine& machine, const Silence& silence, Instant now) const {
  const SchedulerOptions& options = state_.options;
  if (HoldsOverdueCancellation(machine, now) && silence.length > 2.0 * options.heartbeat_interval)
    return true;
  if (machine.up) return silence.length > silence.allowed;
  // By the records it had work, so it was up before the takeover.
  const Seconds allowed =
      silence.alone ? silence.allowed : std::max(silence.allowed, 2.0 * options.list_lag);
  return now - state_.term.loaded_at > allowed;
}

// Whether a cancelled task may still run there although users were promised that it will not.
bool FailureDetector::HoldsOverdueCancellation(const Machine& machine, Instant now) const {
  constexpr double kPartOfPromise = 0.4;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const HeldTask& held) {
    return held.job->cancelled &&
           now - held.job->cancelled_at > kPartOfPromise * state_.options.cancel_deadline;
  });
}

bool FailureDetector::IsBootOverdue(const Machine& machine, Instant now) const {
  const SchedulerOptions& options = state_.options;
  const Seconds maximum =
      options.boot_timeout_factor * state_.boot_times.ExpectedTime(machine.type, now) +
      options.lease;
  return now - machine.created_at >
             state_.boot_times.GiveUpAfter(machine.type, options.min_age, maximum, now) &&
         now - state_.term.loaded_at > options.lease;
}

bool FailureDetector::IsOfNoMoreUse(const Machine& machine, Instant now) const {
  if (!machine.tasks.empty()) return false;
  if (machine.cordoned || machine.draining || machine.preemption_deadline) return true;
  // Nothing is put on a machine whose heartbeats reach nobody. That may pass; a machine for which
  // it does not is paid for in vain.
  return machine.inbound_unreachable &&
         now - machine.heartbeat_received_at > LeaseEnded() + kRenewedPartition;
}

// The cloud will take the machine: tasks that cannot end in time are stopped, and saved if they can
// be, early enough to start elsewhere.
void FailureDetector::HandlePreemptionNotice(Machine& machine, Instant now) {
  const Seconds left = *machine.preemption_deadline - now;
  for (const HeldTask& held : machine.tasks) {
    const Job& job = *held.job;
    const Task& task = held.task();
    if (task.stop_requested || task.result_unconfirmed || task.state != TaskPhase::kBound) continue;
    const bool ends_in_time = job.spec.kind == JobKind::kArray && task.running &&
                              state_.run_times.ExpectedEnd(job, task, machine, now) - now < left;
    if (ends_in_time) continue;
    const bool saves = job.spec.checkpoint_interval.value > 0;
    if (saves && left > job.spec.save_duration + 2.0 * state_.options.heartbeat_interval)
      continue;  // it runs on for now
    lifecycle_.StopTask(held, saves ? job.spec.save_duration + Seconds{1} : Seconds{0});
    state_.commands.Request(machine);
  }
}

}  // namespace magpie
