#include "load_test/state_server.h"

#include <cmath>
#include <utility>

#include "load_test/codec.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kTickInterval{0.05};  // leases must not end more than 0.1 s late
constexpr Seconds kMaxWatchBlock{60};
constexpr char kRangePath[] = "/kv";
constexpr char kKeyPrefix[] = "/kv/";
constexpr char kTransactionPath[] = "/txn";
constexpr char kLeasesPath[] = "/holds";
constexpr char kLeasePrefix[] = "/holds/";
constexpr char kKeepAliveSuffix[] = "/touch";
constexpr char kWatchPath[] = "/watch";

HttpReply ErrorReply(int status, const char* error) {
  return {status, Json{{"error", error}}.dump()};
}

HttpReply ReplyFor(StateStatus status, const Json& body) {
  switch (status) {
    case StateStatus::kOk:
      return {200, body.dump()};
    case StateStatus::kNotFound:
      return {404, body.dump()};
    case StateStatus::kConflict:
      return {409, body.dump()};
    case StateStatus::kRateLimited:
      return {429, body.dump()};
    case StateStatus::kCompacted:
      return {410, body.dump()};
    case StateStatus::kInvalid:
      break;
  }
  return {400, body.dump()};
}

}  // namespace

StateServer::StateServer(EventLoop& loop, Options options, OnCommit on_commit)
    : loop_(loop),
      options_(options),
      on_commit_(std::move(on_commit)),
      service_(options.service),
      random_(static_cast<std::minstd_rand::result_type>(options.seed)),
      tick_(loop.MakeTimer([this] { Tick(); })) {
  tick_->Set(EventLoop::Now() + kTickInterval);
}

std::optional<Address> StateServer::Serve(const std::string& controller) {
  Endpoint& endpoint = endpoints_[controller];
  endpoint.listener = loop_.Listen(
      {"127.0.0.1", 0},
      [this, controller](const HttpCall& call, EventLoop::ReplyCallback reply) {
        OnRequest(controller, call, reply);
      },
      endpoint.traffic);
  if (!endpoint.listener) return std::nullopt;
  return endpoint.listener->address();
}

void StateServer::SetOutage(bool outage) {
  if (outage_ && !outage) service_.EndOutage(EventLoop::Now());
  outage_ = outage;
}

void StateServer::SetUnavailable(const std::string& controller, bool unavailable) {
  endpoints_.at(controller).unavailable = unavailable;
}

bool StateServer::IsUnavailable(const std::string& controller) const {
  return outage_ || endpoints_.at(controller).unavailable;
}

Seconds StateServer::Latency() {
  std::normal_distribution<double> spread(0, options_.latency_spread);
  return std::exp(spread(random_)) * options_.latency;
}

void StateServer::OnRequest(const std::string& controller, const HttpCall& call,
                            const EventLoop::ReplyCallback& reply) {
  loop_.After(Latency(), [this, controller, call, reply] { Answer(controller, call, reply); });
}

void StateServer::Answer(const std::string& controller, const HttpCall& call,
                         const EventLoop::ReplyCallback& reply) {
  ++counts_.requests;
  if (IsUnavailable(controller)) {
    reply(ErrorReply(503, "outage"));
    return;
  }
  if (!service_.Admit(EventLoop::Now())) {
    ++counts_.rate_limited;
    reply(ErrorReply(429, "rate"));
    return;
  }
  try {
    if (PathOf(call.target) == kWatchPath)
      AnswerWatch(controller, call, reply);
    else
      reply(AnswerNow(call));
  } catch (const protocol::InvalidMessage& e) {
    reply(ErrorReply(400, e.what()));
  }
}

HttpReply StateServer::AnswerNow(const HttpCall& call) {
  const std::string path = PathOf(call.target);
  if (path == kTransactionPath) return AnswerCommit(call);
  if (path == kRangePath) return AnswerRange(call);
  if (path.starts_with(kKeyPrefix)) {
    const auto entry = service_.Get(path.substr(sizeof(kKeyPrefix) - 1), EventLoop::Now());
    if (!entry) return ReplyFor(StateStatus::kNotFound, TickToJson(service_.tick()));
    return ReplyFor(StateStatus::kOk, ToJson(*entry));
  }
  if (path == kLeasesPath || path.starts_with(kLeasePrefix)) return AnswerLease(call);
  return ErrorReply(404, "no such path");
}

