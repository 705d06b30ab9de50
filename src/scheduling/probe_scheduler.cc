#include "scheduling/probe_scheduler.h"

#include <algorithm>
#include <cstdint>

#include "scheduling/fencing.h"

namespace magpie {
namespace {
constexpr Seconds kScanInterval{0.25};
constexpr Seconds kProbeInterval{2};    // between two probes of one machine
constexpr std::size_t kMaxProbes = 12;  // in one scan
constexpr std::size_t kMaxProbesDuringAlarm = 96;
constexpr std::size_t kMaxInspectedPerScan = 1024;  // machines with the oldest heartbeats first
}  // namespace

void ProbeScheduler::Clear() {
  queue_.clear();
  next_scan_ = {};
}

bool ProbeScheduler::NeedsProbe(const Machine& machine, Instant now) const {
  constexpr std::uint32_t kMinOutOfOrderMessages = 2;  // that cause a probe
  if (machine.addr.empty() || machine.command_in_flight || machine.releasing ||
      now < machine.next_probe_at)
    return false;
  // With an outdated token, the worker may still send heartbeats to an earlier leader.
  if (machine.up && (machine.seen_token < machine.fencing_token || machine.relayed ||
                     machine.out_of_order_messages >= kMinOutOfOrderMessages))
    return true;
  // The worker of a booting machine sends its first heartbeat without a probe.
  if (!machine.up) return machine.listed_running || !machine.tasks.empty();
  return now - machine.last_heartbeat > ProbeDelay(now);
}

// How long after its last heartbeat a machine is probed.
Seconds ProbeScheduler::ProbeDelay(Instant now) const {
  constexpr double kLateIntervals = 1.3;  // workers vary the interval by up to 25 %
  constexpr Seconds kMargin{0.3};         // for delays in the network and in controllers
  constexpr Seconds kMaxDelayDuringAlarm{4};
  const Seconds probe_delay = kLateIntervals * state_.options.heartbeat_interval + kMargin;
  return alarm_.IsOn(now) ? std::min(probe_delay, kMaxDelayDuringAlarm) : probe_delay;
}

std::size_t ProbeScheduler::Scan(Instant now) {
  if (!state_.term.loaded) return 0;
  if (!queue_.empty() || now < next_scan_) return queue_.size();
  next_scan_ = now + kScanInterval;
  const std::size_t max_probes = alarm_.IsOn(now) ? kMaxProbesDuringAlarm : kMaxProbes;
  std::vector<ProbeCandidate> candidates = FindCandidates(max_probes, now);
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
  if (candidates.size() > max_probes) candidates.resize(max_probes);
  for (const ProbeCandidate& entry : candidates) queue_.push_back(entry.machine);
  return queue_.size();
}

// Returns machines to probe, possibly with duplicates. The search stops once it has found
// `max_with_tasks` machines with tasks.
std::vector<ProbeScheduler::ProbeCandidate> ProbeScheduler::FindCandidates(
    std::size_t max_with_tasks, Instant now) {
  const HeartbeatIndex& heartbeats = state_.machines.heartbeats();
  const Seconds probe_delay = ProbeDelay(now);
  std::vector<ProbeCandidate> candidates;
  for (const HeartbeatIndex::Member* member : heartbeats.watched()) {
    const Machine& machine = MachineOf(*member);
    if (NeedsProbe(machine, now))
      candidates.push_back({machine.tasks.empty(), machine.last_heartbeat, machine.id});
  }
  std::size_t with_tasks = 0;
  std::size_t inspected = 0;
  // Returns false once enough machines are found or inspected, or if all further machines have
  // recent heartbeats.
  const auto inspect = [&](const HeartbeatIndex::Member* member) {
    const Machine& machine = MachineOf(*member);
    if (now - machine.last_heartbeat < probe_delay) return false;
    ++state_.counters.machines_inspected;
    if (NeedsProbe(machine, now)) {
      candidates.push_back({machine.tasks.empty(), machine.last_heartbeat, machine.id});
      with_tasks += machine.tasks.empty() ? 0 : 1;
    }
    return with_tasks < max_with_tasks && ++inspected < kMaxInspectedPerScan;
  };
  if (std::all_of(heartbeats.late().begin(), heartbeats.late().end(), inspect))
    (void)std::all_of(heartbeats.fresh().begin(), heartbeats.fresh().end(), inspect);
  return candidates;
}

std::optional<DirectCommand> ProbeScheduler::Next(Instant now) {
  if (Scan(now) == 0) return std::nullopt;
  while (!queue_.empty()) {
    Machine* machine = state_.machines.Find(queue_.front());
    queue_.pop_front();
    if (machine == nullptr || !NeedsProbe(*machine, now)) continue;
    machine->command_in_flight = true;
    machine->next_probe_at = now + kProbeInterval;
    DirectCommand probe = MakeDirectCommand(*machine, {});
    probe.agent_epoch = std::max<std::uint64_t>(machine->agent_epoch, 1);
    return probe;
  }
  return std::nullopt;
}

void ProbeScheduler::ProbeNow(Machine& machine, Instant now) {
  machine.next_probe_at = now;
  queue_.push_front(machine.id);
}

}  // namespace magpie
