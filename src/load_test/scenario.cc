#include "load_test/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace magpie::load_test {
namespace {

// A TOML table whose keys are read one by one. RejectUnknownKeys rejects keys that were not read.
class Section {
 public:
  Section(const toml::table* table, std::string file, std::string name)
      : table_(table), file_(std::move(file)), name_(std::move(name)) {}

  [[noreturn]] void Fail(const std::string& key, const std::string& what) const {
    throw InvalidScenario(file_ + ": " + FullKey(key) + ": " + what);
  }
  double Number(const std::string& key, double default_value, double minimum, double maximum) {
    const toml::node* node = Consume(key);
    if (node == nullptr) return default_value;
    const auto value = node->value<double>();
    if (!value || !std::isfinite(*value)) Fail(key, "must be a number");
    if (*value < minimum || *value > maximum) Fail(key, "is out of range");
    return *value;
  }
  std::uint32_t Count(const std::string& key, std::uint32_t default_value, std::uint32_t minimum,
                      std::uint32_t maximum) {
    const toml::node* node = Consume(key);
    if (node == nullptr) return default_value;
    const auto value = node->value_exact<std::int64_t>();
    if (!value) Fail(key, "must be a count");
    if (*value < minimum || *value > maximum) Fail(key, "is out of range");
    return static_cast<std::uint32_t>(*value);
  }
  bool Bool(const std::string& key, bool default_value) {
    const toml::node* node = Consume(key);
    if (node == nullptr) return default_value;
    const auto value = node->value_exact<bool>();
    if (!value) Fail(key, "must be true or false");
    return *value;
  }
  std::string OptionalText(const std::string& key, const std::string& default_value) {
    const toml::node* node = Consume(key);
    if (node == nullptr) return default_value;
    const auto value = node->value_exact<std::string>();
    if (!value) Fail(key, "must be a string");
    return *value;
  }
  std::string RequiredText(const std::string& key) {
    if (!Has(key)) Fail(key, "is missing");
    const std::string text = OptionalText(key, "");
    if (text.empty()) Fail(key, "must not be empty");
    return text;
  }
  std::vector<std::string> StringList(const std::string& key) {
    std::vector<std::string> texts;
    const toml::node* node = Consume(key);
    if (node == nullptr) return texts;
    if (node->as_array() == nullptr) Fail(key, "must be a list of strings");
    for (const auto& entry : *node->as_array()) {
      const auto text = entry.value_exact<std::string>();
      if (!text) Fail(key, "must be a list of strings");
      texts.push_back(*text);
    }
    return texts;
  }
  Section Table(const std::string& key) {
    const toml::node* node = Consume(key);
    if (node != nullptr && node->as_table() == nullptr) Fail(key, "must be a table");
    return {node == nullptr ? nullptr : node->as_table(), file_, FullKey(key)};
  }
  std::vector<Section> Tables(const std::string& key) {
    std::vector<Section> sections;
    const toml::node* node = Consume(key);
    if (node == nullptr) return sections;
    if (node->as_array() == nullptr) Fail(key, "must be a list of tables");
    for (const auto& entry : *node->as_array()) {
      const std::string name = key + "[" + std::to_string(sections.size()) + "]";
      if (entry.as_table() == nullptr) Fail(name, "must be a table");
      sections.emplace_back(entry.as_table(), file_, FullKey(name));
    }
    return sections;
  }
  bool Has(const std::string& key) const { return table_ != nullptr && table_->contains(key); }
  void RejectUnknownKeys() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_)
      if (!used_keys_.contains(std::string(key.str())))
        Fail(std::string(key.str()), "is not a known key");
  }

 private:
  std::string FullKey(const std::string& key) const {
    return name_.empty() ? key : name_ + "." + key;
  }
  const toml::node* Consume(const std::string& key) {
    used_keys_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
  }

  const toml::table* table_;
  std::string file_;
  std::string name_;
  std::set<std::string> used_keys_;
};

