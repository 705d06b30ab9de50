// Machines and workers of the simulated cluster: heartbeats, leases, commands and provisioning.
#include "simulated_cluster.h"

namespace magpie::testing {

HttpResponse SimulatedCluster::Heartbeat(const std::string& label, const std::string& body) {
  const HttpResponse response =
      controllers.at(label)->heartbeat_handler.Handle(body, HeartbeatRoute::kDirect);
  if (decisions != nullptr) {
    const std::string worker =
        protocol::HeartbeatFromJson(protocol::ParseObject(body)).machine.value;
    Record(DecisionKind::kHeartbeatResponse, label, worker, [&] { return BodyOf(response); });
  }
  return response;
}

SimulatedCluster::Machine* SimulatedCluster::Find(const MachineId& id) {
  for (Machine& machine : machines)
    if (machine.worker.id() == id) return &machine;
  return nullptr;
}

void SimulatedCluster::OnWorkerChanged(Machine& machine) {
  invariant_check_pending_ = true;
  if (random)
    machine.next_heartbeat = std::min(machine.next_heartbeat, now + random->Duration(0.1, 0.6));
}

std::size_t SimulatedCluster::MachineCount() const {
  return static_cast<std::size_t>(std::count_if(
      machines.begin(), machines.end(), [](const Machine& machine) { return !machine.removed; }));
}

void SimulatedCluster::DeliverCommandAt(Instant arrival,
                                        const magpie::DirectCommand& direct_command) {
  if (random)
    ScheduleAt(arrival, [this, direct_command] { DeliverCommand(direct_command); });
  else
    delayed_commands.emplace_back(arrival, direct_command);
}

void SimulatedCluster::DeliverCommand(const magpie::DirectCommand& direct_command) {
  Machine* machine = Find(direct_command.machine);
  if (machine == nullptr || machine->removed) return;
  if (!machine->CanReceive()) {
    // Retries until the machine is reachable. The number of retries is limited because a seed ends
    // after minutes of virtual time.
    if (random)
      ScheduleAfter(random->Duration(0.1, 1),
                    [this, direct_command] { DeliverCommand(direct_command); });
    return;
  }
  if (machine->worker.Deliver(direct_command)) OnWorkerChanged(*machine);
  CheckInvariants();
}

std::size_t SimulatedCluster::LiveTasks(const std::string& job) const {
  std::size_t n = 0;
  for (const Machine& machine : machines)
    if (!machine.removed)
      for (const TaskStatus& status : machine.worker.tasks())
        n += status.task.job.value == job && status.state != TaskState::kEnded ? 1 : 0;
  return n;
}

int SimulatedCluster::LeasesLost() const {
  int n = 0;
  for (const Machine& machine : machines) n += machine.leases_lost;
  return n;
}

void SimulatedCluster::RepeatHeartbeat(const std::string& body, const std::string& destination) {
  if (IsUp(destination)) Heartbeat(destination, body);
}

void SimulatedCluster::ScheduleWorker(Machine& machine) {
  ScheduleAfter(random->Duration(0.2, 0.6), [this, &machine] {
    if (machine.removed) return;
    if (now >= machine.booted_at) RunWorker(machine);
    ScheduleWorker(machine);
  });
}

MachineId SimulatedCluster::AddProvisionedMachine(const std::string& name, const std::string& zone,
                                                  bool spot) {
  if (Find({name}) != nullptr) violations.insert("rental_name_reused");
  Machine& machine = machines.emplace_back(name, "small", zone, spot);
  machine.booted_at = now + random->Duration(0.3, 2);
  machine.lease_renewed = machine.booted_at;
  machine.next_heartbeat = machine.booted_at;
  machine.destination = static_cast<std::size_t>(random->Below(static_cast<int>(labels.size())));
  ScheduleWorker(machine);
  return machine.worker.id();
}

void SimulatedCluster::RunWorker(Machine& machine) {
  if (now - machine.lease_renewed > kTestLease) {
    if (machine.worker.LiveTaskCount() > 0) ++machine.leases_lost;
    machine.worker.ExpireLease();
    ++machine.generation;
    machine.lease_renewed = now;
    machine.awaiting_response = false;
    invariant_check_pending_ = true;
  }
  if (machine.awaiting_response || now < machine.next_heartbeat) return;
  machine.next_heartbeat = now + random->Duration(0.75 * kTestHeartbeatInterval.value,
                                                  1.25 * kTestHeartbeatInterval.value);
  const std::string body = protocol::HeartbeatToJson(machine.worker.Snapshot()).dump();
  StoreSentHeartbeat(machine, body);
  machine.awaiting_response = true;
  const auto response_deadline = now + kHeartbeatTimeout;
  const auto generation = ++machine.generation;
  ScheduleAt(response_deadline, [&machine, generation] {
    if (machine.generation == generation) machine.awaiting_response = false;
  });
  const Seconds latency = machine.slow_heartbeats ? random->Duration(0.1, 3) : Seconds{};
  ScheduleAfter(latency, [this, &machine, generation, sent = now, body] {
    DeliverHeartbeat(machine, generation, sent, body);
  });
}

void SimulatedCluster::DeliverHeartbeat(Machine& machine, std::uint64_t generation, Instant sent,
                                        const std::string& body) {
  const std::string& destination = labels[machine.destination];
  if (!IsUp(destination) || machine.sends_nothing || machine.partitioned ||
      !machine.IsReachableFrom(destination))
    return OnHeartbeatResponse(machine, generation, sent, std::nullopt);
  const HttpResponse response = Heartbeat(destination, body);
  const Seconds latency = machine.slow_heartbeats ? random->Duration(0.1, 3) : Seconds{};
  if (latency.value == 0) return OnHeartbeatResponse(machine, generation, sent, response);
  ScheduleAfter(latency,
                [=, this, &machine] { OnHeartbeatResponse(machine, generation, sent, response); });
}

void SimulatedCluster::OnHeartbeatResponse(Machine& machine, std::uint64_t generation, Instant sent,
                                           const std::optional<HttpResponse>& response) {
  // Drops responses that arrive after the heartbeat timeout (4 s), or after the worker's lease
  // expired or the worker restarted.
  if (machine.removed || machine.generation != generation || !machine.awaiting_response) return;
  machine.awaiting_response = false;
  if (!response || machine.receives_nothing)
    TryNextController(machine);
  else
    ApplyHeartbeatResponse(machine, sent, *response);
}

void SimulatedCluster::SendStaleHeartbeats() {
  const std::string leader = Leader();
  if (leader.empty() || controllers.at(leader)->run_id == last_leader_run_) return;
  last_leader_run_ = controllers.at(leader)->run_id;
  for (Machine& machine : machines)
    if (const auto which = stale_first_heartbeat(machine.sent_heartbeats.size());
        which && *which < machine.sent_heartbeats.size() && !machine.removed)
      Heartbeat(leader, machine.sent_heartbeats[*which]);
}

void SimulatedCluster::StepWorker(Machine& machine) {
  if (machine.removed) return;
  if (now - machine.lease_renewed > kTestLease) {
    if (machine.worker.LiveTaskCount() > 0) ++machine.leases_lost;
    machine.worker.ExpireLease();
    machine.lease_renewed = now;
    machine.in_flight_heartbeat.reset();
  }
  if (machine.in_flight_heartbeat) {
    if (now - machine.in_flight_heartbeat->first < Seconds{3}) return;
    SendHeartbeat(machine, machine.in_flight_heartbeat->first,
                  std::exchange(machine.in_flight_heartbeat, std::nullopt)->second);
    return;
  }
  if (now < machine.next_heartbeat) return;
  machine.next_heartbeat = now + kTestHeartbeatInterval;
  const std::string body = protocol::HeartbeatToJson(machine.worker.Snapshot()).dump();
  StoreSentHeartbeat(machine, body);
  if (machine.slow_heartbeats)
    machine.in_flight_heartbeat = {now, body};
  else
    SendHeartbeat(machine, now, body);
}

void SimulatedCluster::StoreSentHeartbeat(Machine& machine, const std::string& body) {
  machine.sent_heartbeats.push_back(body);
  if (machine.sent_heartbeats.size() > 12) machine.sent_heartbeats.pop_front();
  if (const auto copy = repeat_heartbeat()) {
    repeated_heartbeats.emplace_back(copy->first, copy->second, body);
    if (random)
      ScheduleAt(copy->first,
                 [this, destination = copy->second, body] { RepeatHeartbeat(body, destination); });
  }
}

void SimulatedCluster::SendHeartbeat(Machine& machine, Instant sent, const std::string& body) {
  const std::string& destination = labels[machine.destination];
  if (!IsUp(destination) || machine.sends_nothing || machine.partitioned)
    return TryNextController(machine);
  const HttpResponse response = Heartbeat(destination, body);
  if (machine.receives_nothing) return TryNextController(machine);
  ApplyHeartbeatResponse(machine, sent, response);
}

void SimulatedCluster::TryNextController(Machine& machine) {
  machine.destination = (machine.destination + 1) % labels.size();
  machine.next_heartbeat = std::min(machine.next_heartbeat, now + Seconds{1});
}

void SimulatedCluster::ApplyHeartbeatResponse(Machine& machine, Instant sent,
                                              const HttpResponse& response) {
  const std::string& destination = labels[machine.destination];
  if (response.status == 200) {
    const protocol::Json body = protocol::Json::parse(response.body);
    HeartbeatResponse parsed;
    parsed.token = {body.at("crest").get<std::uint64_t>()};
    parsed.commands = protocol::CommandsFromJson(body.at("calls"));
    if (machine.worker.Deliver(parsed)) machine.lease_renewed = sent;
    if (!parsed.commands.empty()) OnWorkerChanged(machine);
    CheckInvariants();
    return;
  }
  if (response.status == 421) {
    const protocol::Json body = protocol::Json::parse(response.body);
    const auto it = std::find(labels.begin(), labels.end(), body.value("home_roost", ""));
    if (it != labels.end() && *it != destination) {
      machine.destination = static_cast<std::size_t>(it - labels.begin());
      machine.next_heartbeat = now + Seconds{0.5};
      return;
    }
  }
  TryNextController(machine);
}

}  // namespace magpie::testing
