// Scenarios of jobs, machines and users that meet faults.
#include "fault_scenarios.h"

namespace magpie::testing {

// An array and a service of zone a lose one of its machines, then the other. They go on in
// their zone alone, and wait for a machine there when there is none.
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
      << "on the machine that is left";
  cluster.ForEachMachine("a", [&](ScenarioCluster::Machine& m) { cluster.KillMachine(m); });
  cluster.RestartLeader();
  cluster.Run(60);
  EXPECT_EQ(cluster.LiveTasks("j-10") + cluster.LiveTasks("j-11"), 0U)
      << "nothing of the zone is left";
  cluster.PollAllControllers("j-10");
  cluster.machines_per_zone["a"] = 1;
}

// The zone of a job has no machine. Its team's other jobs do not wait for it.
void ZoneWithoutMachinesDoesNotDelayOtherJobs(ScenarioCluster& cluster) {
  cluster.RestrictToZone("j-10", "a", "blue");
  cluster.job_overrides["j-11"] = [](JobSpec& spec) { spec.team = "blue"; };
  cluster.machines_per_zone["a"] = 0;
  cluster.ForEachMachine("a", [&](ScenarioCluster::Machine& m) { cluster.KillMachine(m); });
  ASSERT_TRUE(cluster.Submit("j-10", 4, "n0"));
  cluster.Run(40);
  ASSERT_TRUE(cluster.Submit("j-11", 2, "n0"));
  cluster.Run(20);
  EXPECT_EQ(cluster.LiveTasks("j-11"), 2U) << "its team is under its limit";
  cluster.CompleteAllTasks("j-11");
  cluster.machines_per_zone["a"] = 1;
}

void PollsAllControllersAroundStateChanges(ScenarioCluster& cluster) {
  for (int i = 0; i < 6; ++i) {
    const std::string job = "j-2" + std::to_string(i);
    cluster.SubmitAndPoll(job, 1, cluster.labels[static_cast<std::size_t>(i) % 3]);
    if (i % 3 == 0) cluster.CancelAndPoll(job, cluster.labels[1]);  // at once
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

// A cancellation, a question and a repeated submission in the very second of the last end,
// before, at and after its report.
void CancellationWhenLastTaskEnds(ScenarioCluster& cluster) {
  for (int report_delay_s = 0; report_delay_s < 5; ++report_delay_s) {
    const std::string job = "j-2" + std::to_string(report_delay_s);
    ASSERT_TRUE(cluster.Submit(job, 2, "n0"));
    cluster.Run(6);
    ASSERT_EQ(cluster.LiveTasks(job), 2U);
    cluster.CompleteTask({{job}, 0});
    cluster.Run(4);
    cluster.CompleteTask({{job}, 1});
    for (int i = 0; i < report_delay_s; ++i) cluster.Run(1);
    for (const std::string& label : cluster.labels) cluster.CancelAndPoll(job, label);
    cluster.Run(6);
    cluster.PollAllControllers(job);
    const std::string state = cluster.Poll(job, "n0");
    EXPECT_TRUE(state == "done" || state == "withdrawn") << state;
    for (const std::string& label : cluster.labels) EXPECT_EQ(cluster.Poll(job, label), state);
  }
}

// Each write in turn is carried out and only its answer is lost, while all others read it.
void StoreResponseLostDuringReads(ScenarioCluster& cluster) {
  for (int i = 0; i < 8; ++i) {
    const std::string job = "j-2" + std::to_string(i);
    const auto lose = [&] { cluster.store.next_commit = FakeStore::Fault::kLoseResponse; };
    lose();
    cluster.SubmitAndPoll(job, 1, cluster.labels[static_cast<std::size_t>(i) % 3]);
    ASSERT_TRUE(cluster.jobs.contains(job)) << "its second try finds that it was accepted";
    lose();  // of its binding
    cluster.Run(1);
    cluster.PollAllControllers(job);
    cluster.Run(4);
    lose();  // of either mark, or of its end
    if (i % 2 == 0) {
      EXPECT_TRUE(cluster.CancelWithin(job, 4));
    } else {
      cluster.CompleteAllTasks(job);
    }
    for (int k = 0; k < 4; ++k) {
      lose();
      cluster.Run(1);
      cluster.PollAllControllers(job);
    }
  }
}

// The team is at its limit, its jobs are cancelled while their machines are cut off or hang,
// and the leader changes: what comes next begins only when the rest is certainly gone.
void CancellationAtQuotaOnUnreachableMachinesDuringTakeover(ScenarioCluster& cluster) {
  for (const char* job : {"j-10", "j-11", "j-12", "j-13"})
    cluster.job_overrides[job] = [](JobSpec& spec) { spec.team = "blue"; };
  ASSERT_TRUE(cluster.Submit("j-10", 2, "n0"));
  ASSERT_TRUE(cluster.Submit("j-11", 2, "n0"));
  ASSERT_TRUE(cluster.Submit("j-12", 2, "n0"));
  cluster.Run(6);
  ASSERT_EQ(cluster.LiveTasks("j-10") + cluster.LiveTasks("j-11") + cluster.LiveTasks("j-12"), 4U);
  for (auto& m : cluster.machines)
    (m.worker.zone() == "a" ? m.partitioned : m.receives_nothing) =
        m.worker.HasLiveTask({{"j-10"}, 0}) || m.worker.HasLiveTask({{"j-11"}, 1});
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

// A zone goes on inside a cut longer than a lease, with a controller of ours in it: no lease
// is lost, nothing is begun twice, and what is cancelled outside ends there too.
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
      EXPECT_EQ(cluster.Cancel("j-10", cluster.Leader()), "") << "one can't be asked";
    }
  }
  EXPECT_EQ(cluster.LeasesLost(), leases_lost);
  cluster.HealZone("b", inside_controller);
  cluster.Run(5);
  EXPECT_TRUE(cluster.CancelWithin("j-10", 20));
}