constexpr double kMaxSeconds = 86400;
constexpr double kMaxAmount = 1e9;
constexpr std::uint32_t kMaxCount = 100000;

void ReadControllers(Section section, Scenario& scenario) {
  constexpr std::uint32_t kMaxControllers = 16;
  scenario.binary = section.OptionalText("binary", scenario.binary);
  ControllerSettings& settings = scenario.controllers;
  settings.count = section.Count("count", settings.count, 1, kMaxControllers);
  settings.memory_mb = section.Number("mem_mb", settings.memory_mb, 8, 1e6);
  settings.sockets = section.Count("sockets", settings.sockets, 20, kMaxCount);
  settings.properties = section.OptionalText("properties", "");
  section.RejectUnknownKeys();
}

void ReadWorkers(Section section, Scenario& scenario) {
  constexpr std::uint32_t kMaxThreads = 16;
  scenario.heartbeat_interval = {
      section.Number("report_s", scenario.heartbeat_interval.value, 0.5, kMaxSeconds)};
  scenario.lease = {section.Number("lease_s", scenario.lease.value, 5, kMaxSeconds)};
  scenario.cancel_timeout = {
      section.Number("cancel_s", scenario.cancel_timeout.value, 5, kMaxSeconds)};
  scenario.repeated_commands =
      section.Number("repeated_commands", scenario.repeated_commands, 0, 1);
  scenario.threads = section.Count("threads", scenario.threads, 1, kMaxThreads);
  section.RejectUnknownKeys();
}

void ReadState(Section section, Scenario& scenario) {
  StateServer::Options& state = scenario.state;
  state.service.requests_per_second =
      section.Number("rps", state.service.requests_per_second, 1, kMaxAmount);
  state.service.writes_per_second =
      section.Number("write_rps", state.service.writes_per_second, 1, kMaxAmount);
  state.service.max_operations =
      section.Count("txn_ops", state.service.max_operations, 3, kMaxCount);
  state.service.value_kb = section.Number("value_kb", state.service.value_kb, 1, 64);
  state.latency = {section.Number("latency_s", state.latency.value, 0, 10)};
  state.latency_spread = section.Number("latency_spread", state.latency_spread, 0, 3);
  section.RejectUnknownKeys();
}

void ReadCloud(Section section, Scenario& scenario) {
  Cloud::Options& cloud = scenario.cloud;
  cloud.requests_per_second = section.Number("rps", cloud.requests_per_second, 0.1, kMaxAmount);
  cloud.list_lag = {section.Number("list_lag_s", cloud.list_lag.value, 0, kMaxSeconds)};
  for (Section type : section.Tables("types")) {
    MachineType machine_type;
    machine_type.name = type.RequiredText("name");
    machine_type.capacity = {type.Number("cpus", 8, 0.1, 1e6), type.Number("gpus", 0, 0, 1e6),
                             type.Number("ram_gb", 32, 0.1, 1e6)};
    machine_type.cache_gb = type.Number("cache_gb", 100, 0, 1e6);
    machine_type.fetch_gb_per_s = type.Number("fetch_gb_per_s", 1, 1e-3, 1e6);
    machine_type.price = type.Number("price", 1, 0, 1e6);
    machine_type.spot_price = type.Number("spot_price", machine_type.price, 0, 1e6);
    machine_type.boot_time = {type.Number("boot_s", 20, 0.1, kMaxSeconds)};
    machine_type.zones = scenario.zones;
    type.RejectUnknownKeys();
    cloud.types.push_back(std::move(machine_type));
  }
  if (cloud.types.empty()) section.Fail("types", "is missing");
  section.RejectUnknownKeys();
}

