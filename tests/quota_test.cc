// Quotas of teams and zone rules of jobs across a change of leader. A task that the old leader
// unbound stays bound in the records until its page is rewritten, while its quota or its zone's
// share may be used by another task with a durable binding. The new leader loads both as bound.
#include "test_cluster.h"

namespace magpie::testing {
namespace {

class QuotaTest : public ClusterTest {
 protected:
  static constexpr double kQuotaCpus = 6;  // of the team "blue"

  JobSpec MakeBlueJob(const std::string& id, std::uint32_t tasks, Priority priority) const {
    JobSpec spec = MakeJob(id, tasks);
    spec.team = "blue";
    spec.priority = priority;
    return spec;
  }

  // n0 becomes the leader, and m-1 runs `tasks` tasks of j-1. The page with their records has so
  // many other records that it is not rewritten soon.
  void Begin(std::uint32_t tasks, bool single_zone = false, bool spread = false) {
    m1 = &AddWorker("m-1", "large", "a");
    old_leader = &AddController("n0");
    ASSERT_TRUE(old_leader->TakeOver(now));
    Heartbeat(*old_leader, *m1);
    JobSpec filler = MakeJob("j-9", 60);
    filler.per_task = {0.01, 0, 0.01};
    Run(*old_leader, filler);
    JobSpec first = MakeBlueJob("j-1", tasks, Priority::kNormal);
    first.single_zone = single_zone;
    first.spread = spread;
    Run(*old_leader, first);
    Settle(*old_leader);
    ASSERT_EQ(BlueCpus(), 2.0 * tasks);
  }

  double BlueCpus() const {
    double cpus = 0;
    for (const FakeWorker& worker : workers_)
      for (const char* job : {"j-1", "j-2"})
        for (std::uint32_t i = 0; i < 3; ++i) cpus += worker.HasLiveTask({{job}, i}) ? 2 : 0;
    return cpus;
  }

  // n0 applies m-1's heartbeat, which frees quota, and binds tasks of j-2 to m-2 with that quota.
  void ReuseFreedQuota() {
    old_leader->core.OnHeartbeat(m1->Snapshot(), now);  // the response is lost
    m2 = &AddWorker("m-2", "large", "b");
    Run(*old_leader, MakeBlueJob("j-2", 3, Priority::kProduction));
    for (int i = 0; i < 3; ++i) {
      Heartbeat(*old_leader, *m2);
      old_leader->core.Tick(now, wall);
      while (old_leader->WriteOnce(now)) {
      }
      EXPECT_LE(BlueCpus(), kQuotaCpus);
    }
  }

  void ElectNextLeader() {
    store.ExpireLeases();
    new_leader = &AddController("n1");
    ASSERT_TRUE(new_leader->TakeOver(now));
  }

  // Both workers send heartbeats to the next leader for 6 s, in the given order.
  void SendHeartbeats(bool m1_first) {
    for (int i = 0; i < 6; ++i) {
      for (FakeWorker* worker : {m1_first ? m1 : m2, m1_first ? m2 : m1}) {
        Heartbeat(*new_leader, *worker);
        EXPECT_LE(BlueCpus(), kQuotaCpus);
        new_leader->core.Tick(now, wall);
        while (new_leader->WriteOnce(now)) {
        }
        while (auto direct_command = new_leader->core.NextDirectCommand(now)) {
          FakeWorker& target = direct_command->machine == m1->id() ? *m1 : *m2;
          target.Deliver(*direct_command);
          new_leader->core.OnDirectCommandResult(*direct_command, DeliveryStatus::kAnswered,
                                                 target.Snapshot(), now);
          EXPECT_LE(BlueCpus(), kQuotaCpus);
        }
      }
      AdvanceTime(1);
    }
  }

  // Delivers the leader's probes, which must all be to the worker.
  void Probe(TestController& controller, FakeWorker& worker) {
    while (const auto probe = controller.core.NextProbe(now)) {
      ASSERT_EQ(probe->machine, worker.id()) << "the other workers send heartbeats";
      worker.Deliver(*probe);
      controller.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, worker.Snapshot(),
                                            now);
    }
  }

