// A process or a machine that ended is back at once, before any lease has ended and
// before anybody has noticed; what it had sent may still arrive.
#include "test_cluster.h"

namespace magpie::testing {
namespace {

using Fault = FakeStore::Fault;

class QuickRestartTest : public ClusterTest {
 protected:
  // Carries out commands, and ends the controller at the one that is due: it was sent
  // and done, or not sent, or arrives later.
  void DirectCommand(TestController& node) {
    while (auto direct_command = node.core.NextDirectCommand(now)) {
      FakeWorker& w = WorkerOf(direct_command->machine);
      if (pushes_until_end >= 0 && pushes_until_end-- == 0) {
        if (store.crash_fault == Fault::kLoseResponse) w.Take(*direct_command);
        if (store.crash_fault == Fault::kCommitLate) late_.push_back(*direct_command);
        throw FakeStore::Crashed{};
      }
      w.Take(*direct_command);
      node.core.OnDirectCommandResult(*direct_command, DeliveryStatus::kAnswered, w.Snapshot(),
                                      now);
    }
    while (auto probe = node.core.NextProbe(now)) {
      FakeWorker& w = WorkerOf(probe->machine);
      w.Take(*probe);
      node.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, w.Snapshot(), now);
    }
  }

  FakeWorker& WorkerOf(const MachineId& id) {
    return *std::find_if(workers_.begin(), workers_.end(),
                         [&](const FakeWorker& w) { return w.id() == id; });
  }

  void Round(TestController& node) {
    node.core.Tick(now, wall);
    while (node.WriteOnce(now)) Check();
    DirectCommand(node);
    Check();
    for (FakeWorker& w : workers_) Heartbeat(node, w);
    Check();
    AdvanceTime(0.3);
  }

  // The rules, as far as this world can break them.
  void Check() {
    std::map<TaskId, int> live;
    double blue = 0;
    for (const FakeWorker& w : workers_)
      for (const auto& [job, tasks] : jobs_)
        for (std::uint32_t i = 0; i < tasks; ++i)
          if (w.HasLiveTask(TaskOf(job, i))) {
            EXPECT_EQ(++live[TaskOf(job, i)], 1) << job << "/" << i << " runs twice";
            if (job == "j-2") blue += 2;
          }
    EXPECT_LE(blue, 6) << "the team's limit";
    ++checks_;
  }

  void EndSome(int round) {
    for (FakeWorker& w : workers_)
      for (const auto& [job, tasks] : jobs_)
        for (std::uint32_t i = 0; i < tasks; ++i)
          if ((i + static_cast<std::uint32_t>(round)) % 3 == 0)
            w.End(TaskOf(job, i), ExitReason::kDone);
  }

  // From an empty cell to the end of all jobs, ending the leader at every point that is
  // set beforehand. Returns how often it ended.
  int Play(const std::vector<int>& ends, bool at_commits) {
    store = FakeStore{};
    store.crash_fault = fault_;
    controllers_.clear();
    workers_.clear();
    late_.clear();
    now = {100};
    for (int i = 0; i < 4; ++i) AddWorker("m-" + std::to_string(i), "small", i < 2 ? "a" : "b");
    jobs_ = {{"j-1", 5}, {"j-2", 5}};
    std::size_t next = 0;
    const auto arm = [&] {
      const int at = next < ends.size() ? ends[next] : -1;
      (at_commits ? store.commits_until_crash : pushes_until_end) = at;
    };
    arm();
    int ended = 0;
    TestController* node = nullptr;
    const auto over = [&](const std::string& state) { return state == "done"; };
    for (int round = 0; round < 80; ++round) {
      try {
        if (node == nullptr) node = &Again("n0");
        if (!node->core.leading() && !node->TakeOver(now)) continue;
        for (const auto& [job, tasks] : jobs_) {
          JobSpec spec = MakeJob(job, tasks);
          if (job == "j-2") spec.team = "blue";
          Submit(*node, spec);  // repeated until the end, as users may
        }
        node->ReadJobs();
        Round(*node);
        EndSome(round);
        if (round % 4 == 3 && !late_.empty()) {
          WorkerOf(late_.front().machine).Take(late_.front());
          late_.pop_front();
          Check();
        }
        if (round % 4 == 1 && store.has_delayed_transactions()) store.DeliverDelayed();
        if (over(node->State("j-1")) && over(node->State("j-2"))) break;
      } catch (const FakeStore::Crashed&) {
        node = nullptr;  // back at once
        ++ended;
        ++next;
        arm();
      }
    }
    store.commits_until_crash = pushes_until_end = -1;
    EXPECT_NE(node, nullptr);
    if (node == nullptr) return ended;
    EXPECT_EQ(node->State("j-1"), "done");
    EXPECT_EQ(node->State("j-2"), "done");
    return ended;
  }

