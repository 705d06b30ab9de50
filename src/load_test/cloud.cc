#include "load_test/cloud.h"

#include <algorithm>

namespace magpie::load_test {
namespace {

constexpr Seconds kBurstDuration{2};
constexpr std::uint32_t kMaxRentedPerRequest = 50;
constexpr std::size_t kMaxReleasedPerRequest = 100;
constexpr std::size_t kMaxPageSize = 500;
constexpr Seconds kSnapshotInterval{1};
constexpr Seconds kFailedListedAsRunning{30};

std::string MachineName(std::uint64_t number) {
  constexpr std::size_t kDigits = 6;
  const std::string text = std::to_string(number);
  return "vm-" + std::string(kDigits - std::min(kDigits, text.size()), '0') + text;
}

}  // namespace

Cloud::Cloud(Options options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      requests_(options_.requests_per_second, kBurstDuration),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)) {}

bool Cloud::IsKnownType(const RentalRequest& request) const {
  const auto is_offered = [&](const MachineType& type) {
    return type.name == request.type &&
           std::find(type.zones.begin(), type.zones.end(), request.zone) != type.zones.end();
  };
  return std::any_of(options_.types.begin(), options_.types.end(), is_offered);
}

Seconds Cloud::BootTime(const std::string& type) {
  std::uniform_real_distribution<double> spread(1 - options_.boot_spread, 1 + options_.boot_spread);
  for (const MachineType& type_info : options_.types)
    if (type_info.name == type) return spread(random_) * type_info.boot_time;
  return {};
}

MachineId Cloud::Add(const RentalRequest& request, Instant now, Instant boot_at) {
  const MachineId id{MachineName(++last_machine_)};
  Machine& machine = machines_[id];
  machine.info = {id, request.type, request.zone, request.spot};
  machine.rented = now;
  machine.boot_at = boot_at;
  machine.addr = hooks_.on_rented(machine.info);
  return id;
}

RentalResult Cloud::Provision(const RentalRequest& request, Instant now) {
  if (!IsKnownType(request) || request.name.empty() || request.count == 0 ||
      request.count > kMaxRentedPerRequest)
    return {CloudStatus::kInvalid, {}};
  const auto [rental, is_new] = rentals_by_name_.try_emplace(request.name);
  if (!is_new) return {CloudStatus::kOk, rental->second};
  const std::size_t free_machines =
      options_.max_machines - std::min<std::size_t>(options_.max_machines, machines_.size());
  const std::size_t count = std::min<std::size_t>(request.count, free_machines);
  if (count == 0) {
    rentals_by_name_.erase(rental);  // so that a later request with this name can succeed
    return {CloudStatus::kNoCapacity, {}};
  }
  for (std::size_t i = 0; i < count; ++i)
    rental->second.push_back(Add(request, now, now + BootTime(request.type)));
  return {CloudStatus::kOk, rental->second};
}

void Cloud::AddBooted(const RentalRequest& request, Instant now) {
  for (std::uint32_t i = 0; i < request.count; ++i) Boot(machines_.at(Add(request, now, now)));
}

void Cloud::Boot(Machine& machine) {
  machine.up = true;
  hooks_.on_booted(machine.info.id);
}

CloudStatus Cloud::Release(const std::vector<MachineId>& machines) {
  if (machines.size() > kMaxReleasedPerRequest) return CloudStatus::kInvalid;
  for (const MachineId& id : machines)
    if (machines_.erase(id) > 0) hooks_.on_released(id);
  return CloudStatus::kOk;
}

void Cloud::Fail(const MachineId& machine, Instant now) {
  const auto it = machines_.find(machine);
  if (it != machines_.end() && !it->second.failed) it->second.failed = now;
}

void Cloud::Advance(Instant now) {
  for (auto& [id, machine] : machines_)
    if (!machine.up && !machine.failed && machine.boot_at <= now) Boot(machine);
  if (!snapshots_.empty() && now - snapshots_.back().at < kSnapshotInterval) return;
  snapshots_.push_back(TakeSnapshot(now));
  // The first snapshot is the newest one that is at least `list_lag` old.
  while (snapshots_.size() > 1 && now - snapshots_[1].at >= options_.list_lag)
    snapshots_.pop_front();
}

Cloud::Snapshot Cloud::TakeSnapshot(Instant now) const {
  Snapshot snapshot{now, {}};
  for (const auto& [id, machine] : machines_) {
    ListedMachine listed;
    listed.id = id;
    listed.addr = machine.addr;
    listed.type = machine.info.type;
    listed.zone = machine.info.zone;
    listed.spot = machine.info.spot;
    listed.age = now - machine.rented;
    if (machine.failed && now - *machine.failed >= kFailedListedAsRunning)
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
  const Snapshot& listed_snapshot = snapshots_.front();
  // Nothing is listed until a snapshot is `list_lag` old.
  if (now - listed_snapshot.at < options_.list_lag) return list;
  const std::size_t maximum = std::clamp<std::size_t>(page, 1, kMaxPageSize);
  for (const ListedMachine& machine : listed_snapshot.machines) {
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