void ReadTeams(Section& root, Scenario& scenario) {
  for (Section section : root.Tables("teams")) {
    Team team;
    team.name = section.RequiredText("name");
    team.cpus = section.Number("cpus", 0, 0, kMaxAmount);
    team.cpus_max = section.Number("cpus_max", 0, 0, kMaxAmount);
    team.gpus = section.Number("gpus", 0, 0, kMaxAmount);
    team.gpus_max = section.Number("gpus_max", 0, 0, kMaxAmount);
    section.RejectUnknownKeys();
    scenario.teams.push_back(std::move(team));
  }
  if (scenario.teams.empty()) root.Fail("teams", "is missing");
}

Priority PriorityOf(Section& section) {
  const std::string text_value = section.OptionalText("priority", "standard");
  if (text_value == "production") return Priority::kProduction;
  if (text_value == "high") return Priority::kHigh;
  if (text_value == "standard") return Priority::kNormal;
  if (text_value == "low") return Priority::kLow;
  section.Fail("priority", "must be production, high, standard or low");
}

JobClass ReadClass(Section& section, const Scenario& scenario) {
  JobClass job_class;
  JobSpec& spec_template = job_class.spec_template;
  spec_template.job_class = section.RequiredText("name");
  spec_template.kind = section.Bool("service", false) ? JobKind::kService : JobKind::kArray;
  spec_template.priority = PriorityOf(section);
  spec_template.tasks = section.Count("tasks", 1, 1, kMaxCount);
  spec_template.per_task = {section.Number("cpus", 1, 0, 1e6), section.Number("gpus", 0, 0, 1e6),
                            section.Number("ram_gb", 1, 0, 1e6)};
  spec_template.image = section.OptionalText("image", "");
  spec_template.image_gb = section.Number("image_gb", 0, 0, 1e6);
  spec_template.spread = section.Bool("apart", false);
  spec_template.single_zone = section.Bool("together", false);
  spec_template.spot = section.Bool("spot", false);
  job_class.run_time = {section.Number("run_s", 10, 0, kMaxSeconds)};
  job_class.run_time_spread = section.Number("spread", 0.5, 0, 1);
  job_class.share = section.Number("share", 0, 0, 1);
  job_class.cancel_fraction = section.Number("cancelled", 0, 0, 1);
  if (spec_template.kind == JobKind::kService) job_class.run_time = {};
  spec_template.estimate = job_class.run_time;
  const double deadline = section.Number("deadline_s", 0, 0, kMaxSeconds);
  if (deadline > 0) spec_template.deadline = Seconds{deadline};
  job_class.teams = section.StringList("teams");
  if (job_class.teams.empty())
    for (const Team& team : scenario.teams) job_class.teams.push_back(team.name);
  for (const std::string& name : job_class.teams) {
    const auto has_name = [&](const Team& team) { return team.name == name; };
    if (std::none_of(scenario.teams.begin(), scenario.teams.end(), has_name))
      section.Fail("teams", name + " is not a team of the scenario");
  }
  section.RejectUnknownKeys();
  return job_class;
}

void ReadClasses(Section& root, Scenario& scenario) {
  double share_sum = 0;
  for (Section section : root.Tables("classes")) {
    scenario.classes.push_back(ReadClass(section, scenario));
    share_sum += scenario.classes.back().share;
  }
  if (scenario.classes.empty()) root.Fail("classes", "is missing");
  constexpr double kRoundingTolerance = 1e-6;
  if (std::abs(share_sum - 1) > kRoundingTolerance)
    root.Fail("classes", "the shares must add up to 1");
}

// Objectives have the same keys here as in the settings file of a controller.
void ReadObjectives(Section& root, Scenario& scenario) {
  for (Section section : root.Tables("objectives")) {
    Objective objective;
    objective.kind = section.RequiredText("kind");
    objective.job_class = section.RequiredText("class");
    objective.limit = {section.Number("within_s", 0, 0, kMaxSeconds)};
    objective.share = section.Number("share", 0, 0, 1);
    objective.deadline_factor = section.Number("times", 1, 0, 1e3);
    section.RejectUnknownKeys();
    scenario.objectives.push_back(std::move(objective));
  }
}

