// Scenarios in which leaders change while other faults last.
#include "fault_scenarios.h"

namespace magpie::testing {

// Reports of before, one or several of each machine, are what every controller hears first
// as a new leader begins.
void StaleHeartbeatsAtAllControllersDuringTakeover(ScenarioCluster& cluster) {
  cluster.job_overrides["j-10"] = [](JobSpec& spec) { spec.team = "blue"; };
  ASSERT_TRUE(cluster.Submit("j-10", 4, "n0"));
  cluster.Run(6);
  for (int round = 0; round < 6; ++round) {
    std::vector<std::string> stale_heartbeats;
    for (const auto& m : cluster.machines)
      stale_heartbeats.push_back(
          m.sent_heartbeats[m.sent_heartbeats.size() > 5 ? m.sent_heartbeats.size() - 5 : 0]);
    if (round % 2 == 0) cluster.CompleteAllTasks(round == 0 ? "j-1" : "j-2");
    if (round % 3 == 1) cluster.ForEachMachine("a", [](auto& m) { m.worker.ExpireLease(); });
    cluster.Run(2);
    for (const auto& m : cluster.machines) stale_heartbeats.push_back(m.sent_heartbeats.back());
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

// A report on its way to a controller that ends is heard by the next leader, once it has acted.
void HeartbeatDelayedUntilNewLeaderActed(ScenarioCluster& cluster) {
  for (int round = 0; round < 4; ++round) {
    const std::string former_leader = cluster.Leader();
    const std::string next_leader = cluster.Follower();
    cluster.repeat_heartbeat = [&] {
      return std::optional(std::pair(cluster.now + Seconds{6.0 + 5 * round}, next_leader));
    };
    cluster.Run(3);
    cluster.repeat_heartbeat = [] { return std::nullopt; };
    for (auto& m : cluster.machines)
      if (round % 2 == 1) m.worker.End({{"j-1"}, 0}, ExitReason::kError);
    cluster.StopController(former_leader);
    cluster.Run(24);
    cluster.StartController(former_leader);
    cluster.Run(2);
  }
}

// Ten changes in two minutes, by ends and by refusals; then within an outage, where nobody can
// be elected and all but the leases must outlast it.
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

// Longer than a lease there is nobody. Every task is killed, and all begins again.
void AllControllersDownBeyondLease(ScenarioCluster& cluster) {
  ASSERT_EQ(cluster.Cancel("j-2", "n0"), "withdrawn");
  for (const std::string& label : cluster.labels) cluster.StopController(label);
  cluster.Run(static_cast<int>(kTestLease.value) + 6);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  for (const std::string& label : cluster.labels) cluster.StartController(label);
  cluster.Run(12);
  cluster.PollAllControllers("j-2");
}

// A leader's commands are held up, and arrive when it has ended, or was deposed and lives, and
// the next one has given commands of its own.
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

// One controller's work goes to another, and back, and jobs are cancelled in each of these
// seconds, through each controller.
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

// The lead goes over and back, then all end within a second, and one returns before the others.
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

// The three tasks of a job end far apart: before, between and after two leaders.
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

// The leader ends while machines with long tasks are cut off, and others hear nothing of the
// next one: first for less than a lease, then for more.
void LeaderCrashesWhileMachinesUnreachable(ScenarioCluster& cluster) {
  ASSERT_TRUE(cluster.Submit("j-10", 8, "n0"));
  cluster.Run(6);
  ASSERT_EQ(cluster.LiveTasks("j-10"), 8U);
  for (const int disconnected_s : {8, 30}) {
    const int leases_lost = cluster.LeasesLost();
    int number = 0;
    for (auto& m : cluster.machines)
      (++number % 2 == 0 ? m.partitioned : m.receives_nothing) = true;
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

// Machines are there within a second and get work at once, while each write lags, and the
// leader ends before or after its bindings land.
void FastBootsWithLateWritesAndLeaderCrash(ScenarioCluster& cluster) {
  const auto lag = [&](int seconds) {
    cluster.store.next_commit = FakeStore::Fault::kCommitLate;
    cluster.late_writes.push_back(cluster.now + Seconds{1.0 * seconds});
  };
  for (int round = 0; round < 8; ++round) {
    const std::string job = "j-2" + std::to_string(round);
    ASSERT_TRUE(cluster.Submit(job, 2, cluster.Follower()));
    cluster.machines_per_zone["a"] = cluster.machines_per_zone["b"] = 2 + round % 3;
    lag(3 + round);
    cluster.Run(1);
    lag(2 + round % 4);
    cluster.Run(round % 4);
    const std::string leader = cluster.Leader();
    cluster.StopController(leader);
    cluster.Run(1);
    lag(5);
    cluster.Run(8);
    cluster.StartController(leader);
    cluster.Run(8);
    cluster.CompleteAllTasks(job);
  }
}

}  // namespace magpie::testing
