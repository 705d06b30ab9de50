// A team's limit and a job's zone rules over a change of leader. What a leader has unbound
// stands in the records as bound until its page is written again, while another task may have
// taken its quota or its zone's share and be durable. Whoever leads next reads both as bound.
#include "test_cluster.h"

namespace magpie::testing {
namespace {

class QuotaTest : public ClusterTest {
 protected:
  static constexpr double kLimit = 6;  // CPUs of the team "blue"

  JobSpec Blue(const std::string& id, std::uint32_t tasks, Priority priority) const {
    JobSpec spec = MakeJob(id, tasks);
    spec.team = "blue";
    spec.priority = priority;
    return spec;
  }

  // n0 leads, and m-1 runs a task of j-1 beside so many records of others that its page is not
  // soon written again.
  void Begin(std::uint32_t tasks, bool single_zone = false, bool spread = false) {
    m1 = &AddWorker("m-1", "large", "a");
    before = &AddController("n0");
    ASSERT_TRUE(before->TakeOver(now));
    Heartbeat(*before, *m1);
    JobSpec many = MakeJob("j-9", 60);
    many.per_task = {0.01, 0, 0.01};
    Run(*before, many);
    JobSpec first = Blue("j-1", tasks, Priority::kNormal);
    first.single_zone = single_zone;
    first.spread = spread;
    Run(*before, first);
    Settle(*before);
    ASSERT_EQ(BlueUse(), 2.0 * tasks);
  }

  double BlueUse() const {
    double use = 0;
    for (const FakeWorker& w : workers_)
      for (const char* job : {"j-1", "j-2"})
        for (std::uint32_t i = 0; i < 3; ++i) use += w.HasLiveTask({{job}, i}) ? 2 : 0;
    return use;
  }

  // n0 takes in what m-1 says, and gives the room that it sees to j-2 on m-2.
  void AnotherTakesItsPlace() {
    before->core.OnHeartbeat(m1->Snapshot(), now);  // the answer is lost
    m2 = &AddWorker("m-2", "large", "b");
    Run(*before, Blue("j-2", 3, Priority::kProduction));
    for (int i = 0; i < 3; ++i) {
      Heartbeat(*before, *m2);
      before->core.Tick(now, wall);
      while (before->WriteOnce(now)) {
      }
      EXPECT_LE(BlueUse(), kLimit);
    }
  }

  void NextLeads() {
    store.ExpireLeases();
    after = &AddController("n1");
    ASSERT_TRUE(after->TakeOver(now));
  }

  // Both machines report to the next leader, in either order, for a while.
  void BothReport(bool m1_first) {
    for (int i = 0; i < 6; ++i) {
      for (FakeWorker* w : {m1_first ? m1 : m2, m1_first ? m2 : m1}) {
        Heartbeat(*after, *w);
        EXPECT_LE(BlueUse(), kLimit);
        after->core.Tick(now, wall);
        while (after->WriteOnce(now)) {
        }
        while (auto direct_command = after->core.NextDirectCommand(now)) {
          FakeWorker& to = direct_command->machine == m1->id() ? *m1 : *m2;
          to.Take(*direct_command);
          after->core.OnDirectCommandResult(*direct_command, DeliveryStatus::kAnswered,
                                            to.Snapshot(), now);
          EXPECT_LE(BlueUse(), kLimit);
        }
      }
      AdvanceTime(1);
    }
  }

  // Asks the machine, if the leader wants to.
  void Probe(TestController& node, FakeWorker& worker) {
    while (const auto probe = node.core.NextProbe(now)) {
      ASSERT_EQ(probe->machine, worker.id()) << "the others are heard";
      worker.Take(*probe);
      node.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, worker.Snapshot(), now);
    }
  }

