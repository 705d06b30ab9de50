#include "kv/http_key_value_store.h"

#include <spdlog/spdlog.h>

#include "clock/clock.h"

namespace magpie {
namespace {

constexpr std::size_t kMaxIdleConnections = 8;
constexpr Seconds kConnectTimeout{1};
constexpr Seconds kWatchTimeoutMargin{5};  // added to the time for which a watch blocks

// The outcome of a call. Callers first handle the status codes with a meaning specific to the
// request.
StoreStatus StatusOf(const HttpAnswer& answer) {
  if (!answer.sent) return StoreStatus::kRefused;
  if (!answer.answered) return StoreStatus::kUnknown;
  if (answer.status == 429 || answer.status == 503) return StoreStatus::kRefused;
  if (answer.status >= 400 && answer.status < 500) return StoreStatus::kInvalid;
  return StoreStatus::kUnknown;
}

StoreEntry EntryFromJson(const Json& json) {
  return {
      json.at("path").get<std::string>(), json.at("v"), {json.at("stamp").get<std::uint64_t>()}};
}

Revision RevisionFromJson(const Json& body) { return {body.at("tick").get<std::uint64_t>()}; }

WatchEvent EventFromJson(const Json& json) {
  const bool put = json.contains("put");
  WatchEvent event{json.at(put ? "put" : "drop").get<std::string>(),
                   std::nullopt,
                   {json.at("stamp").get<std::uint64_t>()}};
  if (put) event.value = json.at("v");
  return event;
}

// Fills a result from the parsed body. A response that violates the protocol counts as unanswered.
template <typename Result, typename Fill>
Result Parse(const HttpAnswer& answer, Fill fill) {
  Result result;
  try {
    fill(Json::parse(answer.body), result);
    result.status = StoreStatus::kOk;
  } catch (const Json::exception& error) {
    spdlog::error("key-value store response rejected error=\"{}\"", error.what());
    result = Result{};
    result.status = StoreStatus::kUnknown;
  }
  return result;
}

}  // namespace

Json TransactionToJson(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const Condition& condition : transaction.conditions)
    conditions.push_back({{"path", condition.key}, {"stamp", condition.revision.value}});
  Json changes = Json::array();
  for (const Change& change : transaction.changes) {
    if (!change.value) {
      changes.push_back({{"drop", change.key}});
      continue;
    }
    Json put{{"put", change.key}, {"v", *change.value}};
    if (change.lease) put["tenure"] = change.lease->value;
    changes.push_back(std::move(put));
  }
  return {{"when", std::move(conditions)}, {"apply", std::move(changes)}};
}

HttpKeyValueStore::HttpKeyValueStore(const Address& address, Seconds timeout)
    : client_(address, kConnectTimeout, timeout, kMaxIdleConnections),
      answer_timeout_({.maximum = timeout}) {}

HttpAnswer HttpKeyValueStore::GetAndMeasure(const std::string& path) {
  const Instant start = SteadyNow();
  HttpAnswer answer = client_.Get(path);
  if (answer.answered) {
    std::lock_guard lock(mutex_);
    answer_timeout_.OnReadAnswered(SteadyNow() - start);
  }
  return answer;
}

GetResult HttpKeyValueStore::Get(const std::string& key) {
  const HttpAnswer answer = GetAndMeasure("/kv/" + key);
  if (answer.answered && answer.status == 404) return {StoreStatus::kOk, std::nullopt};
  if (answer.status != 200) return {StatusOf(answer), std::nullopt};
  return Parse<GetResult>(
      answer, [](const Json& body, GetResult& result) { result.entry = EntryFromJson(body); });
}

RangeResult HttpKeyValueStore::Range(const std::string& prefix, const std::string& after,
                                     std::uint32_t limit) {
  std::string path = "/kv?under=" + prefix + "&page=" + std::to_string(limit);
  if (!after.empty()) path += "&after=" + after;
  const HttpAnswer answer = client_.Get(path);
  if (answer.status != 200) return {StatusOf(answer), {}, false, {}};
  return Parse<RangeResult>(answer, [](const Json& body, RangeResult& result) {
    for (const Json& entry : body.at("entries")) result.entries.push_back(EntryFromJson(entry));
    result.more = body.value("truncated", false);
    result.revision = RevisionFromJson(body);
  });
}

TransactionResult HttpKeyValueStore::Commit(const Transaction& transaction) {
  const std::string body = TransactionToJson(transaction).dump();
  Seconds limit;
  {
    std::lock_guard lock(mutex_);
    limit = answer_timeout_.Current();
  }
  const Instant start = SteadyNow();
  const HttpAnswer answer = client_.Post("/txn", body, limit);
  if (answer.sent) {
    std::lock_guard lock(mutex_);
    if (answer.answered)
      answer_timeout_.OnTransactionAnswered(SteadyNow() - start);
    else
      answer_timeout_.OnTransactionUnanswered();
  }
  if (answer.status != 200 && answer.status != 409)
    return {StatusOf(answer), {}, {}, answer.answered && answer.status == 429};
  auto result = Parse<TransactionResult>(answer, [](const Json& body, TransactionResult& filled) {
    filled.revision = RevisionFromJson(body);
    if (body.contains("failed"))
      for (const Json& key : body.at("failed")) filled.failed.push_back(key.get<std::string>());
  });
  if (result.status == StoreStatus::kOk && answer.status == 409)
    result.status = StoreStatus::kConflict;
  return result;
}

LeaseResult HttpKeyValueStore::Grant(Seconds time_to_live) {
  const Json body{{"life_ms", static_cast<std::int64_t>(time_to_live.value * 1000)}};
  const HttpAnswer answer = client_.Post("/holds", body.dump());
  if (answer.status != 200) return {StatusOf(answer), {}};
  return Parse<LeaseResult>(answer, [](const Json& body, LeaseResult& result) {
    result.lease = {body.at("tenure").get<std::uint64_t>()};
  });
}

StoreStatus HttpKeyValueStore::KeepAlive(LeaseId lease) {
  const HttpAnswer answer = client_.Post("/holds/" + std::to_string(lease.value) + "/touch", "{}");
  return answer.answered && answer.status == 200 ? StoreStatus::kOk : StatusOf(answer);
}

WatchResult HttpKeyValueStore::Watch(const std::string& prefix, Revision after, Seconds block) {
  const std::string path =
      "/watch?under=" + prefix + "&after=" + std::to_string(after.value) +
      "&block_ms=" + std::to_string(static_cast<std::int64_t>(block.value * 1000));
  const HttpAnswer answer =
      block.value > 0 ? client_.Get(path, block + kWatchTimeoutMargin) : GetAndMeasure(path);
  if (answer.answered && answer.status == 410) return {StoreStatus::kOk, true, {}, {}};
  if (answer.status != 200) return {StatusOf(answer), false, {}, {}};
  return Parse<WatchResult>(answer, [](const Json& body, WatchResult& result) {
    result.revision = RevisionFromJson(body);
    for (const Json& event : body.at("log")) result.events.push_back(EventFromJson(event));
  });
}

}  // namespace magpie
