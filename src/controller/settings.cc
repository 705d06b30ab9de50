#include "controller/settings.h"

#include <Poco/Exception.h>
#include <Poco/Util/PropertyFileConfiguration.h>
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>

namespace magpie {
namespace {

[[noreturn]] void ThrowInvalid(const std::string& key, const std::string& problem) {
  throw InvalidSettings(key + ": " + problem);
}

// A TOML table with its path, so that errors name the full key.
class Section {
 public:
  Section(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  std::string FullKey(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
  }

  std::string String(const std::string& key) const {
    const auto text = Node(key).value<std::string>();
    if (!text || text->empty()) ThrowInvalid(FullKey(key), "must be a non-empty string");
    return *text;
  }
  // Empty if the key is missing or is not a string.
  std::string OptionalString(const std::string& key) const {
    const toml::node* node = table_.get(key);
    return node == nullptr ? "" : node->value<std::string>().value_or("");
  }
  Address Endpoint(const std::string& key) const {
    const auto address = Address::Parse(String(key));
    if (!address)
      ThrowInvalid(FullKey(key), "must be an IPv4 address and port, for example 10.0.0.1:8080");
    return *address;
  }
  double Number(const std::string& key, double minimum) const {
    const auto number = Node(key).value<double>();
    if (!number || !std::isfinite(*number)) ThrowInvalid(FullKey(key), "must be a finite number");
    if (*number < minimum) ThrowInvalid(FullKey(key), "is below the allowed minimum");
    return *number;
  }
  double NumberOr(const std::string& key, double minimum, double fallback) const {
    return table_.contains(key) ? Number(key, minimum) : fallback;
  }
  Section Table(const std::string& key) const {
    const toml::table* table = Node(key).as_table();
    if (table == nullptr) ThrowInvalid(FullKey(key), "must be a table");
    return {*table, FullKey(key)};
  }
  std::vector<Section> TableArray(const std::string& key) const {
    std::vector<Section> sections;
    if (!table_.contains(key)) return sections;
    const toml::array* list = Node(key).as_array();
    if (list == nullptr) ThrowInvalid(FullKey(key), "must be an array of tables");
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string path = FullKey(key) + "[" + std::to_string(i) + "]";
      const toml::table* table = (*list)[i].as_table();
      if (table == nullptr) ThrowInvalid(path, "must be a table");
      sections.emplace_back(*table, path);
    }
    return sections;
  }
  std::vector<std::string> Strings(const std::string& key) const {
    const toml::array* list = Node(key).as_array();
    if (list == nullptr) ThrowInvalid(FullKey(key), "must be an array of strings");
    std::vector<std::string> strings;
    for (const auto& node : *list) {
      const auto text = node.value<std::string>();
      if (!text) ThrowInvalid(FullKey(key), "must be an array of strings");
      strings.push_back(*text);
    }
    return strings;
  }

 private:
  const toml::node& Node(const std::string& key) const {
    const toml::node* node = table_.get(key);
    if (node == nullptr) ThrowInvalid(FullKey(key), "is required but missing");
    return *node;
  }

