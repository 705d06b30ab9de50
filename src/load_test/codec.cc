#include "load_test/codec.h"

#include <charconv>

#include "kv/http_key_value_store.h"

namespace magpie::load_test {
namespace {

using protocol::InvalidMessage;

std::uint64_t CountOf(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_number_integer())
    throw InvalidMessage(std::string(field) + ": not a count");
  return it->get<std::uint64_t>();
}

std::string TextOf(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_string())
    throw InvalidMessage(std::string(field) + ": not a string");
  return it->get<std::string>();
}

const Json& ListOf(const Json& object, const char* field) {
  static const Json kEmpty = Json::array();
  const auto it = object.find(field);
  if (it == object.end() || it->is_null()) return kEmpty;
  if (!it->is_array()) throw InvalidMessage(std::string(field) + ": not a list");
  return *it;
}

const char* StateOf(ListedMachine::State state) {
  switch (state) {
    case ListedMachine::State::kStarting:
      return "starting";
    case ListedMachine::State::kRunning:
      return "running";
    case ListedMachine::State::kFailed:
      return "failed";
  }
  return "";
}

}  // namespace

std::string PathOf(const std::string& target) { return target.substr(0, target.find('?')); }

std::optional<std::string> QueryField(const std::string& target, std::string_view field) {
  const auto query_start = target.find('?');
  if (query_start == std::string::npos) return std::nullopt;
  std::string_view remaining = std::string_view(target).substr(query_start + 1);
  while (!remaining.empty()) {
    const std::string_view pair = remaining.substr(0, remaining.find('&'));
    remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
    const auto separator = pair.find('=');
    if (separator != std::string_view::npos && pair.substr(0, separator) == field)
      return std::string(pair.substr(separator + 1));
  }
  return std::nullopt;
}

std::optional<std::uint64_t> QueryCount(const std::string& target, std::string_view field) {
  const auto text = QueryField(target, field);
  if (!text) return std::nullopt;
  std::uint64_t value = 0;
  const char* text_end = text->data() + text->size();
  const auto [parsed_end, error] = std::from_chars(text->data(), text_end, value);
  if (error != std::errc{} || parsed_end != text_end)
    throw InvalidMessage(std::string(field) + ": not a count");
  return value;
}

Transaction TransactionFromJson(const Json& body) {
  Transaction transaction;
  for (const Json& condition : ListOf(body, "when"))
    transaction.conditions.push_back({TextOf(condition, "path"), {CountOf(condition, "stamp")}});
  for (const Json& change : ListOf(body, "apply")) {
    if (change.contains("drop")) {
      transaction.changes.push_back({TextOf(change, "drop"), std::nullopt, std::nullopt});
      continue;
    }
    if (!change.contains("v")) throw InvalidMessage("v: missing");
    Change put{TextOf(change, "put"), change.at("v"), std::nullopt};
    if (change.contains("tenure")) put.lease = LeaseId{CountOf(change, "tenure")};
    transaction.changes.push_back(std::move(put));
  }
  return transaction;
}

Seconds LeaseDurationFromJson(const Json& body) {
  constexpr double kSecondsPerMs = 1e-3;
  return {kSecondsPerMs * static_cast<double>(CountOf(body, "life_ms"))};
}

Json ToJson(const StateEntry& entry) {
  Json object{{"path", entry.key}, {"v", entry.value}, {"stamp", entry.revision.value}};
  if (entry.lease) object["tenure"] = entry.lease->value;
  return object;
}

Json ToJson(const StateRange& range) {
  Json entries = Json::array();
  for (const StateEntry& entry : range.entries) entries.push_back(ToJson(entry));
  return {{"entries", std::move(entries)}, {"truncated", range.more}, {"tick", range.tick.value}};
}

Json ToJson(const StateCommit& commit) {
  if (commit.status == StateStatus::kOk) return TickToJson(commit.tick);
  if (commit.status == StateStatus::kConflict)
    return {{"failed", commit.failed}, {"tick", commit.tick.value}};
  return {{"error", commit.error}};
}

