// Combinations of faults, selected by the seed.
#include <algorithm>

#include "seed_run.h"

namespace magpie::testing {

void SeedRun::ScheduleRandomFaults() {
  switch (random_.Below(13)) {
    case 8:
      DeposeLeaderKeepingWorkers();
      break;
    case 9:
      SendPreemptionNoticesDuringSlowHeartbeats();
      break;
    case 10:
      RefuseAllControllers();
      break;
    case 5:
      FailTasksQuickly();
      break;
    case 6:
      RestartWorkers();
      break;
    case 4: {
      const Seconds start = random_.Duration(2, 25);
      PartitionZone(start, random_.Duration(25, 70));
      break;
    }
    case 0:
      RefuseLeaderThenStartOutage();
      break;
    case 1:
    case 7:
      LoseLeasesThenSendStaleHeartbeats();
      break;
    case 2:
    case 11:
      ForgetOutcomesThenSendStaleHeartbeats();
      break;
    case 3:
      DelayCommandsWhileLeadersChange();
      break;
    default:
      break;
  }
  for (int i = random_.Between(1, 5); i > 0; --i) ScheduleRandomFault();
  // Drawn last, so that the other faults of a seed do not depend on it.
  if (random_.Chance(0.2)) RepeatCommandsWhileProcessesRestart();
  if (random_.Chance(0.1)) {
    const Seconds start = random_.Duration(0, 60);
    const Seconds length = random_.Duration(5, 60);
    RepeatCommands(start, length, random_.Duration(0.1, 0.6).value);
  }
  if (random_.Chance(0.2)) RestartWorkersDuringElection();
  if (random_.Chance(0.2)) RepeatHeartbeatsDuringPreemptionNotices();
  if (random_.Chance(0.2)) DelayWritesWhileLeadersChange();
}

void SeedRun::RestartWorkersDuringElection() {
  RecordFault("worker restart during election");
  task_failure_rate_ = std::max(task_failure_rate_, 0.3);
  RepeatCommands({}, {90}, 1);
  Seconds start = random_.Duration(5, 15);
  for (int round = 0; round < 4; ++round) {
    RestartLeader(start, [] { return kTestLeaderLease; });
    for (Machine& machine : cluster_.machines)
      if (random_.Chance(0.7)) {
        const Seconds delay = random_.Duration(0, 1);
        RestartWorker(start + delay, machine, true);
      }
    start = start + random_.Duration(12, 22);
  }
}

void SeedRun::RepeatHeartbeatsDuringPreemptionNotices() {
  const Seconds start = random_.Duration(2, 15);
  RepeatHeartbeats(start, {60});
  for (Machine& machine : cluster_.machines)
    for (int notices = 2; notices > 0; --notices)
      if (random_.Chance(0.7)) {
        const Seconds delay = random_.Duration(5, 60);
        SendPreemptionNotice(start + delay, machine);
      }
}

void SeedRun::DelayWritesWhileLeadersChange() {
  RecordFault("late writes");
  const Seconds start = random_.Duration(2, 15);
  for (int i = 0; i < 20; ++i) {
    const Seconds delay = random_.Duration(0, 60);
    const Seconds lag = random_.Duration(2, 12);
    InjectAfter(start + delay, "the next write commits late", [this, lag] {
      if (cluster_.store.outage) return;
      cluster_.store.next_commit = FakeStore::Fault::kCommitLate;
      cluster_.ScheduleAfter(lag, [this] {
        if (cluster_.store.has_delayed_transactions()) cluster_.store.DeliverDelayed();
      });
    });
  }
  for (int i = 0; i < 4; ++i) {
    const Seconds delay = random_.Duration(0, 60);
    RestartLeader(start + delay);
  }
}

void SeedRun::RepeatCommandsWhileProcessesRestart() {
  const Seconds start = random_.Duration(0, 25);
  task_failure_rate_ = std::max(task_failure_rate_, random_.Chance(0.5) ? 0.03 : 0.1);
  RepeatCommands(start, random_.Duration(20, 60), 0.4);
  for (int i = random_.Below(4); i > 0; --i) RestartLeader(start + random_.Duration(1, 60));
  for (int i = random_.Below(3); i > 0; --i) {
    const Seconds delay = random_.Duration(1, 60);
    Machine& machine = RandomMachine();
    RestartWorker(start + delay, machine, random_.Chance(0.5));
  }
}

void SeedRun::RefuseLeaderThenStartOutage() {
  const Seconds start = random_.Duration(2, 10);
  const std::string leader = cluster_.Leader();
  if (leader.empty()) return;
  RefuseStoreCalls(start, random_.Duration(20, 80), leader);
  const Seconds delay = random_.Duration(0.2, 6);
  ScheduleOutage(start + delay, random_.Duration(31, 65));
  if (random_.Chance(0.4))
    for (const std::string& other : labels_)
      if (other != leader && random_.Chance(0.7)) {
        PartitionControllers(start, {70}, leader, other);
        if (random_.Chance(0.7)) PartitionControllers(start, {70}, other, leader);
      }
  if (random_.Chance(0.5)) {
    const Seconds crash = start + random_.Duration(1, 7);
    const Seconds downtime = random_.Duration(0, 4);
    RestartController(crash, downtime, random_.Pick(labels_));
  }
}

void SeedRun::LoseLeasesThenSendStaleHeartbeats() {
  RecordFault("disconnected for about a lease");
  SendStaleHeartbeats();
  const Seconds start = random_.Duration(1, 25);
  const Seconds reconnect = start + random_.Duration(1.02, 1.3).value * kTestLease;
  const Seconds end = reconnect + random_.Duration(1.5, 5);
  const auto disconnection = static_cast<Disconnection>(random_.Below(3));
  for (Machine& machine : cluster_.machines)
    if (random_.Chance(0.6)) {
      Disconnect(start, reconnect - start, machine, disconnection);
      // Disconnects it again, so that it receives nothing from the next leader.
      if (random_.Chance(0.7)) {
        const Seconds from = end - random_.Duration(0, 0.5);
        Disconnect(from, random_.Duration(5, 14), machine, Disconnection::kReceivesNothing);
      }
    }
  DelayCommands(reconnect - Seconds{0.5}, {8}, 30);
  RestartLeader(end);
  if (random_.Chance(0.5)) RestartLeader(end + random_.Duration(1, 10));
}

void SeedRun::ForgetOutcomesThenSendStaleHeartbeats() {
  RecordFault("forgotten outcomes");
  SendStaleHeartbeats();
  task_failure_rate_ = 0.1;
  Seconds start = random_.Duration(1, 10);
  for (int i = 0; i < 6; ++i) {
    if (random_.Chance(0.6))
      RefuseLeaderStoreCalls(start, random_.Duration(4, 8));
    else
      RestartLeader(start);
    start = start + random_.Duration(2, 12);
  }
}

void SeedRun::DelayCommandsWhileLeadersChange() {
  RecordFault("leaders restart");
  const Seconds start = random_.Duration(0, 20);
  task_failure_rate_ = 0.06;
  const Seconds length = random_.Duration(10, 40);
  DelayCommands(start, length, random_.Chance(0.5) ? 10 : 60);
  for (Machine& machine : cluster_.machines)
    if (random_.Chance(0.5)) {
      const Seconds delay = random_.Duration(0, 10);
      Disconnect(start + delay, random_.Duration(3, 30), machine, Disconnection::kReceivesNothing);
    }
  for (int i = 0; i < 4; ++i) RestartLeader(start + random_.Duration(0, 40));
}

void SeedRun::FailTasksQuickly() {
  RecordFault("rapid task failures");
  const Seconds start = random_.Duration(0, 20);
  task_failure_rate_ = 0.6;
  DelayCommands(start, {30}, 5);
  InjectAfter(start + Seconds{30}, "tasks no longer fail shortly after their start",
              [this] { task_failure_rate_ = 0.02; });
  if (random_.Chance(0.5)) RestartLeader(start + random_.Duration(0, 30));
}

void SeedRun::RestartWorkers() {
  const Seconds start = random_.Duration(0, 30);
  DelayCommands(start, {12}, 20);
  task_failure_rate_ = 0.1;
  for (int round = 0; round < 2; ++round)
    for (Machine& machine : cluster_.machines)
      if (random_.Chance(0.6)) {
        const Seconds delay = random_.Duration(0, 25);
        RestartWorker(start + delay, machine, random_.Chance(0.7));
      }
}

void SeedRun::DeposeLeaderKeepingWorkers() {
  RecordFault("leader deposed with workers");
  const Seconds start = random_.Duration(2, 25);
  task_failure_rate_ = 0.2;
  DelayCommands(start, {8}, 16);
  InjectAfter(start, "most workers send heartbeats to the leader", [this] {
    const auto leader = std::find(labels_.begin(), labels_.end(), cluster_.Leader());
    if (leader == labels_.end()) return;
    for (Machine& machine : cluster_.machines)
      if (random_.Chance(0.8))
        machine.destination = static_cast<std::size_t>(leader - labels_.begin());
  });
  const Seconds delay = random_.Duration(1, 4);
  RefuseLeaderStoreCalls(start + delay, random_.Duration(15, 40));
  for (Machine& machine : cluster_.machines) {
    if (random_.Chance(0.4)) SendPreemptionNotice(start + random_.Duration(3, 16), machine);
    if (random_.Chance(0.4)) {
      const Seconds from = start + random_.Duration(0, 3);
      Disconnect(from, random_.Duration(3, 9), machine, Disconnection::kSendsNothing);
    }
  }
}

void SeedRun::SendPreemptionNoticesDuringSlowHeartbeats() {
  RecordFault("slow heartbeats");
  const Seconds start = random_.Duration(2, 25);
  task_failure_rate_ = 0.2;
  InjectAfter(start, "heartbeats of most machines become slow", [this] {
    for (Machine& machine : cluster_.machines) machine.slow_heartbeats |= random_.Chance(0.7);
  });
  for (int round = 0; round < 2; ++round)
    for (Machine& machine : cluster_.machines)
      if (random_.Chance(0.6)) SendPreemptionNotice(start + random_.Duration(2, 40), machine);
}

void SeedRun::RefuseAllControllers() {
  RecordFault("all controllers refused");
  for (int k = 0; k < 3; ++k) {
    const Seconds start = random_.Duration(2, 80);
    for (const std::string& label : labels_) RefuseStoreCalls(start, random_.Duration(4, 9), label);
  }
}

void SeedRun::PartitionZone(Seconds from, Seconds length) {
  RecordFault("zone partitioned with controller");
  task_failure_rate_ = 0.1;
  const std::string inside_controller = random_.Pick(labels_);
  const std::string zone = random_.Chance(0.5) ? "a" : "b";
  if (random_.Chance(0.5)) DelayCommands(from + random_.Duration(-3, 0), {6}, 60);
  InjectAfter(from, "zone " + zone + " is partitioned with controller " + inside_controller,
              [=, this] {
                for (Machine& machine : cluster_.machines)
                  if (machine.worker.zone() == zone)
                    machine.only_reachable_from = inside_controller;
                for (const char* job : {"j-3", "j-5", "j-6", "j-8", "j-10"})
                  if (random_.Chance(0.5)) cancel_at_[job] = cluster_.now + random_.Duration(-2, 3);
              });
  // Messages in both directions stop at about the same time.
  RefuseStoreCalls(from + random_.Duration(0, 2), length, inside_controller);
  for (const std::string& other : labels_)
    if (other != inside_controller) {
      PartitionControllers(from + random_.Duration(0, 4), length, inside_controller, other);
      PartitionControllers(from + random_.Duration(0, 4), length, other, inside_controller);
    }
  if (random_.Chance(0.5)) {
    const Seconds crash = from + random_.Duration(-1, 6);
    RestartController(crash, random_.Duration(0, 1), inside_controller);
  }
  InjectAfter(from + length, "partition of zone " + zone + " ends", [this] {
    for (Machine& machine : cluster_.machines) machine.only_reachable_from.clear();
  });
}

void SeedRun::ScheduleRandomFault() {
  const Seconds start = random_.Duration(0, 60);
  const Seconds length = random_.Duration(0.5, 60);
  const std::string a = random_.Pick(labels_);
  const std::string b = random_.Pick(labels_);
  Machine& machine = RandomMachine();
  switch (random_.Below(25)) {
    case 0:
      return RefuseStoreCalls(start, length, a);
    case 1:
      return ScheduleOutage(start, length);
    case 2:
      PartitionControllers(start, length, a, b);
      if (random_.Chance(0.6)) PartitionControllers(start, length, b, a);
      return;
    case 3:
      return RestartController(start, random_.Duration(0, 8), a);
    case 4:
      return RestartAllControllers(start);
    case 5:
      return PauseController(start, length, a);
    case 6:
      RecordFault("receives nothing");
      return Disconnect(start, length, machine, Disconnection::kReceivesNothing);
    case 7:
      return SlowHeartbeats(start, length, machine);
    case 8:
      return RepeatHeartbeats(start, length);
    case 9:
      RecordFault("leaders restart");
      for (int k = 0; k < 4; ++k) RestartLeader(start + random_.Duration(0, 30));
      return;
    case 10:
      return DelayCommands(start, length, random_.Duration(2, 60).value);
    case 11:
      return KillMachine(start, machine);
    case 12:
      return PartitionZoneMachines(start);
    case 13:
      RecordFault("sends nothing");
      return Disconnect(start, RandomDurationNearLease(), machine, Disconnection::kSendsNothing);
    case 14:
      return RateLimitStoreCalls(start, length);
    case 15:
      return SlowDownStore(start, length);
    case 16:
      return LoseWriteResponses(start, length);
    case 17:
      return SendStaleHeartbeats();
    case 18:
      return RestartWorker(start, machine, random_.Chance(0.6));
    case 19:
      return SendPreemptionNotice(start, machine);
    case 20:
      return SubmitManySmallJobs(start);
    case 21:
      RecordFault("ten leader changes");
      for (int k = 0; k < 10; ++k) RestartLeader(Seconds{9.0 * k} + random_.Duration(0, 4));
      return;
    case 22:
      return CancelWhileMachinesUnreachable(start, length);
    case 24:
      return PartitionZone(start, random_.Duration(25, 70));
    default:
      RecordFault("pauses");
      for (int k = 0; k < 5; ++k) {
        const Seconds pause = random_.Duration(0, 90);
        const Seconds pause_length = random_.Duration(0.2, 8);
        PauseController(pause, pause_length, random_.Pick(labels_));
      }
      return;
  }
}

}  // namespace magpie::testing