  const toml::table& table_;
  std::string path_;
};

Team ReadTeam(const Section& section) {
  return {section.String("name"), section.NumberOr("cpus", 0, 0),
          section.NumberOr("cpus_max", 0, 0), section.NumberOr("gpus", 0, 0),
          section.NumberOr("gpus_max", 0, 0)};
}

Objective ReadObjective(const Section& section) {
  Objective objective;
  objective.kind = section.String("kind");
  // Absent in objectives that apply to no particular class.
  objective.job_class = section.OptionalString("class");
  objective.limit = {section.NumberOr("within_s", 0, 0)};
  objective.share = section.NumberOr("share", 0, 0);
  objective.deadline_factor = section.NumberOr("times", 0, 1);
  return objective;
}

void ReadCluster(const Section& cluster, Settings& settings) {
  settings.zones = cluster.Strings("zones");
  for (const Section& team : cluster.TableArray("teams")) settings.teams.push_back(ReadTeam(team));
  for (const Section& objective : cluster.TableArray("objectives"))
    settings.objectives.push_back(ReadObjective(objective));
  const Section workers = cluster.Table("workers");
  settings.heartbeat_interval = {workers.Number("report_s", 0.01)};
  settings.lease = {workers.Number("lease_s", 0.1)};
  settings.cancel_deadline = {workers.Number("cancel_s", 0.1)};
  const Section state = cluster.Table("state");
  settings.store_requests_per_s = state.Number("rps", 1);
  settings.store_writes_per_s = state.Number("write_rps", 1);
  settings.max_value_kib = state.Number("value_kb", 1);
  // Making a job final takes one transaction with three operations.
  constexpr double kMinTransactionOperations = 3;
  settings.max_transaction_operations =
      static_cast<std::uint32_t>(state.Number("txn_ops", kMinTransactionOperations));
  const Section cloud = cluster.Table("cloud");
  settings.cloud_requests_per_s = cloud.Number("rps", 0.01);
  settings.list_lag = {cloud.Number("list_lag_s", 0)};
  const Section resources = cluster.Table("resources");
  settings.max_sockets = static_cast<std::uint32_t>(resources.Number("sockets", 20));
  settings.max_memory_mb = resources.NumberOr("mem_mb", 8, 0);
}

Settings SettingsFromTable(const toml::table& table) {
  const Section root(table, "");
  Settings settings;
  settings.label = root.String("label");
  settings.zone = root.String("site");
  settings.api_address = root.Endpoint("api_addr");
  settings.peer_address = root.Endpoint("mesh_addr");
  for (const Section& member : root.TableArray("members"))
    settings.peers.push_back(
        {member.String("label"), member.String("site"), member.Endpoint("endpoint")});
  const Section endpoints = root.Table("endpoints");
  settings.cloud_address = endpoints.Endpoint("cloud");
  settings.store_address = endpoints.Endpoint("state");
  ReadCluster(root.Table("cluster"), settings);
  return settings;
}

double PropertyNumber(const std::string& key, const std::string& text, double minimum,
                      double maximum) {
  double number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc{} || end != last || !std::isfinite(number))
    ThrowInvalid(key, "must be a finite number");
  if (number < minimum || number > maximum) ThrowInvalid(key, "is outside the allowed range");
  return number;
}

// The full names of all properties under `base`.
std::vector<std::string> PropertyNames(const Poco::Util::AbstractConfiguration& properties,
                                       const std::string& base) {
  Poco::Util::AbstractConfiguration::Keys keys;
  properties.keys(base, keys);
  if (keys.empty() && !base.empty()) return {base};
  std::vector<std::string> names;
  for (const std::string& key : keys) {
    std::string name = base;
    if (!name.empty()) name += '.';
    name += key;
    const auto nested = PropertyNames(properties, name);
    names.insert(names.end(), nested.begin(), nested.end());
  }
  return names;
}

// A known property: its allowed range and its setter.
struct Property {
  double minimum;
  double maximum;
  std::function<void(double)> set;
};

std::map<std::string, Property> KnownProperties(Settings& settings) {
  const auto count = [](std::uint32_t& field) {
    return [&field](double value) { field = static_cast<std::uint32_t>(value); };
  };
  const auto number = [](double& field) { return [&field](double value) { field = value; }; };
  return {
      {"leader.lease_s", {0.5, 600, number(settings.leader_lease.value)}},
      {"placement.alpha", {0, 100, number(settings.weights.alpha)}},
      {"placement.beta", {0, 100, number(settings.weights.beta)}},
      {"placement.target_factor", {0.1, 100, number(settings.weights.target_factor)}},
      {"fleet.idle_s", {0, 86400, number(settings.idle_timeout.value)}},
      {"fleet.silent_s", {1, 3600, number(settings.heartbeat_timeout.value)}},
      {"fleet.list_every_s", {0.1, 600, number(settings.list_interval.value)}},
      {"fleet.boot_patience", {1, 100, number(settings.boot_timeout_factor)}},
      {"fleet.headroom", {0, 1000, count(settings.headroom)}},
      {"fleet.headroom_for_s", {0, 86400, number(settings.headroom_duration.value)}},
      {"fleet.refused_pause_s", {0, 3600, number(settings.provision_retry_delay.value)}},
      {"fleet.most_per_order", {1, 50, count(settings.max_per_request)}},
  };
}

}  // namespace

Settings LoadSettings(const std::string& toml_path) {
  try {
    return SettingsFromTable(toml::parse_file(toml_path));
  } catch (const toml::parse_error& error) {
    throw InvalidSettings(toml_path + ": " + std::string(error.description()));
  }
}

Settings ParseSettings(const std::string& toml_text) {
  try {
    return SettingsFromTable(toml::parse(toml_text));
  } catch (const toml::parse_error& error) {
    throw InvalidSettings("settings: " + std::string(error.description()));
  }
}

void LoadProperties(const std::string& path, Settings& settings) {
  Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> properties;
  try {
    properties = new Poco::Util::PropertyFileConfiguration(path);
  } catch (const Poco::Exception& error) {
    throw InvalidSettings(path + ": " + error.displayText());
  }
  const std::map<std::string, Property> known = KnownProperties(settings);
  for (const std::string& name : PropertyNames(*properties, "")) {
    const auto found = known.find(name);
    if (found == known.end()) ThrowInvalid(name, "is not a known property");
    const auto& [minimum, maximum, set] = found->second;
    set(PropertyNumber(name, properties->getRawString(name), minimum, maximum));
  }
}

}  // namespace magpie
