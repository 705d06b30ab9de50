#include "load_test/networked_worker.h"

#include <algorithm>

#include "load_test/codec.h"
#include "protocol/codec.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kMinTimerInterval{0.001};  // between two timer callbacks
constexpr Seconds kMinCopyDelay{0.5};
constexpr double kMaxCopyDelayInLeases = 1.2;

std::string AddressText(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

NetworkedWorker::NetworkedWorker(EventLoop& loop, WorkerContext& context,
                                 const CloudMachine& machine, const JobLedger& jobs,
                                 Recorder& recorder)
    : loop_(loop),
      worker_context_(context),
      machine_(machine),
      jobs_(jobs),
      recorder_(recorder),
      listener_(loop.Listen(
          {"127.0.0.1", 0},
          [this](const HttpCall& call, const EventLoop::ReplyCallback& reply) {
            OnRequest(call, reply);
          },
          context.commands)),
      timer_(loop.MakeTimer([this] { OnTimer(); })),
      random_(static_cast<std::minstd_rand::result_type>(
          context.seed + std::hash<std::string>()(machine.id.value))) {}

std::optional<Address> NetworkedWorker::address() const {
  if (!listener_) return std::nullopt;
  return listener_->address();
}

SimulatedWorker::Options NetworkedWorker::OptionsOf() const {
  SimulatedWorker::Options options;
  options.agent.machine = machine_.id;
  options.agent.addr = AddressText(listener_->address());
  options.agent.type = machine_.type;
  options.agent.zone = machine_.zone;
  options.agent.spot = machine_.spot;
  options.agent.heartbeat_interval = worker_context_.heartbeat_interval;
  options.agent.lease = worker_context_.lease;
  for (const Node& node : worker_context_.nodes) options.agent.nodes.push_back(node.label);
  // Rotates the list of controllers, so that the first heartbeats of workers are spread over them.
  const std::size_t number = std::hash<std::string>()(machine_.id.value) + incarnation_;
  std::rotate(options.agent.nodes.begin(),
              options.agent.nodes.begin() +
                  static_cast<std::ptrdiff_t>(number % options.agent.nodes.size()),
              options.agent.nodes.end());
  for (const MachineType& type : worker_context_.types) {
    if (type.name != machine_.type) continue;
    options.agent.capacity = type.capacity;
    options.agent.cache_gb = type.cache_gb;
    options.fetch_gb_per_s = type.fetch_gb_per_s;
  }
  options.durable_state = durable_state_;
  options.seed = worker_context_.seed + number;
  return options;
}

void NetworkedWorker::Begin() {
  recorder_.Record(MachineBooted{machine_.id, machine_.type, machine_.zone, machine_.spot});
  worker_ = std::make_unique<SimulatedWorker>(OptionsOf(), jobs_, recorder_, EventLoop::Now());
  Schedule();
}

void NetworkedWorker::SetUnreachable(bool unreachable) { unreachable_ = unreachable; }

void NetworkedWorker::PowerOff() {
  unreachable_ = true;
  ++incarnation_;
  if (worker_) {
    const Heartbeat last_heartbeat = worker_->Inspect(EventLoop::Now());
    durable_state_ = {
        last_heartbeat.agent_epoch, last_heartbeat.sequence, last_heartbeat.token, {}};
    worker_->PowerOff(EventLoop::Now());
  }
  worker_.reset();
  connections_.clear();
}

void NetworkedWorker::Restart() {
  PowerOff();
  unreachable_ = false;
  Begin();
}

void NetworkedWorker::OnRequest(const HttpCall& call, const EventLoop::ReplyCallback& reply) {
  if (unreachable_ || !worker_) return;  // without a reply, the request times out
  const Instant now = EventLoop::Now();
  try {
    if (call.target == protocol::kInspectPath) {
      reply({200, protocol::HeartbeatToJson(worker_->Inspect(now)).dump()});
    } else if (call.target == protocol::kCommandsPath) {
      const HttpReply answer = Execute(call, now);
      if (answer.status != 200) ++worker_context_.rejected_commands;
      reply(answer);
      RepeatLater(call);
    } else {
      reply({404, "{}"});
    }
  } catch (const protocol::InvalidMessage& e) {
    reply({400, "{}"});
  }
  Schedule();
}

HttpReply NetworkedWorker::Execute(const HttpCall& call, Instant now) {
  const DirectCommands direct = DirectCommandsFromJson(protocol::ParseObject(call.body));
  const agent::DirectCommandReply answer =
      worker_->OnDirectCommand(direct.token, direct.agent_epoch, direct.commands, now);
  return {answer.status, protocol::HeartbeatToJson(answer.heartbeat).dump()};
}

void NetworkedWorker::RepeatLater(const HttpCall& call) {
  if (!std::bernoulli_distribution(worker_context_.repeated_commands)(random_)) return;
  const Seconds max_delay = kMaxCopyDelayInLeases * worker_context_.lease;
  const Seconds delay{
      std::uniform_real_distribution<double>(kMinCopyDelay.value, max_delay.value)(random_)};
  loop_.After(delay, [this, call, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.lock() || unreachable_ || !worker_) return;
    if (Execute(call, EventLoop::Now()).status == 200) ++worker_context_.accepted_copies;
    Schedule();
  });
}

void NetworkedWorker::OnTimer() {
  if (!worker_) return;
  const Instant now = EventLoop::Now();
  worker_->Advance(now);
  if (const auto outgoing = worker_->NextHeartbeat(now)) Send(*outgoing);
  Schedule();
}

void NetworkedWorker::Schedule() {
  if (!worker_) return;
  timer_->Set(std::max(worker_->NextWakeup(), EventLoop::Now() + kMinTimerInterval));
}

EventLoop::ClientConnection& NetworkedWorker::ConnectionTo(const std::string& node) {
  auto& connection = connections_[node];
  if (!connection) {
    std::size_t number = 0;
    while (worker_context_.nodes[number].label != node) ++number;
    connection = loop_.MakeClientConnection(worker_context_.nodes[number].address,
                                            *worker_context_.heartbeats[number]);
  }
  return *connection;
}

void NetworkedWorker::Send(const agent::Worker::Outgoing& outgoing) {
  const auto done = [this, incarnation = incarnation_](const HttpOutcome& outcome) {
    if (incarnation == incarnation_) OnOutcome(unreachable_ ? HttpOutcome{} : outcome);
  };
  if (unreachable_) {
    loop_.After(agent::Worker::kResponseTimeout, [done, alive = std::weak_ptr<int>(alive_)] {
      if (alive.lock()) done({});
    });
    return;
  }
  ConnectionTo(outgoing.node)
      .Call(
          {"POST", protocol::kHeartbeatPath, protocol::HeartbeatToJson(outgoing.heartbeat).dump()},
          agent::Worker::kResponseTimeout, done);
}

void NetworkedWorker::OnOutcome(const HttpOutcome& outcome) {
  if (!worker_) return;
  const agent::Answer answer =
      outcome.answered ? AnswerFromResponse(outcome.status, outcome.body) : agent::Answer{};
  if (answer.kind == agent::Answer::Kind::kRedirected) ++worker_context_.redirects;
  if (answer.kind == agent::Answer::Kind::kFailed) ++worker_context_.failed_heartbeats;
  worker_->OnAnswer(answer, EventLoop::Now());
  Schedule();
}

}  // namespace magpie::load_test
