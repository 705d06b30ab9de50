#include "load_test/cloud.h"

#include <algorithm>

namespace magpie::load_test {
namespace {

constexpr Seconds kBurst{2};
constexpr std::uint32_t kMaxRented = 50;
constexpr std::size_t kMaxReleased = 100;
constexpr std::size_t kMaxListed = 500;
constexpr Seconds kSnapshotEvery{1};
constexpr Seconds kDeadStaysListed{30};

std::string NameOf(std::uint64_t number) {
  constexpr std::size_t kDigits = 6;
  const std::string text = std::to_string(number);
  return "vm-" + std::string(kDigits - std::min(kDigits, text.size()), '0') + text;
}

}  // namespace

Cloud::Cloud(Options options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      requests_(options_.requests_a_second, kBurst),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)) {}

bool Cloud::Knows(const RentalRequest& request) const {
  const auto fits = [&](const MachineType& type) {
    return type.name == request.type &&
           std::find(type.zones.begin(), type.zones.end(), request.zone) != type.zones.end();
  };
  return std::any_of(options_.types.begin(), options_.types.end(), fits);
}

Seconds Cloud::BootTime(const std::string& type) {
  std::uniform_real_distribution<double> spread(1 - options_.boot_spread, 1 + options_.boot_spread);
  for (const MachineType& t : options_.types)
    if (t.name == type) return spread(random_) * t.boot_time;
  return {};
}

MachineId Cloud::Add(const RentalRequest& request, Instant now, Instant boots) {
  const MachineId id{NameOf(++last_machine_)};
  Machine& machine = machines_[id];
  machine.facts = {id, request.type, request.zone, request.spot};
  machine.rented = now;
  machine.boots = boots;
  machine.addr = hooks_.rented(machine.facts);
  return id;
}

RentalResult Cloud::Provision(const RentalRequest& request, Instant now) {
  if (!Knows(request) || request.name.empty() || request.count == 0 || request.count > kMaxRented)
    return {CloudStatus::kBad, {}};
  const auto [rental, fresh] = requests_made_.try_emplace(request.name);
  if (!fresh) return {CloudStatus::kOk, rental->second};
  const std::size_t room =
      options_.most_machines - std::min<std::size_t>(options_.most_machines, machines_.size());
  const std::size_t count = std::min<std::size_t>(request.count, room);
  if (count == 0) {
    requests_made_.erase(rental);  // a later request with the same name may succeed
    return {CloudStatus::kNoCapacity, {}};
  }
  for (std::size_t i = 0; i < count; ++i)
    rental->second.push_back(Add(request, now, now + BootTime(request.type)));
  return {CloudStatus::kOk, rental->second};
}

void Cloud::Place(const RentalRequest& request, Instant now) {
  for (std::uint32_t i = 0; i < request.count; ++i) Boot(machines_.at(Add(request, now, now)));
}

void Cloud::Boot(Machine& machine) {
  machine.up = true;
  hooks_.up(machine.facts.id);
}

CloudStatus Cloud::Release(const std::vector<MachineId>& machines) {
  if (machines.size() > kMaxReleased) return CloudStatus::kBad;
  for (const MachineId& id : machines)
    if (machines_.erase(id) > 0) hooks_.released(id);
  return CloudStatus::kOk;
}

void Cloud::Fail(const MachineId& machine, Instant now) {
  const auto it = machines_.find(machine);
  if (it != machines_.end() && !it->second.failed) it->second.failed = now;
}

void Cloud::Advance(Instant now) {
  for (auto& [id, machine] : machines_)
    if (!machine.up && !machine.failed && machine.boots <= now) Boot(machine);
  if (!snapshots_.empty() && now - snapshots_.back().at < kSnapshotEvery) return;
  snapshots_.push_back(Snap(now));
  // The first snapshot is the newest one that is at least `list_lag` old.
  while (snapshots_.size() > 1 && now - snapshots_[1].at >= options_.list_lag)
    snapshots_.pop_front();
}

Cloud::Snapshot Cloud::Snap(Instant now) const {
  Snapshot snapshot{now, {}};
  for (const auto& [id, machine] : machines_) {
    ListedMachine listed;
    listed.id = id;
    listed.addr = machine.addr;
    listed.type = machine.facts.type;
    listed.zone = machine.facts.zone;
    listed.spot = machine.facts.spot;
    listed.age = now - machine.rented;
    if (machine.failed && now - *machine.failed >= kDeadStaysListed)
      listed.state = ListedMachine::State::kFailed;
    else
      listed.state = machine.up ? ListedMachine::State::kRunning : ListedMachine::State::kStarting;
    snapshot.machines.push_back(std::move(listed));
  }
  return snapshot;
}

Cloud::List Cloud::ListAfter(const MachineId& after, std::size_t page, Instant now) {
  Advance(now);
  List list;
  const Snapshot& shown = snapshots_.front();
  // Nothing is listed until a snapshot is `list_lag` old.
  if (now - shown.at < options_.list_lag) return list;
  const std::size_t maximum = std::clamp<std::size_t>(page, 1, kMaxListed);
  for (const ListedMachine& machine : shown.machines) {
    if (machine.id <= after) continue;
    if (list.machines.size() == maximum) {
      list.more = true;
      break;
    }
    list.machines.push_back(machine);
  }
  return list;
}

}  // namespace magpie::load_test
