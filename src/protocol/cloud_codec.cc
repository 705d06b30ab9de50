// Machine types, machines and provision requests (PROTOCOL, "Controller nodes -> cloud").
#include <utility>

#include "protocol/codec.h"
#include "protocol/json_fields.h"

namespace magpie::protocol {
namespace {

constexpr WordMapping<ListedMachine::State> kMachineStateWords[] = {
    {"starting", ListedMachine::State::kStarting},
    {"running", ListedMachine::State::kRunning},
    {"failed", ListedMachine::State::kFailed}};

}  // namespace

std::vector<MachineType> TypesFromJson(const Json& body) {
  std::vector<MachineType> types;
  for (const Json& message : RequiredArray(CheckObject(body, "types"), "perches")) {
    CheckObject(message, "perches");
    MachineType type;
    type.name = RequiredText(message, "name");
    type.capacity.cpus = RequiredAmount(message, "cpus");
    type.capacity.gpus = RequiredAmount(message, "gpus");
    type.capacity.memory_gb = RequiredAmount(message, "ram_gb");
    type.cache_gb = RequiredAmount(message, "cache_gb");
    type.fetch_gb_per_s = RequiredAmount(message, "pull_gb_per_s");
    type.price = RequiredAmount(message, "rate");
    type.spot_price = FindField(message, "low_price") != nullptr
                          ? RequiredAmount(message, "low_price")
                          : type.price;
    type.boot_time = {RequiredAmount(message, "startup_s")};
    for (const Json& zone : RequiredArray(message, "roosts"))
      type.zones.push_back(ToText(zone, "roosts"));
    types.push_back(std::move(type));
  }
  return types;
}

Json ProvisionToJson(const std::string& name, const std::string& type, const std::string& zone,
                     bool spot, std::uint32_t count) {
  return {{"hire", name},
          {"perch_kind", type},
          {"roost", zone},
          {"borrowed_branches", spot},
          {"count", count}};
}

std::vector<MachineId> MachineIdsFromJson(const Json& body) {
  std::vector<MachineId> ids;
  for (const Json& id : RequiredArray(CheckObject(body, "machines"), "branches"))
    ids.push_back({ToText(id, "branches")});
  return ids;
}

Json MachineIdsToJson(const std::vector<MachineId>& ids) {
  Json list = Json::array();
  for (const MachineId& id : ids) list.push_back(id.value);
  return {{"branches", std::move(list)}};
}

MachinePage MachinePageFromJson(const Json& body) {
  MachinePage page;
  for (const Json& message : RequiredArray(CheckObject(body, "machines"), "branches")) {
    CheckObject(message, "branches");
    ListedMachine machine;
    machine.id = {RequiredText(message, "id")};
    if (const Json* addr = FindField(message, "addr"))
      machine.addr = ToText(*addr, "addr", EmptyText::kAllowed);
    machine.type = RequiredText(message, "perch_kind");
    machine.zone = RequiredText(message, "roost");
    machine.spot = OptionalBool(message, "borrowed_branches");
    machine.state = RequiredWord(message, "mood", kMachineStateWords);
    machine.age = {RequiredAmount(message, "age_s")};
    page.machines.push_back(std::move(machine));
  }
  page.more = OptionalBool(body, "truncated");
  return page;
}

std::string MachineListQuery(const MachineId& after, std::uint32_t page_size) {
  std::string query = std::string(kMachinesPath) + "?page=" + std::to_string(page_size);
  if (!after.value.empty()) query += "&after=" + after.value;
  return query;
}

}  // namespace magpie::protocol