  std::map<std::string, std::uint32_t> jobs_;
  std::deque<magpie::DirectCommand> late_;
  Fault fault_ = Fault::kNone;
  int pushes_until_end = -1;
  int checks_ = 0;
};

// Every write and every command of an election, a takeover and what follows, in turn;
// then every pair of them that lies close together.
TEST_F(QuickRestartTest, LeaderRestartsAtEveryWriteAndCommand) {
  int points = 0;
  for (const bool at_commits : {true, false})
    for (const Fault fault : {Fault::kRefuse, Fault::kLoseResponse, Fault::kCommitLate})
      for (int at = 0;; ++at) {
        const auto play = [&](const std::vector<int>& ends) {
          SCOPED_TRACE(std::string(at_commits ? "commit " : "command ") + std::to_string(at) +
                       (ends.size() > 1 ? ", then " + std::to_string(ends[1]) : "") + ", fault " +
                       std::to_string(static_cast<int>(fault)));
          fault_ = fault;
          return Play(ends, at_commits);
        };
        if (play({at}) == 0) break;  // there is no such point any more
        ++points;
        for (int then = 0; then < 4; ++then) points += play({at, then}) == 2 ? 1 : 0;
        ASSERT_LT(at, 200);
        if (HasFailure()) return;
      }
  EXPECT_GT(points, 300);
  RecordProperty("points", points);
}

// Its key and its hold still live. It leads by neither; the run before it, should it be
// alive after all, can write and command nothing any more.
TEST_F(QuickRestartTest, LeaderRestartsBeforeItsOldLeaseExpires) {
  FakeWorker& w = AddWorker("m-1", "large");
  TestController& before = AddController("n0");
  TestController& other = AddController("n1");
  ASSERT_TRUE(before.TakeOver(now));
  ASSERT_FALSE(other.TakeOver(now));
  Settle(before);
  Run(before, MakeJob("j-1", 2));
  before.core.Tick(now, wall);
  const WriteBatch plan = before.core.NextWriteBatch(now);  // sent, and nobody heard the answer
  ASSERT_FALSE(plan.empty());
  TestController& after = Again("n0");
  ASSERT_TRUE(after.TakeOver(now)) << "it waits for no lease";
  EXPECT_GT(after.leadership.epoch, before.leadership.epoch);
  EXPECT_FALSE(other.TakeOver(now));
  EXPECT_EQ(other.election.view().leader, "n0");
  EXPECT_EQ(store.Commit(records::ToTransaction(plan, before.leadership)).status,
            StoreStatus::kConflict);
  Settle(after);
  EXPECT_EQ(w.LiveTaskCount(), 2U);
  EXPECT_FALSE(w.Deliver(before.core.OnHeartbeat(w.Snapshot(), now)));
}

// All end at once and are back one after the other. While the old leader's key lives
// nobody guesses; if it does not come, its lease ends and another leads.
TEST_F(QuickRestartTest, AllControllersRestartAtDifferentTimes) {
  TestController& before = AddController("n0");
  ASSERT_TRUE(before.TakeOver(now));
  EXPECT_FALSE(Again("n1").TakeOver(now));
  TestController& third = Again("n2");
  EXPECT_FALSE(third.TakeOver(now));
  EXPECT_TRUE(Again("n0").TakeOver(now));
  EXPECT_FALSE(third.TakeOver(now));
  store.ExpireLeases();
  EXPECT_TRUE(third.TakeOver(now));
}

// A copy of an earlier run's write of its member key, or of the leader's key, arrives
// when the next run has written its own: it must not bring back what goes with a lease
// that is about to end.
TEST_F(QuickRestartTest, LateElectionWritesChangeNothing) {
  store.crash_fault = Fault::kCommitLate;
  for (int at = 0; at < 3; ++at) {
    store.commits_until_crash = at;
    EXPECT_THROW(Again("n0").TakeOver(now), FakeStore::Crashed);
  }
  TestController& last = Again("n0");
  ASSERT_TRUE(last.TakeOver(now));
  const auto before = store.Range(records::kControlPrefix, "", 10).entries;
  while (store.has_delayed_transactions()) EXPECT_FALSE(store.DeliverDelayed());
  const auto after = store.Range(records::kControlPrefix, "", 10).entries;
  ASSERT_EQ(before.size(), after.size());
  for (std::size_t i = 0; i < after.size(); ++i) EXPECT_EQ(before[i].revision, after[i].revision);
}

TEST_F(QuickRestartTest, RepeatedRestartsLeaveNothingBehind) {
  std::size_t keys = 0;
  for (int i = 0; i < 50; ++i) {
    const int before = store.commits;
    TestController& node = Again("n0");
    ASSERT_TRUE(node.TakeOver(now));
    EXPECT_LE(store.commits - before, 3);
    const std::size_t now_there = store.Range("", "", 1000).entries.size();
    if (i > 0) {
      EXPECT_EQ(now_there, keys);
    }
    keys = now_there;
    controllers_.clear();
  }
}

// What users repeat at the next run of the process, after an answer that nobody heard.
TEST_F(QuickRestartTest, RepeatedRequestsFindWhatIsDurable) {
  store.crash_fault = Fault::kLoseResponse;
  store.commits_until_crash = 0;
  EXPECT_THROW(Submit(AddController("n0"), MakeJob("j-1")), FakeStore::Crashed);
  TestController& next = Again("n0");
  EXPECT_EQ(Submit(next, MakeJob("j-1")), 200) << "it was accepted";
  store.commits_until_crash = 0;
  EXPECT_THROW(next.api.Cancel("j-1"), FakeStore::Crashed);
  TestController& third = Again("n0");
  EXPECT_EQ(third.State("j-1"), "queued") << "its tasks are stopped; nobody has been told";
  store.commits_until_crash = 0;
  EXPECT_THROW(third.api.Cancel("j-1"), FakeStore::Crashed);
  TestController& last = Again("n0");
  EXPECT_EQ(last.State("j-1"), "withdrawn");
  EXPECT_EQ(last.api.Cancel("j-1").status, 200);
  EXPECT_EQ(Submit(last, MakeJob("j-1")), 200);
  EXPECT_EQ(last.State("j-1"), "withdrawn");
}

// A worker's machine is back under its name and knows nothing. Its small numbers were
// taken for late copies, and its tasks for running, until its lease would have ended,
// which it never did: its reports were answered.
TEST_F(QuickRestartTest, MachineThatLostItsStateIsDetected) {
  FakeWorker& w = AddWorker("m-1");
  FakeWorker& other = AddWorker("m-2");
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 2));
  for (int i = 0; i < 3; ++i) Round(node);
  FakeWorker& gone = w.LiveTaskCount() > 0 ? w : other;
  magpie::Heartbeat of_before = gone.Snapshot();
  of_before.sequence += 5;  // its last report is still on its way
  gone.Restart(true);
  jobs_ = {{"j-1", 2}};
  for (int i = 0; i < 12; ++i) {
    if (i == 6) gone.Deliver(node.core.OnHeartbeat(of_before, now));
    Round(node);
  }
  EXPECT_EQ(CountLiveTasks(), 2U);
  EXPECT_EQ(node.core.GetJobProgress({"j-1"})->running, 2U);
}

