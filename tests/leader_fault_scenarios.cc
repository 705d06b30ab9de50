// Fault scenarios in which the leader changes during other faults.
#include "fault_scenarios.h"

namespace magpie::testing {

// While a new leader takes over, all running controllers repeatedly receive two earlier heartbeats
// of each machine.
void StaleHeartbeatsAtAllControllersDuringTakeover(ScenarioCluster& cluster) {
  cluster.job_overrides["j-10"] = [](JobSpec& spec) { spec.team = "blue"; };
  ASSERT_TRUE(cluster.Submit("j-10", 4, "n0"));
  cluster.Run(6);
  for (int round = 0; round < 6; ++round) {
    std::vector<std::string> stale_heartbeats;
    for (const auto& machine : cluster.machines)
      stale_heartbeats.push_back(machine.sent_heartbeats[machine.sent_heartbeats.size() > 5
                                                             ? machine.sent_heartbeats.size() - 5
                                                             : 0]);
    if (round % 2 == 0) cluster.CompleteAllTasks(round == 0 ? "j-1" : "j-2");
    if (round % 3 == 1)
      cluster.ForEachMachine("a", [](auto& machine) { machine.worker.ExpireLease(); });
    cluster.Run(2);
    for (const auto& machine : cluster.machines)
      stale_heartbeats.push_back(machine.sent_heartbeats.back());
    cluster.StopController(cluster.Leader());
    for (int i = 0; i < 9; ++i) {
      for (const std::string& label : cluster.labels)
        for (const std::string& body : stale_heartbeats)
          if (cluster.IsUp(label))
            cluster.controllers.at(label)->heartbeat_handler.Handle(
                body, i % 2 == 1 ? HeartbeatRoute::kRelayed : HeartbeatRoute::kDirect);
      cluster.Run(1);
    }
    for (const std::string& label : cluster.labels)
      if (!cluster.controllers.contains(label)) cluster.StartController(label);
    cluster.Run(4);
  }
}

// Copies of heartbeats sent before the leader crashes reach another controller at least 6 s after
// they were sent, when the next leader has taken over or is about to.
void HeartbeatDelayedUntilNewLeaderActed(ScenarioCluster& cluster) {
  for (int round = 0; round < 4; ++round) {
    const std::string former_leader = cluster.Leader();
    const std::string next_leader = cluster.Follower();
    cluster.repeat_heartbeat = [&] {
      return std::optional(std::pair(cluster.now + Seconds{6.0 + 5 * round}, next_leader));
    };
    cluster.Run(3);
    cluster.repeat_heartbeat = [] { return std::nullopt; };
    for (auto& machine : cluster.machines)
      if (round % 2 == 1) machine.worker.End({{"j-1"}, 0}, ExitReason::kError);
    cluster.StopController(former_leader);
    cluster.Run(24);
    cluster.StartController(former_leader);
    cluster.Run(2);
  }
}

// The leader changes ten times in two minutes, because it crashes or the key-value store refuses
// its calls. Controllers then restart during an outage, in which no leader can be elected; all
// state except leases must survive the outage.
void TenLeaderChangesInTwoMinutes(ScenarioCluster& cluster) {
  int changes = 0;
  std::string last = cluster.Leader();
  const auto count_change = [&] {
    if (!cluster.Leader().empty() && std::exchange(last, cluster.Leader()) != cluster.Leader())
      ++changes;
  };
  for (int i = 0; i < 12; ++i) {
    const std::string leader = cluster.Leader();
    const bool refused = i % 3 == 2;
    if (refused)
      cluster.controllers.at(leader)->store.refused = true;
    else
      cluster.StopController(leader);
    cluster.SubmitAndPoll("j-3" + std::to_string(i), 1, cluster.Follower());
    if (i % 4 == 1) cluster.CancelWithin("j-30", 2);
    cluster.Run(9);
    count_change();
    if (refused)
      cluster.controllers.at(leader)->store.refused = false;
    else
      cluster.StartController(leader);
    cluster.Run(1);
    count_change();
    if (i > 1) cluster.CompleteAllTasks("j-3" + std::to_string(i - 2));
  }
  EXPECT_GE(changes, 10);
  cluster.store.outage = true;
  for (int i = 0; i < 10; ++i) {
    cluster.Run(6);
    cluster.StopController(cluster.labels[static_cast<std::size_t>(i) % 3]);
    cluster.StartController(cluster.labels[static_cast<std::size_t>(i) % 3]);
  }
}

// All controllers are down for longer than a lease. Workers must kill all tasks, which then start
// again.
void AllControllersDownBeyondLease(ScenarioCluster& cluster) {
  ASSERT_EQ(cluster.Cancel("j-2", "n0"), "withdrawn");
  for (const std::string& label : cluster.labels) cluster.StopController(label);
  cluster.Run(static_cast<int>(kTestLease.value) + 6);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  for (const std::string& label : cluster.labels) cluster.StartController(label);
  cluster.Run(12);
  cluster.PollAllControllers("j-2");
}

// Commands of a leader that crashed or lost the leadership arrive after those of the next leader.
void LateCommandFromFormerLeader(ScenarioCluster& cluster) {
  for (int round = 0; round < 6; ++round) {
    const std::string job = "j-2" + std::to_string(round);
    const std::string leader = cluster.Leader();
    const int delay_s = 6 + 2 * round;
    cluster.delay_command = [&cluster, delay_s] {
      return std::optional(cluster.now + Seconds{1.0 * delay_s});
    };
    ASSERT_TRUE(cluster.Submit(job, 2, cluster.Follower()));
    cluster.Run(1);
    if (round % 2 == 0)
      cluster.StopController(leader);
    else
      cluster.controllers.at(leader)->store.refused = true;
    cluster.delay_command = [] { return std::nullopt; };
    cluster.Run(7);
    if (round % 3 == 0) cluster.CancelWithin(job, 3);
    cluster.Run(12);
    if (round % 2 == 0)
      cluster.StartController(leader);
    else
      cluster.controllers.at(leader)->store.refused = false;
    cluster.Run(6);
    cluster.CompleteAllTasks(job);
    cluster.Run(4);
  }
}

// Users cancel jobs through all controllers at different times after a change of leader.
void CancellationDuringHandover(ScenarioCluster& cluster) {
  for (int second = 0; second < 8; ++second) {
    const std::string job = "j-2" + std::to_string(second);
    const std::string leader = cluster.Leader();
    ASSERT_TRUE(cluster.Submit(job, 2, leader));
    cluster.Run(5);
    ASSERT_EQ(cluster.LiveTasks(job), 2U);
    if (second % 2 == 0)
      cluster.StopController(leader);
    else
      cluster.controllers.at(leader)->election.Resign();
    cluster.Run(second);
    EXPECT_TRUE(cluster.CancelWithin(job, 30));
    if (!cluster.controllers.contains(leader)) cluster.StartController(leader);
    cluster.Run(4);
  }
}

// The leadership alternates, then all controllers crash and one restarts before the others.
void LeadershipAlternatesThenAllControllersCrash(ScenarioCluster& cluster) {
  for (int round = 0; round < 4; ++round) {
    const std::string job = "j-2" + std::to_string(round);
    ASSERT_TRUE(cluster.Submit(job, 2, cluster.Follower()));
    for (int i = 0; i < 4; ++i) {
      const std::string leader = cluster.Leader();
      if (!leader.empty()) cluster.controllers.at(leader)->election.Resign();
      cluster.Run(round % 2);
    }
    for (const std::string& label : cluster.labels) cluster.StopController(label);
    cluster.Run(round);
    cluster.StartController(cluster.labels[static_cast<std::size_t>(round) % 3]);
    cluster.Run(round + 2);
    for (const std::string& label : cluster.labels)
      if (!cluster.controllers.contains(label)) cluster.StartController(label);
    cluster.Run(6);
    cluster.CancelAndPoll(job, cluster.Follower());
  }
}

// The three tasks of a job end under different leaders.
void TasksEndUnderDifferentLeaders(ScenarioCluster& cluster) {
  for (int round = 0; round < 3; ++round) {
    const std::string job = "j-2" + std::to_string(round);
    ASSERT_TRUE(cluster.Submit(job, 3, "n0"));
    cluster.Run(6);
    for (std::uint32_t i = 0; i < 3; ++i) {
      const std::string leader = cluster.Leader();
      if (round == 1) cluster.StopController(leader);
      cluster.CompleteTask({{job}, i});
      cluster.Run(round);
      if (round != 1) cluster.StopController(leader);
      cluster.Run(7);
      cluster.StartController(leader);
      cluster.PollAllControllers(job);
      cluster.Run(12);
    }
    for (const std::string& label : cluster.labels) EXPECT_EQ(cluster.Poll(job, label), "done");
  }
}

// The leader crashes while half of the machines are partitioned and the others receive nothing,
// first for less than a lease, then for longer.
void LeaderCrashesWhileMachinesUnreachable(ScenarioCluster& cluster) {
  ASSERT_TRUE(cluster.Submit("j-10", 8, "n0"));
  cluster.Run(6);
  ASSERT_EQ(cluster.LiveTasks("j-10"), 8U);
  for (const int disconnected_s : {8, 30}) {
    const int leases_lost = cluster.LeasesLost();
    int number = 0;
    for (auto& machine : cluster.machines)
      (++number % 2 == 0 ? machine.partitioned : machine.receives_nothing) = true;
    const std::string leader = cluster.Leader();
    cluster.StopController(leader);
    cluster.Run(disconnected_s);
    cluster.ClearFaults();
    cluster.Run(6);
    if (disconnected_s < kTestLease.value) {
      EXPECT_EQ(cluster.LeasesLost(), leases_lost);
    }
  }
}

// Machines boot within a second and receive tasks immediately while writes commit late, and the
// leader crashes before or after its bindings are committed.
void FastBootsWithLateWritesAndLeaderCrash(ScenarioCluster& cluster) {
  const auto delay_next_write = [&](int seconds) {
    cluster.store.next_commit = FakeStore::Fault::kCommitLate;
    cluster.late_writes.push_back(cluster.now + Seconds{1.0 * seconds});
  };
  for (int round = 0; round < 8; ++round) {
    const std::string job = "j-2" + std::to_string(round);
    ASSERT_TRUE(cluster.Submit(job, 2, cluster.Follower()));
    cluster.machines_per_zone["a"] = cluster.machines_per_zone["b"] = 2 + round % 3;
    delay_next_write(3 + round);
    cluster.Run(1);
    delay_next_write(2 + round % 4);
    cluster.Run(round % 4);
    const std::string leader = cluster.Leader();
    cluster.StopController(leader);
    cluster.Run(1);
    delay_next_write(5);
    cluster.Run(8);
    cluster.StartController(leader);
    cluster.Run(8);
    cluster.CompleteAllTasks(job);
  }
}

}  // namespace magpie::testing
