// Single faults of a seed.
#include <algorithm>
#include <array>
#include <cstdio>

#include "seed_run.h"

namespace magpie::testing {

InjectedFault SeedRun::RandomStoreFault(const std::string& label, bool write) {
  InjectedFault fault;
  if (random_.Chance(slow_call_rate_)) {
    fault.request_delay = random_.Duration(0, 1);
    fault.response_delay = random_.Duration(0, 1);
    fault.response_lost = fault.request_delay.value + fault.response_delay.value > 1.5;
  } else if (random_.Chance(0.1)) {
    (random_.Chance(0.5) ? fault.request_delay : fault.response_delay) = random_.Duration(0, 0.1);
  }
  if (write && random_.Chance(lost_response_rate_)) {
    fault.response_lost = true;
    if (random_.Chance(0.15)) {
      const Seconds from = random_.Duration(0, 1);
      RefuseStoreCalls(from, random_.Duration(5, 20), label);
    }
  }
  return fault;
}

void SeedRun::InjectAfter(Seconds wait, const std::string& description,
                          std::function<void()> action) {
  cluster_.ScheduleAfter(wait, [this, description, action = std::move(action)] {
    std::array<char, 24> timestamp{};
    std::snprintf(timestamp.data(), timestamp.size(), "%7.2f s: ", cluster_.now.value - 100);
    result_.fault_log += timestamp.data() + description + "\n";
    action();
  });
}

void SeedRun::RecordFault(const char* kind) { result_.faults.insert(kind); }

void SeedRun::RefuseStoreCalls(Seconds from, Seconds length, const std::string& label) {
  RecordFault("controller refused");
  InjectAfter(from, "key-value store refuses " + label, [=, this] {
    if (cluster_.controllers.contains(label)) cluster_.controllers.at(label)->store.refused = true;
  });
  InjectAfter(from + length, "key-value store no longer refuses " + label, [=, this] {
    if (cluster_.controllers.contains(label)) cluster_.controllers.at(label)->store.refused = false;
  });
}

void SeedRun::ScheduleOutage(Seconds from, Seconds length) {
  RecordFault("outage");
  InjectAfter(from, "outage starts", [this] { cluster_.store.outage = true; });
  InjectAfter(from + length, "outage ends", [this] { cluster_.store.outage = false; });
}

void SeedRun::PartitionControllers(Seconds from, Seconds length, const std::string& a,
                                   const std::string& b) {
  RecordFault("partition");
  InjectAfter(from, a + " cannot reach " + b, [=, this] { cluster_.partitions.insert({a, b}); });
  InjectAfter(from + length, a + " can reach " + b,
              [=, this] { cluster_.partitions.erase({a, b}); });
}

void SeedRun::RestartController(Seconds from, Seconds downtime, const std::string& label) {
  RecordFault("crash");
  InjectAfter(from, label + " crashes", [=, this] { cluster_.StopController(label); });
  InjectAfter(from + downtime, label + " restarts", [=, this] {
    if (!cluster_.controllers.contains(label)) cluster_.StartController(label);
  });
}

void SeedRun::RestartLeader(Seconds from) {
  RestartLeader(from, [this] { return random_.Chance(0.6) ? Seconds{0} : random_.Duration(0, 6); });
}

void SeedRun::RestartLeader(Seconds from, std::function<Seconds()> draw_downtime) {
  InjectAfter(from, "leader crashes and restarts", [this, draw = std::move(draw_downtime)] {
    const std::string leader = cluster_.Leader();
    if (leader.empty()) return;
    cluster_.StopController(leader);
    cluster_.ScheduleAfter(draw(), [=, this] {
      if (!cluster_.controllers.contains(leader)) cluster_.StartController(leader);
    });
  });
}

void SeedRun::RefuseLeaderStoreCalls(Seconds from, Seconds length) {
  InjectAfter(from, "key-value store refuses the leader", [=, this] {
    const std::string leader = cluster_.Leader();
    if (!leader.empty()) RefuseStoreCalls({}, length, leader);
  });
}

void SeedRun::PauseController(Seconds from, Seconds length, const std::string& label) {
  RecordFault("paused");
  InjectAfter(from, label + " is paused",
              [=, this] { cluster_.paused_until[label] = cluster_.now + length; });
}

void SeedRun::DelayCommands(Seconds from, Seconds length, double max_delay) {
  RecordFault("delayed commands");
  InjectAfter(from, "commands are delayed by up to " + std::to_string(max_delay) + " s", [=, this] {
    cluster_.delay_command = [=, this]() -> std::optional<Instant> {
      if (!random_.Chance(0.7)) return std::nullopt;
      return cluster_.now + random_.Duration(1, max_delay);
    };
  });
  InjectAfter(from + length, "commands are no longer delayed",
              [this] { cluster_.delay_command = [] { return std::nullopt; }; });
}

void SeedRun::RepeatCommands(Seconds from, Seconds length, double share) {
  RecordFault("repeated commands");
  InjectAfter(from, "answered commands arrive once more", [this, share] {
    cluster_.repeat_command = [this, share]() -> std::optional<Instant> {
      if (!random_.Chance(share)) return std::nullopt;
      const Seconds max_delay = random_.Chance(0.5) ? Seconds{5} : 2.0 * kTestLease;
      return cluster_.now + random_.Duration(0.5, max_delay.value);
    };
  });
  InjectAfter(from + length, "answered commands arrive only once",
              [this] { cluster_.repeat_command = [] { return std::nullopt; }; });
}

void SeedRun::RepeatHeartbeats(Seconds from, Seconds length) {
  RecordFault("duplicate heartbeats");
  InjectAfter(from, "heartbeats are duplicated", [this] {
    cluster_.repeat_heartbeat = [this]() -> std::optional<std::pair<Instant, std::string>> {
      if (!random_.Chance(0.3)) return std::nullopt;
      const Instant arrival = cluster_.now + random_.Duration(2, 60);
      return std::pair(arrival, random_.Pick(labels_));
    };
  });
  InjectAfter(from + length, "heartbeats are no longer duplicated",
              [this] { cluster_.repeat_heartbeat = [] { return std::nullopt; }; });
}

void SeedRun::SendStaleHeartbeats() {
  RecordFault("stale heartbeats");
  cluster_.on_leader_loading = [this] {
    for (Machine& machine : cluster_.machines) {
      if (machine.sent_heartbeats.empty() || !random_.Chance(0.5)) continue;
      std::vector<int> indices;
      for (int i = random_.Between(1, 3); i > 0; --i)
        indices.push_back(random_.Below(static_cast<int>(machine.sent_heartbeats.size())));
      // Often sends an earlier heartbeat and the latest one; their agent epochs or leader epochs
      // may differ.
      if (random_.Chance(0.5))
        indices = {indices.front(), static_cast<int>(machine.sent_heartbeats.size()) - 1};
      std::vector<int> with_ended_tasks;
      for (std::size_t i = 0; i < machine.sent_heartbeats.size(); ++i)
        if (machine.sent_heartbeats[i].find("\"ended\"") != std::string::npos)
          with_ended_tasks.push_back(static_cast<int>(i));
      if (!with_ended_tasks.empty() && random_.Chance(0.5))
        indices = {with_ended_tasks[static_cast<std::size_t>(
            random_.Below(static_cast<int>(with_ended_tasks.size())))]};
      if (random_.Chance(0.8)) std::sort(indices.begin(), indices.end());
      for (const int i : indices)
        for (const std::string& label : labels_)
          cluster_.RepeatHeartbeat(machine.sent_heartbeats[static_cast<std::size_t>(i)], label);
    }
  };
}

SeedRun::Machine& SeedRun::RandomMachine() {
  return *std::next(cluster_.machines.begin(),
                    random_.Below(static_cast<int>(cluster_.machines.size())));
}

const char* SeedRun::Describe(Disconnection disconnection) {
  switch (disconnection) {
    case Disconnection::kReceivesNothing:
      return " receives nothing";
    case Disconnection::kSendsNothing:
      return " sends nothing";
    case Disconnection::kPartitioned:
      return " is partitioned";
  }
  return "";
}

void SeedRun::Disconnect(Seconds from, Seconds length, Machine& machine,
                         Disconnection disconnection) {
  InjectAfter(from, machine.worker.id().value + Describe(disconnection), [&machine, disconnection] {
    (disconnection == Disconnection::kReceivesNothing ? machine.receives_nothing
     : disconnection == Disconnection::kSendsNothing  ? machine.sends_nothing
                                                      : machine.partitioned) = true;
  });
  InjectAfter(from + length, machine.worker.id().value + " is reachable again", [&machine] {
    machine.receives_nothing = machine.sends_nothing = machine.partitioned = false;
  });
}

Seconds SeedRun::RandomDurationNearLease() {
  static constexpr std::array<double, 6> kTimes{0.8, 1, 1.1, 1.2, 1.4, 2};
  return kTimes.at(static_cast<std::size_t>(random_.Below(6))) * kTestLease;
}

void SeedRun::KillMachine(Seconds from, Machine& machine) {
  RecordFault("machine failed");
  InjectAfter(from, machine.worker.id().value + " fails", [this, &machine] {
    if (machine.removed || &machine == &cluster_.machines.front()) return;  // this one never fails
    machine.removed = true;
    machine.died = cluster_.now;
  });
}

void SeedRun::RestartWorker(Seconds from, Machine& machine, bool loses_state) {
  RecordFault("worker restart");
  InjectAfter(from,
              machine.worker.id().value +
                  (loses_state ? " restarts without its state" : " restarts without its tasks"),
              [this, &machine, loses_state] {
                if (machine.removed) return;
                machine.worker.Restart(loses_state);
                machine.lost_state |= loses_state;
                machine.awaiting_response = false;
                ++machine.generation;
                machine.lease_renewed = cluster_.now;
              });
}

void SeedRun::SubmitManySmallJobs(Seconds from) {
  RecordFault("many small jobs");
  for (int i = 0; i < 25; ++i)
    cluster_.ScheduleAfter(from + Seconds{0.25 * i}, [this, job = "j-" + std::to_string(100 + i)] {
      job_sizes_[job] = 1;
      Submit(job);
      if (random_.Chance(0.25)) cancel_at_[job] = cluster_.now + random_.Duration(0, 5);
    });
}

void SeedRun::SendPreemptionNotice(Seconds from, Machine& machine) {
  RecordFault("preemption notice");
  InjectAfter(from, machine.worker.id().value + " gets a preemption notice", [this, &machine] {
    machine.worker.SetPreemptionNotice({25});
    cluster_.OnWorkerChanged(machine);
  });
  if (random_.Chance(0.5))
    KillMachine(from + Seconds{25}, machine);
  else
    InjectAfter(from + random_.Duration(2, 20),
                machine.worker.id().value + " keeps running: preemption notice withdrawn",
                [this, &machine] {
                  machine.worker.ClearPreemptionNotice();
                  cluster_.OnWorkerChanged(machine);
                });
}

void SeedRun::RestartAllControllers(Seconds from) {
  RecordFault("all controllers crash");
  for (const std::string& label : labels_) {
    const Seconds delay = random_.Duration(0, 2);
    const Seconds downtime = random_.Chance(0.3) ? 1.3 * kTestLease : random_.Duration(0, 7);
    RestartController(from + delay, downtime, label);
  }
}

void SeedRun::SlowHeartbeats(Seconds from, Seconds length, Machine& machine) {
  RecordFault("slow heartbeats");
  InjectAfter(from, "heartbeats of a machine become slow",
              [&machine] { machine.slow_heartbeats = true; });
  InjectAfter(from + length, "heartbeats of the machine are fast again",
              [&machine] { machine.slow_heartbeats = false; });
}

void SeedRun::PartitionZoneMachines(Seconds from) {
  RecordFault("zone partition");
  const std::string zone = random_.Chance(0.5) ? "a" : "b";
  const Seconds length = RandomDurationNearLease();
  for (Machine& machine : cluster_.machines)
    if (machine.worker.zone() == zone)
      Disconnect(from, length, machine, Disconnection::kPartitioned);
}

void SeedRun::RateLimitStoreCalls(Seconds from, Seconds length) {
  RecordFault("rate limiting");
  InjectAfter(from, "key-value store rate limits 30 % of the calls", [this] {
    for (auto& [label, controller] : cluster_.controllers)
      controller->store.rate_limited = [this] { return random_.Chance(0.3); };
  });
  InjectAfter(from + length, "key-value store no longer rate limits calls", [this] {
    for (auto& [label, controller] : cluster_.controllers)
      controller->store.rate_limited = [] { return false; };
  });
}

void SeedRun::SlowDownStore(Seconds from, Seconds length) {
  RecordFault("slow store");
  InjectAfter(from, "key-value store is slow", [this] { slow_call_rate_ = 0.5; });
  InjectAfter(from + length, "key-value store is fast again", [this] { slow_call_rate_ = 0; });
}

void SeedRun::LoseWriteResponses(Seconds from, Seconds length) {
  RecordFault("write responses lost");
  InjectAfter(from, "responses to writes are lost", [this] { lost_response_rate_ = 0.5; });
  InjectAfter(from + length, "responses to writes are no longer lost",
              [this] { lost_response_rate_ = 0; });
}

void SeedRun::CancelWhileMachinesUnreachable(Seconds from, Seconds length) {
  RecordFault("cancelled while machines unreachable");
  InjectAfter(from, "users cancel jobs and machines become unreachable", [this, length] {
    cancel_at_["j-3"] = cancel_at_["j-6"] = cancel_at_["j-10"] = cluster_.now;
    for (Machine& machine : cluster_.machines)
      if (random_.Chance(0.4)) Disconnect({}, length, machine, Disconnection::kPartitioned);
  });
}

}  // namespace magpie::testing