HttpReply StateServer::AnswerRange(const HttpCall& call) {
  constexpr std::uint64_t kDefaultPageSize = 1000;
  const StateRange range = service_.Range(
      QueryField(call.target, "under").value_or(""), QueryField(call.target, "after").value_or(""),
      QueryCount(call.target, "page").value_or(kDefaultPageSize), EventLoop::Now());
  return ReplyFor(StateStatus::kOk, ToJson(range));
}

HttpReply StateServer::AnswerCommit(const HttpCall& call) {
  const Instant now = EventLoop::Now();
  const Transaction transaction = TransactionFromJson(protocol::ParseObject(call.body));
  const StateCommit commit = service_.Commit(transaction, now);
  if (commit.status == StateStatus::kRateLimited) ++counts_.rate_limited;
  if (commit.status == StateStatus::kConflict) ++counts_.conflicts;
  if (commit.status == StateStatus::kOk) {
    ++counts_.commits;
    counts_.operations += transaction.changes.size();
    counts_.value_bytes += call.body.size();
    on_commit_(transaction, now);
    ServeWatches();
  }
  return ReplyFor(commit.status, ToJson(commit));
}

HttpReply StateServer::AnswerLease(const HttpCall& call) {
  const Instant now = EventLoop::Now();
  const std::string path = PathOf(call.target);
  if (path == kLeasesPath) {
    const LeaseId lease =
        service_.Grant(LeaseDurationFromJson(protocol::ParseObject(call.body)), now);
    if (lease.value == 0) return ErrorReply(400, "life_ms");
    return ReplyFor(StateStatus::kOk, LeaseToJson(lease));
  }
  const std::string lease_path = path.substr(sizeof(kLeasePrefix) - 1);
  const std::string lease_number = lease_path.substr(0, lease_path.find('/'));
  if (lease_number.empty() || lease_number.find_first_not_of("0123456789") != std::string::npos)
    return ErrorReply(404, "no such lease");
  const LeaseId lease{std::stoull(lease_number)};
  const bool keep_alive = call.method == "POST" && lease_path.ends_with(kKeepAliveSuffix);
  if (!keep_alive && call.method != "DELETE") return ErrorReply(400, "method");
  const StateStatus status = keep_alive ? service_.KeepAlive(lease, now) : service_.End(lease, now);
  ServeWatches();
  return ReplyFor(status, Json::object());
}

void StateServer::AnswerWatch(const std::string& controller, const HttpCall& call,
                              const EventLoop::ReplyCallback& reply) {
  constexpr double kSecondsPerMs = 1e-3;
  const Seconds block{kSecondsPerMs *
                      static_cast<double>(QueryCount(call.target, "block_ms").value_or(0))};
  watches_.push_back({controller,
                      QueryField(call.target, "under").value_or(""),
                      {QueryCount(call.target, "after").value_or(0)},
                      EventLoop::Now() + std::min(block, kMaxWatchBlock),
                      reply});
  ServeWatches();
}

void StateServer::ServeWatches() {
  const Instant now = EventLoop::Now();
  for (auto it = watches_.begin(); it != watches_.end();) {
    // While the service is unavailable to a controller, its open watches remain open.
    if (IsUnavailable(it->controller)) {
      ++it;
      continue;
    }
    const StateLog log = service_.Changes(it->prefix, it->after, now);
    if (log.status == StateStatus::kOk && log.events.empty() && now < it->deadline) {
      ++it;
      continue;
    }
    const EventLoop::ReplyCallback reply = std::move(it->reply);
    it = watches_.erase(it);
    reply(ReplyFor(log.status, ToJson(log)));
  }
}

void StateServer::Tick() {
  const Instant now = EventLoop::Now();
  tick_->Set(now + kTickInterval);
  if (outage_) return;
  service_.Expire(now);
  ServeWatches();
}

}  // namespace magpie::load_test