// A copy of a `run` from before arrives at the machine that forgot all, which nothing
// shuts out there. The task stays bound to it until a higher token was seen.
TEST_F(QuickRestartTest, DelayedRunAtAMachineThatLostItsStateStartsNothingTwice) {
  FakeWorker& w = AddWorker("m-1");
  AddWorker("m-2");
  AddWorker("m-3");
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 6));
  node.core.Tick(now, wall);
  while (node.WriteOnce(now)) {
  }
  std::deque<magpie::DirectCommand> sent;
  while (auto direct_command = node.core.NextDirectCommand(now)) {
    WorkerOf(direct_command->machine).Take(*direct_command);
    sent.push_back(*direct_command);
    node.core.OnDirectCommandResult(*direct_command, DeliveryStatus::kUnknown, std::nullopt, now);
  }
  ASSERT_EQ(CountLiveTasks(), 6U);
  jobs_ = {{"j-1", 6}};
  for (FakeWorker& per_task : workers_) Heartbeat(node, per_task);
  w.Restart(true);
  for (int i = 0; i < 16; ++i) {
    if (i == 2)
      for (const magpie::DirectCommand& direct_command : sent)
        WorkerOf(direct_command.machine).Take(direct_command);
    Round(node);
  }
  EXPECT_EQ(CountLiveTasks(), 6U);
}

// The other way that the protocol leaves open: numbers and token kept, tasks lost.
TEST_F(QuickRestartTest, MachineThatKeptItsSequenceNumbersRunsItsTasksAgain) {
  FakeWorker& w = AddWorker("m-1");
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 2));
  Settle(node);
  ASSERT_EQ(w.LiveTaskCount(), 2U);
  w.Restart(false);
  Heartbeat(node, w);
  EXPECT_EQ(node.core.GetJobProgress({"j-1"})->running, 0U) << "counts tell the truth meanwhile";
  Settle(node);
  EXPECT_EQ(w.LiveTaskCount(), 2U);
}

}  // namespace
}  // namespace magpie::testing
