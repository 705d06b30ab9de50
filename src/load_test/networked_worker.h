// A worker of a load test, and the settings and counters that all its workers share.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "load_test/cloud.h"
#include "load_test/event_loop.h"
#include "load_test/recorder.h"
#include "load_test/simulated_worker.h"

namespace magpie::load_test {

// A controller and the address that workers and users send requests to.
struct Node {
  std::string label;
  Address address;
};

// Settings and counters that all workers of a run share. Workers on several threads increment the
// counters at the same time.
struct WorkerContext {
  std::vector<Node> nodes;
  std::vector<MachineType> types;
  Seconds heartbeat_interval{3};
  Seconds lease{45};
  double repeated_commands = 0;  // see Scenario
  std::uint64_t seed = 1;
  // Traffic of heartbeats and their responses, by index in `nodes`.
  std::vector<std::unique_ptr<Traffic>> heartbeats;
  // Traffic of direct commands, probes and their responses.
  Traffic commands;
  std::atomic<std::uint64_t> redirects{0};
  std::atomic<std::uint64_t> rejected_commands{0};  // direct commands answered with 400 or 409
  std::atomic<std::uint64_t> failed_heartbeats{0};  // no response, or an unexpected status
  std::atomic<std::uint64_t> accepted_copies{0};    // copies of direct commands answered with 200
};

// A simulated worker on the network: sends heartbeats to controllers over persistent connections
// and serves direct commands, on the thread of its loop.
class NetworkedWorker {
 public:
  // `context`, `jobs` and `recorder` must outlive the worker. Any thread may create it; it is used
  // and destroyed on the loop's thread.
  NetworkedWorker(EventLoop& loop, WorkerContext& context, const CloudMachine& machine,
                  const JobLedger& jobs, Recorder& recorder);

  // The address where it listens from its creation on; none if it cannot listen.
  std::optional<Address> address() const;
  // Starts the worker after its machine has booted.
  void Begin();
  // While unreachable, the worker exchanges no messages in either direction.
  void SetUnreachable(bool unreachable);
  // Powers the machine off: its tasks end, and the worker stays unreachable until Restart.
  void PowerOff();
  // Restarts the machine. Its tasks are lost; agent epoch, sequence number and fencing token are
  // kept.
  void Restart();

 private:
  SimulatedWorker::Options OptionsOf() const;
  void OnRequest(const HttpCall& call, const EventLoop::ReplyCallback& reply);
  // Throws protocol::InvalidMessage if the call is malformed.
  HttpReply Execute(const HttpCall& call, Instant now);
  // May schedule the arrival of a copy of an answered direct command.
  void RepeatLater(const HttpCall& call);
  void OnTimer();
  void Send(const agent::Worker::Outgoing& outgoing);
  void OnOutcome(const HttpOutcome& outcome);
  void Schedule();
  EventLoop::ClientConnection& ConnectionTo(const std::string& node);

  EventLoop& loop_;
  WorkerContext& worker_context_;
  CloudMachine machine_;
  const JobLedger& jobs_;
  Recorder& recorder_;
  std::unique_ptr<EventLoop::Listener> listener_;
  std::unique_ptr<SimulatedWorker> worker_;    // null before the boot and while powered off
  agent::Worker::DurableState durable_state_;  // kept across restarts
  std::map<std::string, std::unique_ptr<EventLoop::ClientConnection>> connections_;
  std::unique_ptr<EventLoop::Timer> timer_;
  // Lets delayed callbacks detect the destruction of the worker.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  // Incremented by PowerOff. Responses to earlier incarnations are ignored.
  std::uint64_t incarnation_ = 0;
  std::minstd_rand random_;  // selects the commands to repeat
  bool unreachable_ = false;
};

}  // namespace magpie::load_test
