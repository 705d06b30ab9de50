#include "load_test/networked_worker.h"

#include <algorithm>

#include "load_test/codec.h"
#include "protocol/codec.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kMinPause{0.001};  // between two timer callbacks

std::string TextOf(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

NetworkedWorker::NetworkedWorker(EventLoop& loop, WorkerSite& site, const CloudMachine& machine,
                                 const JobLedger& jobs, Recorder& recorder)
    : loop_(loop),
      site_(site),
      machine_(machine),
      jobs_(jobs),
      recorder_(recorder),
      listener_(loop.Listen(
          {"127.0.0.1", 0},
          [this](const HttpCall& call, const EventLoop::ReplyTo& reply) { OnRequest(call, reply); },
          site.commands)),
      timer_(loop.MakeTimer([this] { Act(); })) {}

std::optional<Address> NetworkedWorker::address() const {
  if (!listener_) return std::nullopt;
  return listener_->address();
}

SimulatedWorker::Options NetworkedWorker::OptionsOf() const {
  SimulatedWorker::Options options;
  options.agent.machine = machine_.id;
  options.agent.addr = TextOf(listener_->address());
  options.agent.type = machine_.type;
  options.agent.zone = machine_.zone;
  options.agent.spot = machine_.spot;
  options.agent.heartbeat_interval = site_.heartbeat_interval;
  options.agent.lease = site_.lease;
  for (const Node& node : site_.nodes) options.agent.nodes.push_back(node.label);
  // Workers start at different nodes of the same list.
  const std::size_t number = std::hash<std::string>()(machine_.id.value) + life_;
  std::rotate(options.agent.nodes.begin(),
              options.agent.nodes.begin() +
                  static_cast<std::ptrdiff_t>(number % options.agent.nodes.size()),
              options.agent.nodes.end());
  for (const MachineType& type : site_.types) {
    if (type.name != machine_.type) continue;
    options.agent.capacity = type.capacity;
    options.agent.cache_gb = type.cache_gb;
    options.fetch_gb_per_s = type.fetch_gb_per_s;
  }
  options.memory = memory_;
  options.seed = site_.seed + number;
  return options;
}

void NetworkedWorker::Begin() {
  recorder_.Record(MachineUp{machine_.id, machine_.type, machine_.zone, machine_.spot});
  worker_ = std::make_unique<SimulatedWorker>(OptionsOf(), jobs_, recorder_, EventLoop::Now());
  Schedule();
}

void NetworkedWorker::SetSilent(bool heartbeat_timeout) { silent_ = heartbeat_timeout; }

void NetworkedWorker::Perish() {
  silent_ = true;
  ++life_;
  if (worker_) {
    const Heartbeat last = worker_->Inspect(EventLoop::Now());
    memory_ = {last.agent_epoch, last.sequence, last.token, {}};
    worker_->Perish(EventLoop::Now());
  }
  worker_.reset();
  callers_.clear();
}

void NetworkedWorker::Restart() {
  Perish();
  silent_ = false;
  Begin();
}

void NetworkedWorker::OnRequest(const HttpCall& call, const EventLoop::ReplyTo& reply) {
  if (silent_ || !worker_) return;  // the request times out
  const Instant now = EventLoop::Now();
  try {
    if (call.target == protocol::kInspectPath) {
      reply({200, protocol::HeartbeatToJson(worker_->Inspect(now)).dump()});
    } else if (call.target == protocol::kCommandsPath) {
      const DirectCommands direct = DirectFromJson(protocol::ParseObject(call.body));
      const agent::DirectCommandReply answer =
          worker_->OnDirectCommand(direct.token, direct.agent_epoch, direct.commands, now);
      if (answer.status != 200) ++site_.refusals;
      reply({answer.status, protocol::HeartbeatToJson(answer.heartbeat).dump()});
    } else {
      reply({404, "{}"});
    }
  } catch (const protocol::InvalidMessage& e) {
    reply({400, "{}"});
  }
  Schedule();
}

void NetworkedWorker::Act() {
  if (!worker_) return;
  const Instant now = EventLoop::Now();
  worker_->Advance(now);
  if (const auto out = worker_->NextHeartbeat(now)) Send(*out);
  Schedule();
}

void NetworkedWorker::Schedule() {
  if (!worker_) return;
  timer_->Set(std::max(worker_->Wake(), EventLoop::Now() + kMinPause));
}

EventLoop::Caller& NetworkedWorker::CallerTo(const std::string& node) {
  auto& caller = callers_[node];
  if (!caller) {
    std::size_t number = 0;
    while (site_.nodes[number].label != node) ++number;
    caller = loop_.MakeCaller(site_.nodes[number].address, *site_.heartbeats[number]);
  }
  return *caller;
}

void NetworkedWorker::Send(const agent::Worker::Outgoing& out) {
  const auto done = [this, life = life_](const HttpOutcome& outcome) {
    if (life == life_) OnOutcome(silent_ ? HttpOutcome{} : outcome);
  };
  if (silent_) {
    loop_.After(agent::Worker::kAnswerTimeout, [done, alive = std::weak_ptr<int>(alive_)] {
      if (alive.lock()) done({});
    });
    return;
  }
  CallerTo(out.node).Call(
      {"POST", protocol::kHeartbeatPath, protocol::HeartbeatToJson(out.heartbeat).dump()},
      agent::Worker::kAnswerTimeout, done);
}

void NetworkedWorker::OnOutcome(const HttpOutcome& outcome) {
  if (!worker_) return;
  const agent::Answer answer =
      outcome.answered ? AnswerFromReply(outcome.status, outcome.body) : agent::Answer{};
  if (answer.kind == agent::Answer::Kind::kRedirected) ++site_.redirects;
  if (answer.kind == agent::Answer::Kind::kFailed) ++site_.failed_heartbeats;
  worker_->OnAnswer(answer, EventLoop::Now());
  Schedule();
}

}  // namespace magpie::load_test