  TestController* before = nullptr;
  TestController* after = nullptr;
  FakeWorker* m1 = nullptr;
  FakeWorker* m2 = nullptr;
};

// Every way in which a machine that lives gives up a task.
TEST_F(QuotaTest, UnpersistedUnbindingAllowsNoStartOverTheLimit) {
  const std::map<std::string, std::function<void(FakeWorker&)>> ways{
      {"a new session", [](FakeWorker& w) { w.ExpireLease(); }},
      {"an error", [](FakeWorker& w) { w.EndAll(ExitReason::kError); }},
      {"stopped", [](FakeWorker& w) { w.EndAll(ExitReason::kStopped); }},
      {"no room", [](FakeWorker& w) { w.EndAll(ExitReason::kInsufficientCapacity); }},
      {"busy", [](FakeWorker& w) { w.EndAll(ExitReason::kBusy); }},
      {"unknown", [](FakeWorker& w) { w.EndAll(ExitReason::kUnknown); }},
      {"a notice",
       [](FakeWorker& w) {
         w.Restart(false);
         w.SetPreemptionNotice({300});
       }},
  };
  for (const auto& [name, way] : ways)
    for (const bool m1_first : {true, false}) {
      SCOPED_TRACE(name + (m1_first ? ", m-1 reports first" : ", m-2 reports first"));
      store = FakeStore{};
      controllers_.clear();
      workers_.clear();
      Begin(3);
      way(*m1);
      AnotherTakesItsPlace();
      // It has forgotten what ended, at n0's word.
      m1->Deliver(before->core.OnHeartbeat(m1->Snapshot(), now));
      NextLeads();
      BothReport(m1_first);
      EXPECT_EQ(BlueUse(), kLimit) << "all that the limit allows runs";
    }
}

// Nor in a zone that the job's other tasks do not allow.
TEST_F(QuotaTest, UnpersistedUnbindingAllowsNoStartInAnotherZone) {
  for (const bool m1_first : {true, false}) {
    SCOPED_TRACE(m1_first);
    store = FakeStore{};
    controllers_.clear();
    workers_.clear();
    Begin(3, true);
    m1->EndAll(ExitReason::kStopped);
    before->core.OnHeartbeat(m1->Snapshot(), now);
    // Other work takes all of m-1; in the other zone there is room for two of the three.
    JobSpec red = MakeJob("j-4");
    red.per_task = {15, 0, 4};
    red.priority = Priority::kProduction;
    Run(*before, red);
    before->core.Tick(now, wall);
    m2 = &AddWorker("m-2", "small", "b");
    for (int i = 0; i < 3; ++i) {
      AdvanceTime(1);
      Heartbeat(*before, *m2);
      before->core.Tick(now, wall);
      while (before->WriteOnce(now)) {
      }
    }
    Heartbeat(*before, *m2);
    ASSERT_EQ(BlueUse(), 4) << "two of them run in zone b";
    m1->Deliver(before->core.OnHeartbeat(m1->Snapshot(), now));  // it forgets what ended
    NextLeads();
    for (int i = 0; i < 8; ++i) {
      for (FakeWorker* w : {m1_first ? m1 : m2, m1_first ? m2 : m1}) {
        Heartbeat(*after, *w);
        EXPECT_EQ(m1->HasLiveTask({{"j-1"}, 0}) + m1->HasLiveTask({{"j-1"}, 1}) +
                      m1->HasLiveTask({{"j-1"}, 2}),
                  0);
      }
      after->core.Tick(now, wall);
      while (after->WriteOnce(now)) {
      }
      AdvanceTime(1);
    }
    EXPECT_EQ(BlueUse(), 4);
  }
}

// A result that an earlier session told is a fact, but the same attempt may have been begun
// once more since, and a copy of the old report be the next leader's first word. Its quota is
// not given away while it runs.
TEST_F(QuotaTest, ResultReportedBeforeOurTermFreesNoQuota) {
  Begin(3);
  for (std::uint32_t i = 0; i < 3; ++i) m1->End({{"j-1"}, i}, ExitReason::kDone);
  const magpie::Heartbeat of_the_results = m1->Snapshot();
  m1->ExpireLease();  // n0 never heard of them, and ends
  NextLeads();
  Heartbeat(*after, *m1);
  Heartbeat(*after, *m1);
  Heartbeat(*after, *m1);
  ASSERT_EQ(BlueUse(), kLimit) << "the same attempts once more";
  store.ExpireLeases();
  TestController& third = AddController("n2");
  ASSERT_TRUE(third.TakeOver(now));
  third.core.OnHeartbeat(of_the_results, now);
  Run(third, Blue("j-2", 3, Priority::kProduction));
  m2 = &AddWorker("m-2", "large", "b");
  for (int i = 0; i < 4; ++i) {
    third.core.Tick(now, wall);
    while (third.WriteOnce(now)) {
    }
    Heartbeat(third, *m2);
    EXPECT_LE(BlueUse(), kLimit);
  }
  // The worker itself says later what it runs, and what it ends counts at once.
  Heartbeat(third, *m1);
  m1->EndAll(ExitReason::kDone);
  for (int i = 0; i < 4; ++i) {
    Heartbeat(third, *m1);
    third.core.Tick(now, wall);
    while (third.WriteOnce(now)) {
    }
    Heartbeat(third, *m2);
    EXPECT_LE(BlueUse(), kLimit);
  }
  EXPECT_EQ(third.State("j-1"), "done");
  EXPECT_EQ(BlueUse(), kLimit);
}

// A result told before our term is kept all the same: the task takes no room and is not begun
// again, whatever happens to its machine. What it holds of the limit is given away only once the
// attempt is over for certain.
TEST_F(QuotaTest, ResultReportedBeforeOurTermIsAppliedAtOnce) {
  const auto said = [this] { Heartbeat(*after, *m1); };
  const std::map<std::string, std::function<void()>> ways{
      {"it is said anew", said},
      {"a new session", [&] { m1->ExpireLease(), said(); }},
      {"its tasks are lost", [&] { m1->Restart(false), said(); }},
      {"all is lost", [&] { m1->Restart(true), said(); }},
      {"its machine is returned",
       [this] { after->core.OnReleased({CloudCall::Kind::kRelease, {}, {m1->id()}}, now); }},
  };
  for (const auto& [name, way] : ways) {
    SCOPED_TRACE(name);
    store = FakeStore{};
    controllers_.clear();
    workers_.clear();
    Begin(3);
    for (std::uint32_t i = 0; i < 3; ++i) m1->End({{"j-1"}, i}, ExitReason::kDone);
    NextLeads();
    after->core.OnHeartbeat(m1->Snapshot(), now);  // the answer is lost
    JobSpec red = MakeJob("j-4");
    red.per_task = {15, 0, 4};  // fits on m-1 alone, once the three take no room there
    Run(*after, red);
    Run(*after, Blue("j-2", 3, Priority::kProduction));
    const std::vector<FakeWorker*> free{&AddWorker("m-2", "small", "b"),
                                        &AddWorker("m-3", "small", "b")};
    const auto round = [&] {
      after->core.Tick(now, wall);
      while (after->WriteOnce(now)) {
      }
      for (FakeWorker* w : free) Heartbeat(*after, *w);
      EXPECT_LE(BlueUse(), kLimit);
      AdvanceTime(1);
    };
    for (int i = 0; i < 3; ++i) round();
    EXPECT_EQ(after->core.GetStatus().pending, 3U) << "j-4 has its place, j-2 waits";
    EXPECT_EQ(BlueUse(), 0) << "it might have been begun once more";
    way();
    for (int i = 0; i < 6; ++i) {
      if (name != "its machine is returned") {
        Heartbeat(*after, *m1);
        Probe(*after, *m1);
      }
      round();
    }
    EXPECT_EQ(after->State("j-1"), "done");
    EXPECT_EQ(BlueUse(), kLimit) << "all of j-2";
    for (const FakeWorker& w : workers_)
      for (std::uint32_t i = 0; i < 3; ++i) {
        const auto began = w.starts.find({{"j-1"}, i});
        EXPECT_EQ(began == w.starts.end() ? 0 : began->second, &w == m1 ? 1 : 0);
      }
  }
}

// A limit that was lowered while nobody led starts nothing above it either.
TEST_F(QuotaTest, LoweredLimitStartsNothingAboveIt) {
  Begin(3);
  m1->ExpireLease();
  store.ExpireLeases();
  Scheduler::Options options = DefaultOptions();
  options.teams[1].cpus_max = 2;
  after = &controllers_.emplace_back(store, "n1", options);
  ASSERT_TRUE(after->TakeOver(now));
  for (int i = 0; i < 5; ++i) {
    Heartbeat(*after, *m1);
    EXPECT_LE(BlueUse(), 2);
    after->core.Tick(now, wall);
    while (after->WriteOnce(now)) {
    }
    AdvanceTime(1);
  }
  EXPECT_EQ(BlueUse(), 2);
}

}  // namespace
}  // namespace magpie::testing
