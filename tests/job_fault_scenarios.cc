// Fault scenarios that concern jobs, machines and users.
#include "fault_scenarios.h"

namespace magpie::testing {

// An array job and a service restricted to zone a lose one of its machines, then the other. Their
// tasks must run only in that zone and wait while it has no machine.
void ZoneBoundJobsLoseMachines(ScenarioCluster& cluster) {
  cluster.RestrictToZone("j-10", "a");
  cluster.job_overrides["j-11"] = [](JobSpec& spec) {
    spec.zone.emplace("a");
    spec.kind = JobKind::kService;
  };
  ASSERT_TRUE(cluster.Submit("j-10", 2, "n0"));
  ASSERT_TRUE(cluster.Submit("j-11", 2, "n2"));
  cluster.Run(5);
  ASSERT_EQ(cluster.LiveTasks("j-10") + cluster.LiveTasks("j-11"), 4U);
  cluster.machines_per_zone["a"] = 0;
  cluster.KillMachine(cluster.MachineAt(0));
  cluster.Run(50);
  EXPECT_EQ(cluster.LiveTasks("j-10") + cluster.LiveTasks("j-11"), 4U)
      << "all tasks must run on the remaining machine";
  cluster.ForEachMachine("a",
                         [&](ScenarioCluster::Machine& machine) { cluster.KillMachine(machine); });
  cluster.RestartLeader();
  cluster.Run(60);
  EXPECT_EQ(cluster.LiveTasks("j-10") + cluster.LiveTasks("j-11"), 0U) << "the zone has no machine";
  cluster.PollAllControllers("j-10");
  cluster.machines_per_zone["a"] = 1;
}

// A job waits for a machine in its zone; other jobs of its team must not wait for it.
void ZoneWithoutMachinesDoesNotDelayOtherJobs(ScenarioCluster& cluster) {
  cluster.RestrictToZone("j-10", "a", "blue");
  cluster.job_overrides["j-11"] = [](JobSpec& spec) { spec.team = "blue"; };
  cluster.machines_per_zone["a"] = 0;
  cluster.ForEachMachine("a",
                         [&](ScenarioCluster::Machine& machine) { cluster.KillMachine(machine); });
  ASSERT_TRUE(cluster.Submit("j-10", 4, "n0"));
  cluster.Run(40);
  ASSERT_TRUE(cluster.Submit("j-11", 2, "n0"));
  cluster.Run(20);
  EXPECT_EQ(cluster.LiveTasks("j-11"), 2U) << "the team is below its limit";
  cluster.CompleteAllTasks("j-11");
  cluster.machines_per_zone["a"] = 1;
}

// Users poll all controllers around acceptance, completion and cancellation of jobs.
void PollsAllControllersAroundStateChanges(ScenarioCluster& cluster) {
  for (int i = 0; i < 6; ++i) {
    const std::string job = "j-2" + std::to_string(i);
    cluster.SubmitAndPoll(job, 1, cluster.labels[static_cast<std::size_t>(i) % 3]);
    if (i % 3 == 0) cluster.CancelAndPoll(job, cluster.labels[1]);  // immediately after acceptance
    for (int k = 0; k < 3; ++k) {
      cluster.Run(1);
      cluster.PollAllControllers(job);
    }
    if (i % 3 == 1) cluster.CompleteAllTasks(job);
    if (i % 3 == 2) {
      EXPECT_TRUE(cluster.CancelWithin(job, 5));
    }
    for (int k = 0; k < 5; ++k) {
      cluster.Run(1);
      cluster.PollAllControllers(job);
    }
    if (i % 3 == 1) {
      EXPECT_EQ(cluster.Poll(job, "n2"), "done");
    }
  }
}

// Users cancel, query and resubmit a job when its last task ends: before, during and after the
// heartbeat that reports it.
void CancellationWhenLastTaskEnds(ScenarioCluster& cluster) {
  for (int cancel_delay_s = 0; cancel_delay_s < 5; ++cancel_delay_s) {
    const std::string job = "j-2" + std::to_string(cancel_delay_s);
    ASSERT_TRUE(cluster.Submit(job, 2, "n0"));
    cluster.Run(6);
    ASSERT_EQ(cluster.LiveTasks(job), 2U);
    cluster.CompleteTask({{job}, 0});
    cluster.Run(4);
    cluster.CompleteTask({{job}, 1});
    for (int i = 0; i < cancel_delay_s; ++i) cluster.Run(1);
    for (const std::string& label : cluster.labels) cluster.CancelAndPoll(job, label);
    cluster.Run(6);
    cluster.PollAllControllers(job);
    const std::string state = cluster.Poll(job, "n0");
    EXPECT_TRUE(state == "done" || state == "withdrawn") << state;
    for (const std::string& label : cluster.labels) EXPECT_EQ(cluster.Poll(job, label), state);
  }
}

// Writes are committed but their responses are lost, while users read the new state.
void StoreResponseLostDuringReads(ScenarioCluster& cluster) {
  for (int i = 0; i < 8; ++i) {
    const std::string job = "j-2" + std::to_string(i);
    const auto lose_next_response = [&] {
      cluster.store.next_commit = FakeStore::Fault::kLoseResponse;
    };
    lose_next_response();
    cluster.SubmitAndPoll(job, 1, cluster.labels[static_cast<std::size_t>(i) % 3]);
    ASSERT_TRUE(cluster.jobs.contains(job)) << "the retry must find the job accepted";
    lose_next_response();  // to the write of the binding
    cluster.Run(1);
    cluster.PollAllControllers(job);
    cluster.Run(4);
    lose_next_response();  // to one of the cancellation's two writes or to that of the final record
    if (i % 2 == 0) {
      EXPECT_TRUE(cluster.CancelWithin(job, 4));
    } else {
      cluster.CompleteAllTasks(job);
    }
    for (int k = 0; k < 4; ++k) {
      lose_next_response();
      cluster.Run(1);
      cluster.PollAllControllers(job);
    }
  }
}

// A team's jobs are cancelled at its quota while their machines are unreachable and the leader
// changes. Further tasks must start only when the cancelled ones have certainly ended.
void CancellationAtQuotaOnUnreachableMachinesDuringTakeover(ScenarioCluster& cluster) {
  for (const char* job : {"j-10", "j-11", "j-12", "j-13"})
    cluster.job_overrides[job] = [](JobSpec& spec) { spec.team = "blue"; };
  ASSERT_TRUE(cluster.Submit("j-10", 2, "n0"));
  ASSERT_TRUE(cluster.Submit("j-11", 2, "n0"));
  ASSERT_TRUE(cluster.Submit("j-12", 2, "n0"));
  cluster.Run(6);
  ASSERT_EQ(cluster.LiveTasks("j-10") + cluster.LiveTasks("j-11") + cluster.LiveTasks("j-12"), 4U);
  for (auto& machine : cluster.machines)
    (machine.worker.zone() == "a" ? machine.partitioned : machine.receives_nothing) =
        machine.worker.HasLiveTask({{"j-10"}, 0}) || machine.worker.HasLiveTask({{"j-11"}, 1});
  cluster.CancelAndPoll("j-10", "n1");
  cluster.StopController(cluster.Leader());
  cluster.CancelAndPoll("j-11", cluster.Follower());
  cluster.Run(8);
  cluster.SubmitAndPoll("j-13", 2, cluster.Follower());
  cluster.RestartLeader();
  cluster.Run(30);
  EXPECT_TRUE(cluster.CancelWithin("j-10", 40));
  EXPECT_TRUE(cluster.CancelWithin("j-11", 40));
}

// A zone and a controller in it are partitioned for longer than a lease. The controller must keep
// the workers' leases, no task may run twice, and jobs cancelled outside must end in the zone too.
void ZoneWithControllerPartitionedBeyondLease(ScenarioCluster& cluster) {
  const std::string inside_controller = cluster.Follower();
  cluster.RestrictToZone("j-10", "b");
  ASSERT_TRUE(cluster.Submit("j-10", 2, "n0"));
  cluster.Run(6);
  const int leases_lost = cluster.LeasesLost();
  cluster.PartitionZone("b", inside_controller);
  for (int i = 0; i < 30; ++i) {
    cluster.StepInsidePartition("b", inside_controller);
    if (i == 10) {
      EXPECT_EQ(cluster.Cancel("j-10", cluster.Leader()), "") << "a peer is unreachable";
    }
  }
  EXPECT_EQ(cluster.LeasesLost(), leases_lost);
  cluster.HealZone("b", inside_controller);
  cluster.Run(5);
  EXPECT_TRUE(cluster.CancelWithin("j-10", 20));
}

// Machines cannot send heartbeats but receive commands and probes. Probe responses must not renew
// leases: the tasks of these machines end and start again on machines that send heartbeats.
void MachinesWithoutHeartbeatsLoseLeasesDespiteProbes(ScenarioCluster& cluster) {
  cluster.ForEachMachine("a", [](auto& machine) { machine.sends_nothing = true; });
  cluster.Run(30);
  EXPECT_EQ(
      cluster.MachineAt(0).worker.LiveTaskCount() + cluster.MachineAt(2).worker.LiveTaskCount(), 0U)
      << "no task may start on machines without a lease";
  EXPECT_EQ(cluster.LiveTasks("j-1") + cluster.LiveTasks("j-2"), 4U);
  ASSERT_TRUE(cluster.Submit("j-10", 3, "n0"));
  cluster.Run(10);
  EXPECT_EQ(
      cluster.MachineAt(0).worker.LiveTaskCount() + cluster.MachineAt(2).worker.LiveTaskCount(),
      0U);
  EXPECT_EQ(cluster.LiveTasks("j-10"), 3U);
  EXPECT_TRUE(cluster.CancelWithin("j-1", 5));
  cluster.Run(30);
}

// Users cancel jobs while the key-value store refuses calls of the leader; a second later, it
// refuses calls of all controllers.
void CancellationWhenStoreRefusesLeaderBeforeOutage(ScenarioCluster& cluster) {
  const std::string leader = cluster.Leader();
  for (const char* job : {"j-10", "j-11"}) ASSERT_TRUE(cluster.Submit(job, 2, "n0"));
  cluster.Run(5);
  cluster.controllers.at(leader)->store.refused = true;
  cluster.CancelAndPoll("j-1", cluster.Follower());
  cluster.CancelAndPoll("j-10", leader);
  cluster.Run(1);
  cluster.CancelAndPoll("j-11", cluster.Follower());
  cluster.store.outage = true;
  cluster.Run(static_cast<int>(kTestCancelDeadline.value) + 20);
  cluster.ClearFaults();
  cluster.Run(5);
  for (const char* job : {"j-1", "j-10", "j-11"}) EXPECT_TRUE(cluster.CancelWithin(job, 10)) << job;
}

// Jobs of all priorities need three times the capacity, while heartbeats and commands take seconds.
// Every job must run to completion or be cancelled in time.
void OverloadWithSlowHeartbeatsAndCommands(ScenarioCluster& cluster) {
  std::vector<std::string> unfinished;
  for (int i = 0; i < 24; ++i) {
    const std::string job = "j-" + std::to_string(100 + i);
    cluster.job_overrides[job] = [i](JobSpec& spec) {
      spec.priority = static_cast<Priority>(i % 4);
      spec.team = i % 3 == 0 ? "blue" : "red";
    };
    ASSERT_TRUE(cluster.Submit(job, 2, cluster.labels[static_cast<std::size_t>(i) % 3]));
    unfinished.push_back(job);
  }
  cluster.delay_command = [&cluster] { return std::optional(cluster.now + Seconds{2}); };
  for (int second = 0; second < 400 && !unfinished.empty(); ++second) {
    cluster.ForEachMachine("", [](auto& machine) { machine.slow_heartbeats = true; });
    if (second % 50 == 30) cluster.RestartLeader();
    if (second % 40 == 10) {
      EXPECT_TRUE(cluster.CancelWithin(unfinished.back(), 20));
      unfinished.pop_back();
    }
    cluster.Run(1);
    if (second % 10 != 9) continue;
    for (const std::string& job : unfinished) cluster.CompleteAllTasks(job);
    std::erase_if(unfinished, [&](const std::string& job) {
      return cluster.completed.contains({{job}, 0}) && cluster.completed.contains({{job}, 1});
    });
  }
  EXPECT_EQ(unfinished, std::vector<std::string>{}) << "jobs left unfinished";
}

// All controllers, of which one has no access to the key-value store, must reject jobs with missing
// or invalid fields and jobs that fit no machine. They must not cancel unknown or completed jobs,
// or accept malformed JSON or known jobs again.
void InvalidRequestsAreRejected(ScenarioCluster& cluster) {
  cluster.CompleteAllTasks("j-2");
  cluster.Run(6);
  cluster.controllers.at(cluster.Follower())->store.refused = true;
  const protocol::Json valid = protocol::JobToRecord(cluster.Spec("j-50", 1));
  std::vector<protocol::Json> invalid;
  for (const char* field : {"id", "flock", "nest", "gait", "rank", "pecks", "cpus", "gpus",
                            "ram_gb", "plumage", "image_gb", "together", "apart",
                            "borrowed_branches", "flight_s", "cache_every_s", "stash_s"}) {
    invalid.push_back(valid);
    invalid.back().erase(field);
    invalid.push_back(valid);
    invalid.back()[field] = protocol::Json::array();
  }
  const std::vector<std::pair<const char*, protocol::Json>> invalid_values{
      {"cpus", 9.0},  {"gpus", 1.0}, {"ram_gb", 33.0},  {"perches", {"huge"}}, {"nest", "nobody"},
      {"roost", "z"}, {"pecks", 0},  {"pecks", 100001}, {"gait", "flocking"},  {"cpus", -1.0}};
  for (const auto& [field, value] : invalid_values) {
    invalid.push_back(valid);
    invalid.back()[field] = value;
  }
  for (const protocol::Json& body : invalid)
    for (const std::string& label : cluster.labels) {
      const int status = cluster.controllers.at(label)->api.Submit(body.dump()).status;
      EXPECT_TRUE(status == 400 || status == 422 || status == 503) << status << " " << body;
    }
  for (const std::string& label : cluster.labels) {
    EXPECT_NE(cluster.controllers.at(label)->api.Cancel("j-50").status, 200)
        << "the job was never submitted";
    EXPECT_NE(cluster.Cancel("j-2", label), "withdrawn") << "the job is done";
    EXPECT_NE(cluster.controllers.at(label)->api.Submit(valid.dump().substr(1)).status, 201);
  }
  cluster.PollAllControllers("j-1");
  cluster.PollAllControllers("j-2");
}

// Users submit four single-task jobs a second for two minutes and cancel a quarter of them
// immediately, while the leader changes.
void FourSingleTaskJobsPerSecondQuarterCancelled(ScenarioCluster& cluster) {
  int next = 100;
  std::deque<std::string> running;
  for (int second = 0; second < 120; ++second) {
    for (int i = 0; i < 4; ++i) {
      const std::string job = "j-" + std::to_string(next++);
      const std::string& via = cluster.labels[static_cast<std::size_t>(next) % 3];
      if (!cluster.Submit(job, 1, via)) continue;
      if (i == 0)
        cluster.Cancel(job, via);
      else
        running.push_back(job);
    }
    if (second % 40 == 20) cluster.RestartLeader();
    cluster.Run(1);
    while (running.size() > 12) {
      cluster.CompleteAllTasks(running.front());
      if (!cluster.completed.contains({{running.front()}, 0})) break;
      running.pop_front();
    }
  }
  EXPECT_GT(cluster.jobs.size(), 400U);
  for (int i = 0; i < 200 && !running.empty(); ++i) {
    for (const std::string& job : running) cluster.CompleteAllTasks(job);
    std::erase_if(running,
                  [&](const std::string& job) { return cluster.completed.contains({{job}, 0}); });
    cluster.Run(1);
  }
  EXPECT_TRUE(running.empty());
  for (const auto& [job, tasks] : cluster.jobs)
    if (cluster.requested_cancellations.contains(job)) {
      EXPECT_TRUE(cluster.CancelWithin(job, 3)) << job;
    }
}

}  // namespace magpie::testing