// Machines reach nobody, while commands and probes reach them. An answered probe keeps no
// lease: what runs there ends, and begins on machines that report.
void MachinesWithoutHeartbeatsLoseLeasesDespiteProbes(ScenarioCluster& cluster) {
  cluster.ForEachMachine("a", [](auto& m) { m.sends_nothing = true; });
  cluster.Run(30);
  EXPECT_EQ(cluster.MachineAt(0).worker.LiveTaskCount() + cluster.MachineAt(2).worker.LiveTaskCount(), 0U)
      << "nothing is begun where no lease is kept";
  EXPECT_EQ(cluster.LiveTasks("j-1") + cluster.LiveTasks("j-2"), 4U);
  ASSERT_TRUE(cluster.Submit("j-10", 3, "n0"));
  cluster.Run(10);
  EXPECT_EQ(cluster.MachineAt(0).worker.LiveTaskCount() + cluster.MachineAt(2).worker.LiveTaskCount(), 0U);
  EXPECT_EQ(cluster.LiveTasks("j-10"), 3U);
  EXPECT_TRUE(cluster.CancelWithin("j-1", 5));
  cluster.Run(30);
}

// Cancelled in the second in which the leader is refused; a second later it is out for all.
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

// Three times as much work as room, urgent and not, with reports and commands that take seconds.
// Every job has its turn, or is cancelled in time.
void OverloadWithSlowHeartbeatsAndCommands(ScenarioCluster& cluster) {
  std::vector<std::string> open;
  for (int i = 0; i < 24; ++i) {
    const std::string job = "j-" + std::to_string(100 + i);
    cluster.job_overrides[job] = [i](JobSpec& spec) {
      spec.priority = static_cast<Priority>(i % 4);
      spec.team = i % 3 == 0 ? "blue" : "red";
    };
    ASSERT_TRUE(cluster.Submit(job, 2, cluster.labels[static_cast<std::size_t>(i) % 3]));
    open.push_back(job);
  }
  cluster.delay_command = [&cluster] { return std::optional(cluster.now + Seconds{2}); };
  for (int second = 0; second < 400 && !open.empty(); ++second) {
    cluster.ForEachMachine("", [](auto& m) { m.slow_heartbeats = true; });
    if (second % 50 == 30) cluster.RestartLeader();
    if (second % 40 == 10) {
      EXPECT_TRUE(cluster.CancelWithin(open.back(), 20));
      open.pop_back();
    }
    cluster.Run(1);
    if (second % 10 != 9) continue;
    for (const std::string& job : open) cluster.CompleteAllTasks(job);
    std::erase_if(open, [&](const std::string& job) {
      return cluster.completed.contains({{job}, 0}) && cluster.completed.contains({{job}, 1});
    });
  }
  EXPECT_EQ(open, std::vector<std::string>{}) << "all have had their turn";
}

// Repeats of unfinished jobs, cancellations of jobs that are done, jobs that fit no machine and
// jobs that lack a field, at every controller, one of which has no state service.
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
        << "nobody submitted it";
    EXPECT_NE(cluster.Cancel("j-2", label), "withdrawn") << "it is done";
    EXPECT_NE(cluster.controllers.at(label)->api.Submit(valid.dump().substr(1)).status, 201);
  }
  cluster.PollAllControllers("j-1");
  cluster.PollAllControllers("j-2");
}

// Four jobs of one task a second for two minutes, a quarter of them cancelled, some at once,
// while the lead changes.
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