  TestController* old_leader = nullptr;
  TestController* new_leader = nullptr;
  FakeWorker* m1 = nullptr;
  FakeWorker* m2 = nullptr;
};

// Covers every way in which a task is unbound from a live machine.
TEST_F(QuotaTest, UnpersistedUnbindingAllowsNoStartAboveQuota) {
  const std::map<std::string, std::function<void(FakeWorker&)>> causes{
      {"a new agent epoch", [](FakeWorker& worker) { worker.ExpireLease(); }},
      {"an error", [](FakeWorker& worker) { worker.EndAll(ExitReason::kError); }},
      {"stopped", [](FakeWorker& worker) { worker.EndAll(ExitReason::kStopped); }},
      {"insufficient capacity",
       [](FakeWorker& worker) { worker.EndAll(ExitReason::kInsufficientCapacity); }},
      {"busy", [](FakeWorker& worker) { worker.EndAll(ExitReason::kBusy); }},
      {"unknown", [](FakeWorker& worker) { worker.EndAll(ExitReason::kUnknown); }},
      {"a preemption notice",
       [](FakeWorker& worker) {
         worker.Restart(false);
         worker.SetPreemptionNotice({300});
       }},
  };
  for (const auto& [name, cause] : causes)
    for (const bool m1_first : {true, false}) {
      SCOPED_TRACE(name + (m1_first ? ", m-1 sends first" : ", m-2 sends first"));
      store = FakeStore{};
      controllers_.clear();
      workers_.clear();
      Begin(3);
      cause(*m1);
      ReuseFreedQuota();
      // n0 sends forget commands for the ended attempts to m-1.
      m1->Deliver(old_leader->core.OnHeartbeat(m1->Snapshot(), now));
      ElectNextLeader();
      SendHeartbeats(m1_first);
      EXPECT_EQ(BlueCpus(), kQuotaCpus) << "the quota is fully used";
    }
}

// Like the test above, for the rule that all tasks of a job run in a single zone.
TEST_F(QuotaTest, UnpersistedUnbindingAllowsNoStartInSecondZone) {
  for (const bool m1_first : {true, false}) {
    SCOPED_TRACE(m1_first);
    store = FakeStore{};
    controllers_.clear();
    workers_.clear();
    Begin(3, true);
    m1->EndAll(ExitReason::kStopped);
    old_leader->core.OnHeartbeat(m1->Snapshot(), now);
    // j-4 takes all of m-1; the other zone has free capacity for two of the three tasks.
    JobSpec large = MakeJob("j-4");
    large.per_task = {15, 0, 4};
    large.priority = Priority::kProduction;
    Run(*old_leader, large);
    old_leader->core.Tick(now, wall);
    m2 = &AddWorker("m-2", "small", "b");
    for (int i = 0; i < 3; ++i) {
      AdvanceTime(1);
      Heartbeat(*old_leader, *m2);
      old_leader->core.Tick(now, wall);
      while (old_leader->WriteOnce(now)) {
      }
    }
    Heartbeat(*old_leader, *m2);
    ASSERT_EQ(BlueCpus(), 4) << "two tasks run in zone b";
    // n0 sends forget commands for the ended attempts to m-1.
    m1->Deliver(old_leader->core.OnHeartbeat(m1->Snapshot(), now));
    ElectNextLeader();
    for (int i = 0; i < 8; ++i) {
      for (FakeWorker* worker : {m1_first ? m1 : m2, m1_first ? m2 : m1}) {
        Heartbeat(*new_leader, *worker);
        EXPECT_EQ(m1->HasLiveTask({{"j-1"}, 0}) + m1->HasLiveTask({{"j-1"}, 1}) +
                      m1->HasLiveTask({{"j-1"}, 2}),
                  0);
      }
      new_leader->core.Tick(now, wall);
      while (new_leader->WriteOnce(now)) {
      }
      AdvanceTime(1);
    }
    EXPECT_EQ(BlueCpus(), 4);
  }
}

// The results of an earlier agent epoch are valid, but the same attempts may have been started
// again since, and a delayed copy of the old heartbeat may be the first that a new leader receives.
// The quota of the attempts must not be reused while they run.
TEST_F(QuotaTest, ResultFromEarlierTermFreesNoQuota) {
  Begin(3);
  for (std::uint32_t i = 0; i < 3; ++i) m1->End({{"j-1"}, i}, ExitReason::kDone);
  const magpie::Heartbeat heartbeat_with_results = m1->Snapshot();
  m1->ExpireLease();  // n0 fails before it receives the results
  ElectNextLeader();
  Heartbeat(*new_leader, *m1);
  Heartbeat(*new_leader, *m1);
  Heartbeat(*new_leader, *m1);
  ASSERT_EQ(BlueCpus(), kQuotaCpus) << "the same attempts are started again";
  store.ExpireLeases();
  TestController& third = AddController("n2");
  ASSERT_TRUE(third.TakeOver(now));
  third.core.OnHeartbeat(heartbeat_with_results, now);
  Run(third, MakeBlueJob("j-2", 3, Priority::kProduction));
  m2 = &AddWorker("m-2", "large", "b");
  for (int i = 0; i < 4; ++i) {
    third.core.Tick(now, wall);
    while (third.WriteOnce(now)) {
    }
    Heartbeat(third, *m2);
    EXPECT_LE(BlueCpus(), kQuotaCpus);
  }
  // The worker's next heartbeat lists the attempts as running. Their ends are then applied at once.
  Heartbeat(third, *m1);
  m1->EndAll(ExitReason::kDone);
  for (int i = 0; i < 4; ++i) {
    Heartbeat(third, *m1);
    third.core.Tick(now, wall);
    while (third.WriteOnce(now)) {
    }
    Heartbeat(third, *m2);
    EXPECT_LE(BlueCpus(), kQuotaCpus);
  }
  EXPECT_EQ(third.State("j-1"), "done");
  EXPECT_EQ(BlueCpus(), kQuotaCpus);
}

// A result from before the leader's term is kept, whatever happens to the machine. The task uses no
// capacity and is not started again. Its quota is reused only once the attempt is proved to have
// ended.
TEST_F(QuotaTest, ResultFromEarlierTermIsAppliedAtOnce) {
  const auto send_heartbeat = [this] { Heartbeat(*new_leader, *m1); };
  const std::map<std::string, std::function<void()>> causes{
      {"heartbeat repeats the result", send_heartbeat},
      {"a new agent epoch", [&] { m1->ExpireLease(), send_heartbeat(); }},
      {"tasks are lost", [&] { m1->Restart(false), send_heartbeat(); }},
      {"all state is lost", [&] { m1->Restart(true), send_heartbeat(); }},
      {"machine is released",
       [this] { new_leader->core.OnReleased({CloudCall::Kind::kRelease, {}, {m1->id()}}, now); }},
  };
  for (const auto& [name, cause] : causes) {
    SCOPED_TRACE(name);
    store = FakeStore{};
    controllers_.clear();
    workers_.clear();
    Begin(3);
    for (std::uint32_t i = 0; i < 3; ++i) m1->End({{"j-1"}, i}, ExitReason::kDone);
    ElectNextLeader();
    new_leader->core.OnHeartbeat(m1->Snapshot(), now);  // the response is lost
    JobSpec large = MakeJob("j-4");
    large.per_task = {15, 0, 4};  // fits only on m-1, if the three ended tasks use no capacity
    Run(*new_leader, large);
    Run(*new_leader, MakeBlueJob("j-2", 3, Priority::kProduction));
    const std::vector<FakeWorker*> others{&AddWorker("m-2", "small", "b"),
                                          &AddWorker("m-3", "small", "b")};
    const auto round = [&] {
      new_leader->core.Tick(now, wall);
      while (new_leader->WriteOnce(now)) {
      }
      for (FakeWorker* worker : others) Heartbeat(*new_leader, *worker);
      EXPECT_LE(BlueCpus(), kQuotaCpus);
      AdvanceTime(1);
    };
    for (int i = 0; i < 3; ++i) round();
    EXPECT_EQ(new_leader->core.GetStatus().pending, 3U) << "j-4 is placed, j-2 is pending";
    EXPECT_EQ(BlueCpus(), 0) << "attempts of j-1 may have been started again";
    cause();
    for (int i = 0; i < 6; ++i) {
      if (name != "machine is released") {
        Heartbeat(*new_leader, *m1);
        Probe(*new_leader, *m1);
      }
      round();
    }
    EXPECT_EQ(new_leader->State("j-1"), "done");
    EXPECT_EQ(BlueCpus(), kQuotaCpus) << "all tasks of j-2 run";
    for (const FakeWorker& worker : workers_)
      for (std::uint32_t i = 0; i < 3; ++i) {
        const auto starts = worker.starts.find({{"j-1"}, i});
        EXPECT_EQ(starts == worker.starts.end() ? 0 : starts->second, &worker == m1 ? 1 : 0);
      }
  }
}

// The quota is lowered while there is no leader.
TEST_F(QuotaTest, LoweredQuotaAllowsNoStartAboveIt) {
  Begin(3);
  m1->ExpireLease();
  store.ExpireLeases();
  Scheduler::Options options = DefaultOptions();
  options.teams[1].cpus_max = 2;
  new_leader = &controllers_.emplace_back(store, "n1", options);
  ASSERT_TRUE(new_leader->TakeOver(now));
  for (int i = 0; i < 5; ++i) {
    Heartbeat(*new_leader, *m1);
    EXPECT_LE(BlueCpus(), 2);
    new_leader->core.Tick(now, wall);
    while (new_leader->WriteOnce(now)) {
    }
    AdvanceTime(1);
  }
  EXPECT_EQ(BlueCpus(), 2);
}

}  // namespace
}  // namespace magpie::testing
