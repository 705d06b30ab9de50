#include "load_test/fault_schedule.h"

#include <limits>
#include <utility>

#include "load_test/call_on_loop.h"

namespace magpie::load_test {

void FaultSchedule::Schedule(const std::vector<Fault>& faults, Instant from) {
  for (const Fault& fault : faults)
    actions_.push_back({from + fault.at, [this, fault] { Inject(fault); }});
}

void FaultSchedule::RunDue(Instant now) {
  for (std::size_t i = 0; i < actions_.size();) {
    if (actions_[i].at > now) {
      ++i;
      continue;
    }
    const Action due = std::move(actions_[i]);
    actions_.erase(actions_.begin() + static_cast<std::ptrdiff_t>(i));
    due.act();
  }
}

void FaultSchedule::Inject(const Fault& fault) {
  switch (fault.kind) {
    case Fault::Kind::kKillLeader:
      return KillController(true, fault.duration);
    case Fault::Kind::kKillController:
      return KillController(false, fault.duration);
    case Fault::Kind::kRack:
    case Fault::Kind::kZone:
      return MakeMachinesUnreachable(fault);
    case Fault::Kind::kMachines:
      return RestartMachines(fault);
    case Fault::Kind::kOutage:
      return StartOutage(fault.duration);
  }
}

void FaultSchedule::KillController(bool leader, Seconds downtime) {
  const std::string leader_label = targets_.leadership.Leader();
  const auto killed = targets_.controllers.Kill(leader_label, leader);
  if (!killed) return;
  const Instant now = EventLoop::Now();
  if (leader) targets_.leadership.RecordLeaderKill(leader_label, now);
  actions_.push_back(
      {now + downtime, [this, index = *killed] { targets_.controllers.Restart(index); }});
}

void FaultSchedule::MakeMachinesUnreachable(const Fault& fault) {
  const std::size_t maximum =
      fault.kind == Fault::Kind::kZone ? std::numeric_limits<std::size_t>::max() : fault.count;
  const std::vector<MachineId> ids = MachinesIn(fault.zone, maximum);
  for (const MachineId& id : ids) targets_.workers.SetUnreachable(id, true);
  actions_.push_back({EventLoop::Now() + fault.duration, [this, ids] {
                        for (const MachineId& id : ids) targets_.workers.SetUnreachable(id, false);
                      }});
}

void FaultSchedule::RestartMachines(const Fault& fault) {
  const std::vector<MachineId> ids = MachinesIn(fault.zone, fault.count);
  const Instant now = EventLoop::Now();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const double fraction = static_cast<double>(i) / static_cast<double>(ids.size());
    actions_.push_back(
        {now + fraction * fault.duration, [this, id = ids[i]] { targets_.workers.Restart(id); }});
  }
}

void FaultSchedule::StartOutage(Seconds length) {
  SetOutage(true);
  actions_.push_back({EventLoop::Now() + length, [this] { SetOutage(false); }});
}

void FaultSchedule::SetOutage(bool outage) {
  CallOnLoop(targets_.services_loop, [this, outage] {
    targets_.state.SetOutage(outage);
    return true;
  });
}

std::vector<MachineId> FaultSchedule::MachinesIn(const std::string& zone,
                                                 std::size_t maximum) const {
  std::vector<MachineId> ids;
  for (const CloudMachine& machine : targets_.workers.machines())
    if (machine.zone == zone && ids.size() < maximum) ids.push_back(machine.id);
  return ids;
}

}  // namespace magpie::load_test
