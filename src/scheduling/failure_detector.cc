#include "scheduling/failure_detector.h"

#include <algorithm>
#include <string>

namespace magpie {
namespace {
// Minimum timeout of a machine outside suspected zones, in heartbeat intervals. If the machine does
// not answer probes, kUnansweredProbesTimeout applies instead.
constexpr double kMinMissedIntervals = 2.5;
// Timeout of a machine that sends no heartbeats and does not answer probes.
constexpr Seconds kUnansweredProbesTimeout{4};
// Additional timeout in zones where another controller may keep renewing leases during a partition.
constexpr Seconds kRenewedLeaseExtension{80};
}  // namespace

std::map<std::string, std::uint32_t> FailureDetector::CountRelayedByZone(Instant now) {
  constexpr double kRecentIntervals = 2.5;
  std::map<std::string, std::uint32_t> relayed;
  for (const HeartbeatIndex::Member* member : state_.machines.heartbeats().watched()) {
    const Machine& machine = MachineOf(*member);
    ++state_.counters.machines_inspected;
    if (machine.relayed &&
        now - machine.last_heartbeat < kRecentIntervals * state_.options.heartbeat_interval)
      ++relayed[machine.zone];
  }
  return relayed;
}

// Returns the zones where missing heartbeats indicate a partition rather than many machine
// failures: half of the machines are late at once, or no machine has sent a heartbeat for longer
// than chance explains, or the heartbeats of many machines are relayed while the other machines
// still search for a controller that reaches the leader.
std::set<std::string> FailureDetector::SuspectedZones(Instant now) {
  constexpr std::uint32_t kRelayedDivisor = 8;  // a zone is suspected if 1 in 8 machines is relayed
  constexpr double kMaxMeanGaps = 8;            // in mean times between two heartbeats of the zone
  constexpr Seconds kMinZoneGap{2.5};
  const Seconds interval = state_.options.heartbeat_interval;
  state_.machines.heartbeats().AdvanceTime(now);
  const std::map<std::string, std::uint32_t> relayed = CountRelayedByZone(now);
  std::set<std::string> suspected;
  for (const auto& [name, zone] : state_.machines.heartbeats().zones()) {
    if (zone.all == 0) continue;
    const bool half_late = zone.late > 1 && 2 * zone.late >= zone.all;
    const Seconds max_gap = std::max(kMinZoneGap, (kMaxMeanGaps / zone.all) * interval);
    const bool no_heartbeats = zone.all > 1 && now - zone.last_heartbeat > max_gap;
    const auto relayed_here = relayed.find(name);
    const bool many_relayed =
        relayed_here != relayed.end() && kRelayedDivisor * relayed_here->second >= zone.all;
    if (half_late || no_heartbeats || many_relayed)
      zone_suspected_until_[name] = now + 0.5 * interval;
    // The zone stays suspected for a while, so that probes can find machines that are reachable.
    if (now < zone_suspected_until_[name]) suspected.insert(name);
  }
  return suspected;
}

void FailureDetector::InspectMachines(Instant now) {
  const std::set<std::string> suspected_zones = SuspectedZones(now);
  HeartbeatIndex& heartbeats = state_.machines.heartbeats();
  const auto& watched = heartbeats.watched();
  for (auto it = watched.begin(); it != watched.end();) {
    Machine& machine = MachineOf(**it++);
    if (IsHealthy(machine))
      heartbeats.Unwatch(machine);
    else
      Inspect(machine, suspected_zones, now);
  }
  const Seconds min_gap = std::min(2.0 * state_.options.heartbeat_interval, SingleMachineTimeout());
  for (HeartbeatIndex::Member* member : heartbeats.late()) {
    if (now - member->last_heartbeat <= min_gap) break;
    Inspect(MachineOf(*member), suspected_zones, now);
  }
}

void FailureDetector::Inspect(Machine& machine, const std::set<std::string>& suspected_zones,
                              Instant now) {
  ++state_.counters.machines_inspected;
  if (machine.releasing) return;
  if (machine.command_deferred && now >= machine.next_command_at && !machine.command_in_flight)
    state_.commands.Request(machine);
  const HeartbeatGap gap = HeartbeatGapOf(machine, suspected_zones, now);
  bool release = false;
  if (machine.up || !machine.tasks.empty()) {
    release = IsLost(machine, gap, now);
    if (release && gap.length > kUnansweredProbesTimeout && !gap.partitioned) alarm_.Raise(now);
  } else {
    release = IsBootOverdue(machine, now);
  }
  release |= IsEmptyAndUnusable(machine, now);
  if (machine.preemption_deadline) HandlePreemptionNotice(machine, now);
  if (!release) return;
  cloud_.Release(machine);
  const char* reason = machine.up ? "" : " reason=no_heartbeat_received";
  if (machine.cordoned) reason = " reason=cordoned";
  state_.decisions.Add("release machine=" + machine.id.value + reason +
                       " last_heartbeat_age=" + std::to_string(gap.length.value) + "s");
}

Seconds FailureDetector::SingleMachineTimeout() const {
  return std::max(state_.options.heartbeat_timeout,
                  kMinMissedIntervals * state_.options.heartbeat_interval);
}

// Time without heartbeats after which all leases that the leader renewed have expired.
Seconds FailureDetector::LeaseExpiryTimeout() const {
  return std::max(state_.options.heartbeat_timeout,
                  state_.options.lease + 2.0 * state_.options.heartbeat_interval);
}

// A machine in a suspected zone is kept until its lease must have expired, and longer in zones
// where another controller may keep renewing the lease.
FailureDetector::HeartbeatGap FailureDetector::HeartbeatGapOf(
    const Machine& machine, const std::set<std::string>& suspected_zones, Instant now) const {
  constexpr std::uint32_t kMinFailedProbes = 2;
  // A heartbeat received this long after the failure may have been sent before it.
  constexpr Seconds kMaxHeartbeatDelay{0.3};
  const auto& zones = state_.machines.heartbeats().zones();
  const auto zone = zones.find(machine.zone);
  HeartbeatGap gap;
  gap.length = now - machine.last_heartbeat;
  gap.partitioned = suspected_zones.contains(machine.zone);
  gap.isolated = !gap.partitioned && machine.failed_probes >= kMinFailedProbes &&
                 zone != zones.end() &&
                 zone->second.last_heartbeat > machine.failing_since + kMaxHeartbeatDelay;
  gap.allowed = gap.isolated ? kUnansweredProbesTimeout : SingleMachineTimeout();
  if (gap.partitioned) {
    gap.allowed = LeaseExpiryTimeout();
    if (state_.options.zones_with_controller.contains(machine.zone))
      gap.allowed = gap.allowed + kRenewedLeaseExtension;
  }
  return gap;
}

// Whether the machine counts as lost. It is then released, which is a safe fence: once the cloud
// has confirmed the release, no task runs or can start on the machine.
bool FailureDetector::IsLost(const Machine& machine, const HeartbeatGap& gap, Instant now) const {
  const SchedulerOptions& options = state_.options;
  if (HasOverdueCancelledTask(machine, now) && gap.length > 2.0 * options.heartbeat_interval)
    return true;
  if (machine.up) return gap.length > gap.allowed;
  // The records assign tasks to the machine, so it was up before this leader took over.
  const Seconds allowed =
      gap.isolated ? gap.allowed : std::max(gap.allowed, 2.0 * options.list_lag);
  return now - state_.term.loaded_at > allowed;
}

// Whether the machine may still run a task although a large part of the cancel deadline, which is
// promised to users, has passed since its job was cancelled.
bool FailureDetector::HasOverdueCancelledTask(const Machine& machine, Instant now) const {
  constexpr double kCancelDeadlineFraction = 0.4;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const HeldTask& held) {
    return held.job->cancelled &&
           now - held.job->cancelled_at > kCancelDeadlineFraction * state_.options.cancel_deadline;
  });
}

