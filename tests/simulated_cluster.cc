// Virtual time, controllers, key-value store leases and invariants of the simulated cluster.
#include "simulated_cluster.h"

namespace magpie::testing {

SimulatedCluster::SimulatedCluster(BrokenBroadcast broken_broadcast, int controller_count,
                                   int worker_count, std::size_t page_bytes)
    : broken_broadcast(broken_broadcast), page_bytes(page_bytes) {
  for (int i = 0; i < controller_count; ++i) labels.push_back(std::string("n") + std::to_string(i));
  for (const std::string& label : labels) StartController(label);
  for (int i = 0; i < worker_count; ++i) {
    Machine& machine =
        machines.emplace_back("m-" + std::to_string(i), "small", i % 2 == 0 ? "a" : "b");
    machine.next_heartbeat = now + Seconds{0.5 * i};
    machine.lease_renewed = now;
  }
}

void SimulatedCluster::StartController(const std::string& label) {
  controllers[label] = std::make_unique<SimulatedController>(
      *this, label, label + "-" + std::to_string(++last_nonce));
  if (random) controllers[label]->StartLoops();
}

void SimulatedCluster::StopController(const std::string& label) {
  if (auto it = controllers.find(label); it != controllers.end()) {
    it->second->End();
    for (const auto& [lease, renewed] : it->second->store.renewed_leases)
      orphaned_leases[lease] = renewed;
    controllers.erase(it);
  }
}

bool SimulatedCluster::IsPaused(const std::string& label) const {
  const auto it = paused_until.find(label);
  return it != paused_until.end() && now < it->second;
}

std::string SimulatedCluster::Leader() const {
  for (const auto& [label, controller] : controllers)
    if (controller->core.loaded()) return label;
  return {};
}

bool SimulatedCluster::CanReach(const std::string& from, const std::string& to) const {
  return !partitions.contains({from, to});
}

void SimulatedCluster::StartRandomizedSchedule(std::uint64_t seed) {
  random.emplace(seed);
  // Recreates the controllers so that options changed since construction apply.
  for (const std::string& label : labels) {
    controllers.erase(label);
    StartController(label);
  }
  for (Machine& machine : machines) ScheduleWorker(machine);
  ScheduleLeaseExpiry();
}

void SimulatedCluster::ScheduleAt(Instant when, std::function<void()> action) {
  // Times are random, so actions scheduled close together run in random order.
  scheduled_.emplace(std::max(when, now), std::move(action));
}

void SimulatedCluster::Run(Seconds length) {
  const Instant until = now + length;
  while (!scheduled_.empty() && scheduled_.begin()->first <= until) {
    if (++event_count > max_events) {
      violations.insert("endless");
      return;
    }
    auto next = scheduled_.extract(scheduled_.begin());
    wall.value += (next.key() - now).value;
    now = next.key();
    next.mapped()();
    if (std::exchange(invariant_check_pending_, false)) CheckInvariants();
  }
  wall.value += (until - now).value;
  now = until;
}

SimulatedCluster::~SimulatedCluster() {
  for (const std::string& label : labels) StopController(label);
}

void SimulatedCluster::StepOneSecond() {
  now = now + Seconds{1};
  wall.value += 1;
  ExpireLeases();
  while (!late_writes.empty() && late_writes.front() <= now) {
    late_writes.pop_front();
    if (store.has_delayed_transactions()) store.DeliverDelayed();
  }
  for (const std::string& label : labels)
    if (IsUp(label)) controllers.at(label)->Step();
  SendStaleHeartbeats();
  for (auto it = delayed_commands.begin(); it != delayed_commands.end();) {
    if (now < it->first) {
      ++it;
      continue;
    }
    DeliverCommand(it->second);
    it = delayed_commands.erase(it);
  }
  for (auto it = repeated_heartbeats.begin(); it != repeated_heartbeats.end();) {
    const auto& [due, destination, body] = *it;
    if (now < due) {
      ++it;
      continue;
    }
    if (IsUp(destination)) Heartbeat(destination, body);  // the response is discarded
    it = repeated_heartbeats.erase(it);
  }
  for (Machine& machine : machines) StepWorker(machine);
  CheckInvariants();
}

void SimulatedCluster::AdvanceSeconds(int seconds) {
  for (int i = 0; i < seconds; ++i) StepOneSecond();
}

void SimulatedCluster::CheckInvariants() {
  std::set<TaskId> live_tasks;
  std::map<std::string, double> cpus_by_team;
  std::map<std::string, std::map<std::string, std::uint32_t>> tasks_by_zone;
  for (const Machine& machine : machines) {
    if (machine.removed) continue;
    for (const TaskStatus& status : machine.worker.tasks()) {
      if (status.state == TaskState::kEnded) continue;
      const std::string& job = status.task.job.value;
      if (!live_tasks.insert(status.task).second && violations.insert("ran_twice").second)
        violation_log += std::to_string(now.value - 100) +
                         " s: " + protocol::TaskIdToText(status.task) +
                         " runs twice at once, attempt " + std::to_string(status.attempt.value) +
                         " on " + machine.worker.id().value + "\n";
      if (!job_overrides.contains(job)) continue;
      const JobSpec& spec = SubmittedSpec(job);
      cpus_by_team[spec.team] += spec.per_task.cpus;
      const std::uint32_t tasks_in_zone = ++tasks_by_zone[job][machine.worker.zone()];
      if (tasks_in_zone > MaxTasksPerZone(spec) ||
          (spec.single_zone && tasks_by_zone[job].size() > 1) ||
          (spec.zone && *spec.zone != machine.worker.zone()))
        violations.insert("wrong_place");
    }
  }
  if (cpus_by_team["blue"] > kBlueTeamCpuLimit) violations.insert("quota");
  for (const auto& [job, acknowledged] : acknowledged_cancellations)
    if (now - acknowledged > cancel_deadline && LiveTasks(job) > 0)
      violations.insert("ran_cancelled");
}

void SimulatedCluster::ScheduleLeaseExpiry() {
  ScheduleAfter({0.25}, [this] {
    ExpireLeases();
    ScheduleLeaseExpiry();
  });
}

void SimulatedCluster::ExpireLeases() {
  // When an outage ends, every lease restarts with its full duration.
  if (store.outage) {
    for (auto& [label, controller] : controllers)
      for (auto& [lease, renewed] : controller->store.renewed_leases) renewed = now;
    for (auto& [lease, renewed] : orphaned_leases) renewed = now;
    return;
  }
  const auto expire = [&](std::map<std::uint64_t, Instant>& leases) {
    for (auto it = leases.begin(); it != leases.end();) {
      if (now - it->second <= kTestLeaderLease) {
        ++it;
        continue;
      }
      store.EndLease({it->first});
      it = leases.erase(it);
    }
  };
  for (auto& [label, controller] : controllers) expire(controller->store.renewed_leases);
  expire(orphaned_leases);
}

}  // namespace magpie::testing
