#include "load_test/cloud_server.h"

#include "load_test/codec.h"
#include "protocol/codec.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kTickInterval{0.25};
constexpr Seconds kLatency{0.02};

HttpReply ErrorReply(int status, const char* error) {
  return {status, Json{{"error", error}}.dump()};
}

}  // namespace

CloudServer::CloudServer(EventLoop& loop, Cloud& cloud)
    : loop_(loop), cloud_(cloud), tick_(loop.MakeTimer([this] { Tick(); })) {
  tick_->Set(EventLoop::Now() + kTickInterval);
}

std::optional<Address> CloudServer::Serve() {
  listener_ = loop_.Listen(
      {"127.0.0.1", 0},
      [this](const HttpCall& call, EventLoop::ReplyCallback reply) {
        loop_.After(kLatency, [this, call, reply] { reply(Answer(call)); });
      },
      traffic_);
  if (!listener_) return std::nullopt;
  return listener_->address();
}

void CloudServer::Tick() {
  const Instant now = EventLoop::Now();
  tick_->Set(now + kTickInterval);
  cloud_.Advance(now);
}

HttpReply CloudServer::Answer(const HttpCall& call) {
  ++counts_.requests;
  if (!cloud_.Admit(EventLoop::Now())) {
    ++counts_.rate_limited;
    return ErrorReply(429, "rate");
  }
  const std::string path = PathOf(call.target);
  try {
    if (path == protocol::kTypesPath) return {200, TypesToJson(cloud_.types()).dump()};
    if (path == protocol::kReleasePath) return Release(call);
    if (path == protocol::kMachinesPath)
      return call.method == "POST" ? Provision(call) : List(call);
  } catch (const protocol::InvalidMessage& e) {
    return ErrorReply(400, e.what());
  }
  return ErrorReply(404, "no such path");
}

HttpReply CloudServer::Provision(const HttpCall& call) {
  const RentalResult result =
      cloud_.Provision(RentalFromJson(protocol::ParseObject(call.body)), EventLoop::Now());
  if (result.status == CloudStatus::kNoCapacity) return ErrorReply(503, "no capacity");
  if (result.status != CloudStatus::kOk) return ErrorReply(400, "malformed");
  counts_.rented += result.machines.size();
  return {200, protocol::MachineIdsToJson(result.machines).dump()};
}

HttpReply CloudServer::Release(const HttpCall& call) {
  const std::vector<MachineId> machines =
      protocol::MachineIdsFromJson(protocol::ParseObject(call.body));
  if (cloud_.Release(machines) != CloudStatus::kOk) return ErrorReply(400, "too many");
  counts_.released += machines.size();
  return {200, "{}"};
}

HttpReply CloudServer::List(const HttpCall& call) {
  constexpr std::uint64_t kDefaultPageSize = 500;
  const Cloud::List list = cloud_.ListAfter(
      {QueryField(call.target, "after").value_or("")},
      QueryCount(call.target, "page").value_or(kDefaultPageSize), EventLoop::Now());
  return {200, MachinesToJson(list.machines, list.more).dump()};
}

}  // namespace magpie::load_test