Fault::Kind FaultKindOf(Section& section) {
  const std::string text_value = section.RequiredText("kind");
  if (text_value == "kill_leader") return Fault::Kind::kKillLeader;
  if (text_value == "kill_controller") return Fault::Kind::kKillController;
  if (text_value == "rack") return Fault::Kind::kRack;
  if (text_value == "zone") return Fault::Kind::kZone;
  if (text_value == "machines") return Fault::Kind::kMachines;
  if (text_value == "outage") return Fault::Kind::kOutage;
  section.Fail("kind", "is not a known kind of fault");
}

void ReadFaults(Section& root, Scenario& scenario) {
  for (Section section : root.Tables("faults")) {
    Fault fault;
    fault.kind = FaultKindOf(section);
    fault.at = {section.Number("at_s", 0, 0, kMaxSeconds)};
    fault.duration = {section.Number("for_s", fault.duration.value, 0.1, kMaxSeconds)};
    fault.count = section.Count("count", 1, 1, kMaxCount);
    fault.zone = section.OptionalText("zone", scenario.zones.front());
    if (std::find(scenario.zones.begin(), scenario.zones.end(), fault.zone) == scenario.zones.end())
      section.Fail("zone", fault.zone + " is not a zone of the scenario");
    section.RejectUnknownKeys();
    scenario.faults.push_back(fault);
  }
}

Scenario FromTable(const toml::table& table, const std::string& file) {
  Section root(&table, file, "");
  Scenario scenario;
  scenario.zones = root.StringList("zones");
  if (scenario.zones.empty()) root.Fail("zones", "is missing");
  scenario.warm_up = {root.Number("warm_up_s", scenario.warm_up.value, 0, kMaxSeconds)};
  scenario.min_starts = root.Count("least_starts", 0, 0, 100000000);
  ReadControllers(root.Table("controllers"), scenario);
  ReadWorkers(root.Table("workers"), scenario);
  ReadState(root.Table("state"), scenario);
  ReadCloud(root.Table("cloud"), scenario);
  ReadTeams(root, scenario);
  ReadClasses(root, scenario);
  ReadObjectives(root, scenario);
  Section users = root.Table("users");
  scenario.poll_interval = {users.Number("poll_s", scenario.poll_interval.value, 0.1, kMaxSeconds)};
  scenario.max_jobs = users.Count("jobs", 0, 0, 100000000);
  users.RejectUnknownKeys();
  ReadFaults(root, scenario);
  root.RejectUnknownKeys();
  return scenario;
}

}  // namespace

Scenario LoadScenario(const std::string& path) {
  try {
    return FromTable(toml::parse_file(path), path);
  } catch (const toml::parse_error& e) {
    throw InvalidScenario(path + ": " + std::string(e.description()));
  }
}

void CheckCommandLine(const Scenario& scenario, const std::string& file) {
  constexpr std::uint32_t kMaxWorkers = 10000;  // limited by the sockets of one process
  constexpr double kMaxStarts = 1e5;
  const auto bad = [&](const char* option, const char* what) {
    throw InvalidScenario(file + ": " + option + ": " + what);
  };
  if (scenario.workers == 0) bad("--workers", "must be at least 1");
  if (scenario.workers > kMaxWorkers) bad("--workers", "is out of range");
  if (!(scenario.starts_per_second > 0 && scenario.starts_per_second <= kMaxStarts))
    bad("--starts", "is out of range");
  if (!(scenario.measured_duration.value > 0 && scenario.measured_duration.value <= kMaxSeconds))
    bad("--for", "is out of range");
}

Scenario ParseScenario(const std::string& text, const std::string& name) {
  try {
    return FromTable(toml::parse(text), name);
  } catch (const toml::parse_error& e) {
    throw InvalidScenario(name + ": " + std::string(e.description()));
  }
}

}  // namespace magpie::load_test
