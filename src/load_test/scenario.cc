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

  [[noreturn]] void Bad(const std::string& key, const std::string& what) const {
    throw BadScenario(file_ + ": " + Full(key) + ": " + what);
  }
  double Number(const std::string& key, double otherwise, double minimum, double maximum) {
    const toml::node* node = Take(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value<double>();
    if (!value || !std::isfinite(*value)) Bad(key, "must be a number");
    if (*value < minimum || *value > maximum) Bad(key, "is out of range");
    return *value;
  }
  std::uint32_t Count(const std::string& key, std::uint32_t otherwise, std::uint32_t minimum,
                      std::uint32_t maximum) {
    const toml::node* node = Take(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value_exact<std::int64_t>();
    if (!value) Bad(key, "must be a count");
    if (*value < minimum || *value > maximum) Bad(key, "is out of range");
    return static_cast<std::uint32_t>(*value);
  }
  bool Flag(const std::string& key, bool otherwise) {
    const toml::node* node = Take(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value_exact<bool>();
    if (!value) Bad(key, "must be true or false");
    return *value;
  }
  std::string Text(const std::string& key, const std::string& otherwise) {
    const toml::node* node = Take(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value_exact<std::string>();
    if (!value) Bad(key, "must be a string");
    return *value;
  }
  std::string NeedText(const std::string& key) {
    if (!Has(key)) Bad(key, "is missing");
    const std::string text = Text(key, "");
    if (text.empty()) Bad(key, "must not be empty");
    return text;
  }
  std::vector<std::string> Texts(const std::string& key) {
    std::vector<std::string> texts;
    const toml::node* node = Take(key);
    if (node == nullptr) return texts;
    if (node->as_array() == nullptr) Bad(key, "must be a list of strings");
    for (const auto& entry : *node->as_array()) {
      const auto text = entry.value_exact<std::string>();
      if (!text) Bad(key, "must be a list of strings");
      texts.push_back(*text);
    }
    return texts;
  }
  Section Sub(const std::string& key) {
    const toml::node* node = Take(key);
    if (node != nullptr && node->as_table() == nullptr) Bad(key, "must be a table");
    return {node == nullptr ? nullptr : node->as_table(), file_, Full(key)};
  }
  std::vector<Section> List(const std::string& key) {
    std::vector<Section> sections;
    const toml::node* node = Take(key);
    if (node == nullptr) return sections;
    if (node->as_array() == nullptr) Bad(key, "must be a list of tables");
    for (const auto& entry : *node->as_array()) {
      const std::string name = key + "[" + std::to_string(sections.size()) + "]";
      if (entry.as_table() == nullptr) Bad(name, "must be a table");
      sections.emplace_back(entry.as_table(), file_, Full(name));
    }
    return sections;
  }
  bool Has(const std::string& key) const { return table_ != nullptr && table_->contains(key); }
  void Done() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_)
      if (!taken_.contains(std::string(key.str()))) Bad(std::string(key.str()), "is not a known key");
  }

 private:
  std::string Full(const std::string& key) const { return name_.empty() ? key : name_ + "." + key; }
  const toml::node* Take(const std::string& key) {
    taken_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
  }

  const toml::table* table_;
  std::string file_;
  std::string name_;
  std::set<std::string> taken_;
};

constexpr double kMaxSeconds = 86400;
constexpr double kMaxAmount = 1e9;
constexpr std::uint32_t kMaxCount = 100000;

void ReadControllers(Section section, Scenario& scenario) {
  constexpr std::uint32_t kMaxControllers = 16;
  scenario.binary = section.Text("binary", scenario.binary);
  ControllerSettings& settings = scenario.controllers;
  settings.count = section.Count("count", settings.count, 1, kMaxControllers);
  settings.memory_mb = section.Number("mem_mb", settings.memory_mb, 8, 1e6);
  settings.sockets = section.Count("sockets", settings.sockets, 20, kMaxCount);
  settings.properties = section.Text("properties", "");
  section.Done();
}

void ReadWorkers(Section section, Scenario& scenario) {
  constexpr std::uint32_t kMaxThreads = 16;
  scenario.heartbeat_interval = {
      section.Number("report_s", scenario.heartbeat_interval.value, 0.5, kMaxSeconds)};
  scenario.lease = {section.Number("lease_s", scenario.lease.value, 5, kMaxSeconds)};
  scenario.cancel = {section.Number("cancel_s", scenario.cancel.value, 5, kMaxSeconds)};
  scenario.threads = section.Count("threads", scenario.threads, 1, kMaxThreads);
  section.Done();
}

void ReadState(Section section, Scenario& scenario) {
  StateServer::Options& state = scenario.state;
  state.service.requests_a_second =
      section.Number("rps", state.service.requests_a_second, 1, kMaxAmount);
  state.service.writes_a_second =
      section.Number("write_rps", state.service.writes_a_second, 1, kMaxAmount);
  state.service.most_operations =
      section.Count("txn_ops", state.service.most_operations, 3, kMaxCount);
  state.service.value_kb = section.Number("value_kb", state.service.value_kb, 1, 64);
  state.latency = {section.Number("latency_s", state.latency.value, 0, 10)};
  state.latency_spread = section.Number("latency_spread", state.latency_spread, 0, 3);
  section.Done();
}

void ReadCloud(Section section, Scenario& scenario) {
  Cloud::Options& cloud = scenario.cloud;
  cloud.requests_a_second = section.Number("rps", cloud.requests_a_second, 0.1, kMaxAmount);
  cloud.list_lag = {section.Number("list_lag_s", cloud.list_lag.value, 0, kMaxSeconds)};
  for (Section type : section.List("types")) {
    MachineType t;
    t.name = type.NeedText("name");
    t.capacity = {type.Number("cpus", 8, 0.1, 1e6), type.Number("gpus", 0, 0, 1e6),
                  type.Number("ram_gb", 32, 0.1, 1e6)};
    t.cache_gb = type.Number("cache_gb", 100, 0, 1e6);
    t.fetch_gb_per_s = type.Number("fetch_gb_per_s", 1, 1e-3, 1e6);
    t.price = type.Number("price", 1, 0, 1e6);
    t.spot_price = type.Number("spot_price", t.price, 0, 1e6);
    t.boot_time = {type.Number("boot_s", 20, 0.1, kMaxSeconds)};
    t.zones = scenario.zones;
    type.Done();
    cloud.types.push_back(std::move(t));
  }
  if (cloud.types.empty()) section.Bad("types", "is missing");
  section.Done();
}

void ReadTeams(Section& root, Scenario& scenario) {
  for (Section section : root.List("teams")) {
    Team team;
    team.name = section.NeedText("name");
    team.cpus = section.Number("cpus", 0, 0, kMaxAmount);
    team.cpus_max = section.Number("cpus_max", 0, 0, kMaxAmount);
    team.gpus = section.Number("gpus", 0, 0, kMaxAmount);
    team.gpus_max = section.Number("gpus_max", 0, 0, kMaxAmount);
    section.Done();
    scenario.teams.push_back(std::move(team));
  }
  if (scenario.teams.empty()) root.Bad("teams", "is missing");
}

Priority PriorityOf(Section& section) {
  const std::string word = section.Text("priority", "standard");
  if (word == "production") return Priority::kProduction;
  if (word == "high") return Priority::kHigh;
  if (word == "standard") return Priority::kNormal;
  if (word == "low") return Priority::kLow;
  section.Bad("priority", "must be production, high, standard or low");
}

JobClass ReadClass(Section& section, const Scenario& scenario) {
  JobClass job_class;
  JobSpec& like = job_class.like;
  like.job_class = section.NeedText("name");
  like.kind = section.Flag("service", false) ? JobKind::kService : JobKind::kArray;
  like.priority = PriorityOf(section);
  like.tasks = section.Count("tasks", 1, 1, kMaxCount);
  like.per_task = {section.Number("cpus", 1, 0, 1e6), section.Number("gpus", 0, 0, 1e6),
                   section.Number("ram_gb", 1, 0, 1e6)};
  like.image = section.Text("image", "");
  like.image_gb = section.Number("image_gb", 0, 0, 1e6);
  like.spread = section.Flag("apart", false);
  like.single_zone = section.Flag("together", false);
  like.spot = section.Flag("spot", false);
  job_class.run_time = {section.Number("run_s", 10, 0, kMaxSeconds)};
  job_class.spread = section.Number("spread", 0.5, 0, 1);
  job_class.share = section.Number("share", 0, 0, 1);
  job_class.cancelled = section.Number("cancelled", 0, 0, 1);
  if (like.kind == JobKind::kService) job_class.run_time = {};
  like.estimate = job_class.run_time;
  const double deadline = section.Number("deadline_s", 0, 0, kMaxSeconds);
  if (deadline > 0) like.deadline = Seconds{deadline};
  job_class.teams = section.Texts("teams");
  if (job_class.teams.empty())
    for (const Team& team : scenario.teams) job_class.teams.push_back(team.name);
  for (const std::string& name : job_class.teams) {
    const auto same = [&](const Team& team) { return team.name == name; };
    if (std::none_of(scenario.teams.begin(), scenario.teams.end(), same))
      section.Bad("teams", name + " is not a team of the scenario");
  }
  section.Done();
  return job_class;
}

void ReadClasses(Section& root, Scenario& scenario) {
  double shares = 0;
  for (Section section : root.List("classes")) {
    scenario.classes.push_back(ReadClass(section, scenario));
    shares += scenario.classes.back().share;
  }
  if (scenario.classes.empty()) root.Bad("classes", "is missing");
  constexpr double kRoundingTolerance = 1e-6;
  if (std::abs(shares - 1) > kRoundingTolerance) root.Bad("classes", "the shares must add up to 1");
}

// Uses the same keys as the settings file of a controller.
void ReadObjectives(Section& root, Scenario& scenario) {
  for (Section section : root.List("objectives")) {
    Objective objective;
    objective.kind = section.NeedText("kind");
    objective.job_class = section.NeedText("class");
    objective.limit = {section.Number("within_s", 0, 0, kMaxSeconds)};
    objective.share = section.Number("share", 0, 0, 1);
    objective.deadline_factor = section.Number("times", 1, 0, 1e3);
    section.Done();
    scenario.objectives.push_back(std::move(objective));
  }
}

Fault::Kind FaultKindOf(Section& section) {
  const std::string word = section.NeedText("kind");
  if (word == "kill_leader") return Fault::Kind::kKillLeader;
  if (word == "kill_controller") return Fault::Kind::kKillController;
  if (word == "rack") return Fault::Kind::kRack;
  if (word == "zone") return Fault::Kind::kZone;
  if (word == "machines") return Fault::Kind::kMachines;
  if (word == "outage") return Fault::Kind::kOutage;
  section.Bad("kind", "is not a known kind of fault");
}

void ReadFaults(Section& root, Scenario& scenario) {
  for (Section section : root.List("faults")) {
    Fault fault;
    fault.kind = FaultKindOf(section);
    fault.at = {section.Number("at_s", 0, 0, kMaxSeconds)};
    fault.lasts = {section.Number("for_s", fault.lasts.value, 0.1, kMaxSeconds)};
    fault.count = section.Count("count", 1, 1, kMaxCount);
    fault.zone = section.Text("zone", scenario.zones.front());
    if (std::find(scenario.zones.begin(), scenario.zones.end(), fault.zone) == scenario.zones.end())
      section.Bad("zone", fault.zone + " is not a zone of the scenario");
    section.Done();
    scenario.faults.push_back(fault);
  }
}

Scenario FromTable(const toml::table& table, const std::string& file) {
  Section root(&table, file, "");
  Scenario scenario;
  scenario.zones = root.Texts("zones");
  if (scenario.zones.empty()) root.Bad("zones", "is missing");
  scenario.warm_up = {root.Number("warm_up_s", scenario.warm_up.value, 0, kMaxSeconds)};
  scenario.least_starts = root.Count("least_starts", 0, 0, 100000000);
  ReadControllers(root.Sub("controllers"), scenario);
  ReadWorkers(root.Sub("workers"), scenario);
  ReadState(root.Sub("state"), scenario);
  ReadCloud(root.Sub("cloud"), scenario);
  ReadTeams(root, scenario);
  ReadClasses(root, scenario);
  ReadObjectives(root, scenario);
  Section users = root.Sub("users");
  scenario.poll = {users.Number("poll_s", scenario.poll.value, 0.1, kMaxSeconds)};
  scenario.max_jobs = users.Count("jobs", 0, 0, 100000000);
  users.Done();
  ReadFaults(root, scenario);
  root.Done();
  return scenario;
}

}  // namespace

Scenario LoadScenario(const std::string& path) {
  try {
    return FromTable(toml::parse_file(path), path);
  } catch (const toml::parse_error& e) {
    throw BadScenario(path + ": " + std::string(e.description()));
  }
}

void CheckCommandLine(const Scenario& scenario, const std::string& file) {
  constexpr std::uint32_t kMaxWorkers = 10000;  // limited by the sockets of one process
  constexpr double kMaxStarts = 1e5;
  const auto bad = [&](const char* option, const char* what) {
    throw BadScenario(file + ": " + option + ": " + what);
  };
  if (scenario.workers == 0) bad("--workers", "must be at least 1");
  if (scenario.workers > kMaxWorkers) bad("--workers", "is out of range");
  if (!(scenario.starts > 0 && scenario.starts <= kMaxStarts)) bad("--starts", "is out of range");
  if (!(scenario.measured.value > 0 && scenario.measured.value <= kMaxSeconds))
    bad("--for", "is out of range");
}

Scenario ParseScenario(const std::string& text, const std::string& name) {
  try {
    return FromTable(toml::parse(text), name);
  } catch (const toml::parse_error& e) {
    throw BadScenario(name + ": " + std::string(e.description()));
  }
}

}  // namespace magpie::load_test