bool FailureDetector::IsBootOverdue(const Machine& machine, Instant now) const {
  const SchedulerOptions& options = state_.options;
  const Seconds maximum =
      options.boot_timeout_factor * state_.boot_times.ExpectedTime(machine.type, now) +
      options.lease;
  return now - machine.created_at >
             state_.boot_times.GiveUpAfter(machine.type, options.min_billed_time, maximum, now) &&
         now - state_.term.loaded_at > options.lease;
}

bool FailureDetector::IsEmptyAndUnusable(const Machine& machine, Instant now) const {
  if (!machine.tasks.empty()) return false;
  if (machine.cordoned || machine.draining || machine.preemption_deadline) return true;
  // No task is placed on a machine if its heartbeats reach no controller. The fault may be
  // temporary; if it lasts, the machine costs money without being used.
  return machine.inbound_unreachable &&
         now - machine.heartbeat_received_at > LeaseExpiryTimeout() + kRenewedLeaseExtension;
}

// The cloud will preempt the machine. Tasks that cannot end in time are stopped, after saving a
// checkpoint if they can, early enough to start on another machine.
void FailureDetector::HandlePreemptionNotice(Machine& machine, Instant now) {
  const Seconds time_left = *machine.preemption_deadline - now;
  for (const HeldTask& held : machine.tasks) {
    const Job& job = *held.job;
    const Task& task = held.task();
    if (task.stop_requested || task.result_unconfirmed || task.state != TaskPhase::kBound) continue;
    const bool ends_in_time =
        job.spec.kind == JobKind::kArray && task.running &&
        state_.run_times.ExpectedEnd(job, task, machine, now) - now < time_left;
    if (ends_in_time) continue;
    const bool saves_checkpoint = job.spec.checkpoint_interval.value > 0;
    if (saves_checkpoint &&
        time_left > job.spec.save_duration + 2.0 * state_.options.heartbeat_interval)
      continue;  // it keeps running until it must save
    lifecycle_.StopTask(held, saves_checkpoint ? job.spec.save_duration + Seconds{1} : Seconds{0});
    state_.commands.Request(machine);
  }
}

}  // namespace magpie