Json ToJson(const StateLog& log) {
  Json events = Json::array();
  for (const WatchEvent& event : log.events) {
    if (event.value)
      events.push_back({{"put", event.key}, {"v", *event.value}, {"stamp", event.revision.value}});
    else
      events.push_back({{"drop", event.key}, {"stamp", event.revision.value}});
  }
  return {{"tick", log.tick.value}, {"log", std::move(events)}};
}

Json LeaseToJson(LeaseId lease) { return {{"tenure", lease.value}}; }

Json TickToJson(Revision tick) { return {{"tick", tick.value}}; }

RentalRequest RentalFromJson(const Json& body) {
  RentalRequest request;
  request.name = TextOf(body, "hire");
  request.type = TextOf(body, "perch_kind");
  request.zone = TextOf(body, "roost");
  request.spot = body.value("borrowed_branches", false);
  request.count = static_cast<std::uint32_t>(CountOf(body, "count"));
  return request;
}

Json TypesToJson(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const MachineType& type : types)
    list.push_back({{"name", type.name},
                    {"cpus", type.capacity.cpus},
                    {"gpus", type.capacity.gpus},
                    {"ram_gb", type.capacity.memory_gb},
                    {"cache_gb", type.cache_gb},
                    {"pull_gb_per_s", type.fetch_gb_per_s},
                    {"rate", type.price},
                    {"low_price", type.spot_price},
                    {"startup_s", type.boot_time.value},
                    {"roosts", type.zones}});
  return {{"perches", std::move(list)}};
}

Json MachinesToJson(const std::vector<ListedMachine>& machines, bool more) {
  Json list = Json::array();
  for (const ListedMachine& machine : machines)
    list.push_back({{"id", machine.id.value},
                    {"addr", machine.addr},
                    {"perch_kind", machine.type},
                    {"roost", machine.zone},
                    {"borrowed_branches", machine.spot},
                    {"mood", StateOf(machine.state)},
                    {"age_s", machine.age.value}});
  return {{"branches", std::move(list)}, {"truncated", more}};
}

agent::Answer AnswerFromResponse(int status, const std::string& body) {
  constexpr int kOk = 200;
  constexpr int kMisdirected = 421;
  agent::Answer answer;
  try {
    const Json object = protocol::ParseObject(body);
    if (status == kMisdirected) {
      answer.kind = agent::Answer::Kind::kRedirected;
      if (object.contains("home_roost")) answer.destination = TextOf(object, "home_roost");
    } else if (status == kOk) {
      if (object.contains("crest")) answer.token = FencingToken{CountOf(object, "crest")};
      if (object.contains("calls"))
        answer.commands = protocol::CommandsFromJson(object.at("calls"));
      answer.kind = agent::Answer::Kind::kOk;
    }
  } catch (const InvalidMessage&) {
    return {};
  }
  return answer;
}

DirectCommands DirectCommandsFromJson(const Json& body) {
  DirectCommands direct;
  if (body.contains("crest")) direct.token = FencingToken{CountOf(body, "crest")};
  if (body.contains("stint")) direct.agent_epoch = CountOf(body, "stint");
  if (body.contains("calls")) direct.commands = protocol::CommandsFromJson(body.at("calls"));
  return direct;
}

Json JobToRequest(const JobSpec& spec) {
  Json body = protocol::JobToRecord(spec);
  body.erase("at");  // controllers set the time of submission
  return body;
}

ReportedState JobStateFromResponse(int status, const std::string& body) {
  if (status == 404) return ReportedState::kUnknown;
  if (status == 400 || status == 422) return ReportedState::kRejected;
  if (status != 200 && status != 201) return ReportedState::kNoAnswer;
  try {
    const std::string state = TextOf(protocol::ParseObject(body), "mood");
    if (state == protocol::kDone) return ReportedState::kDone;
    if (state == protocol::kCancelled) return ReportedState::kCancelled;
    if (state == protocol::kQueued || state == protocol::kRunning) return ReportedState::kActive;
  } catch (const InvalidMessage&) {
    return ReportedState::kNoAnswer;
  }
  return ReportedState::kNoAnswer;
}

}  // namespace magpie::load_test
