// Tests of a controller process or a machine that restarts at once, before any lease expires and
// before its failure is detected. Messages that it sent before the restart may still arrive.
#include "test_cluster.h"

namespace magpie::testing {
namespace {

using Fault = FakeStore::Fault;

class QuickRestartTest : public ClusterTest {
 protected:
  // Delivers direct commands and probes. The controller crashes at the command that
  // commands_until_crash selects. The fault determines whether that command is executed, lost or
  // delayed.
  void DeliverDirectCommands(TestController& controller) {
    while (auto direct_command = controller.core.NextDirectCommand(now)) {
      FakeWorker& worker = WorkerOf(direct_command->machine);
      if (commands_until_crash >= 0 && commands_until_crash-- == 0) {
        if (store.crash_fault == Fault::kLoseResponse) worker.Deliver(*direct_command);
        if (store.crash_fault == Fault::kCommitLate) delayed_commands_.push_back(*direct_command);
        throw FakeStore::Crashed{};
      }
      worker.Deliver(*direct_command);
      controller.core.OnDirectCommandResult(*direct_command, DeliveryStatus::kAnswered,
                                            worker.Snapshot(), now);
    }
    while (auto probe = controller.core.NextProbe(now)) {
      FakeWorker& worker = WorkerOf(probe->machine);
      worker.Deliver(*probe);
      controller.core.OnDirectCommandResult(*probe, DeliveryStatus::kAnswered, worker.Snapshot(),
                                            now);
    }
  }

  FakeWorker& WorkerOf(const MachineId& id) {
    return *std::find_if(workers_.begin(), workers_.end(),
                         [&](const FakeWorker& worker) { return worker.id() == id; });
  }

  void RunRound(TestController& controller) {
    controller.core.Tick(now, wall);
    while (controller.WriteOnce(now)) Check();
    DeliverDirectCommands(controller);
    Check();
    for (FakeWorker& worker : workers_) Heartbeat(controller, worker);
    Check();
    AdvanceTime(0.3);
  }

  // Checks that no task runs twice and that the team blue does not exceed its quota.
  void Check() {
    std::map<TaskId, int> live;
    double blue_cpus = 0;
    for (const FakeWorker& worker : workers_)
      for (const auto& [job, tasks] : jobs_)
        for (std::uint32_t i = 0; i < tasks; ++i)
          if (worker.HasLiveTask(TaskOf(job, i))) {
            EXPECT_EQ(++live[TaskOf(job, i)], 1) << job << "/" << i << " runs twice";
            if (job == "j-2") blue_cpus += 2;
          }
    EXPECT_LE(blue_cpus, 6) << "more CPUs than the team's quota";
    ++checks_;
  }

  // Completes every third task, starting from one that depends on the round.
  void CompleteSomeTasks(int round) {
    for (FakeWorker& worker : workers_)
      for (const auto& [job, tasks] : jobs_)
        for (std::uint32_t i = 0; i < tasks; ++i)
          if ((i + static_cast<std::uint32_t>(round)) % 3 == 0)
            worker.End(TaskOf(job, i), ExitReason::kDone);
  }

  // Runs an empty cluster until all jobs are done. The leader crashes and restarts at the points
  // given by `crashes`: each counts commits or direct commands since the previous one. Returns the
  // number of crashes.
  int RunWithCrashes(const std::vector<int>& crashes, bool at_commits) {
    store = FakeStore{};
    store.crash_fault = fault_;
    controllers_.clear();
    workers_.clear();
    delayed_commands_.clear();
    now = {100};
    for (int i = 0; i < 4; ++i) AddWorker("m-" + std::to_string(i), "small", i < 2 ? "a" : "b");
    jobs_ = {{"j-1", 5}, {"j-2", 5}};
    std::size_t next = 0;
    const auto set_next_crash = [&] {
      const int at = next < crashes.size() ? crashes[next] : -1;
      (at_commits ? store.commits_until_crash : commands_until_crash) = at;
    };
    set_next_crash();
    int crash_count = 0;
    TestController* controller = nullptr;
    const auto is_done = [&](const std::string& state) { return state == "done"; };
    for (int round = 0; round < 80; ++round) {
      try {
        if (controller == nullptr) controller = &RestartController("n0");
        if (!controller->core.leading() && !controller->TakeOver(now)) continue;
        for (const auto& [job, tasks] : jobs_) {
          JobSpec spec = MakeJob(job, tasks);
          if (job == "j-2") spec.team = "blue";
          Submit(*controller, spec);  // repeated in every round, as users may do
        }
        controller->ReadJobs();
        RunRound(*controller);
        CompleteSomeTasks(round);
        if (round % 4 == 3 && !delayed_commands_.empty()) {
          WorkerOf(delayed_commands_.front().machine).Deliver(delayed_commands_.front());
          delayed_commands_.pop_front();
          Check();
        }
        if (round % 4 == 1 && store.has_delayed_transactions()) store.DeliverDelayed();
        if (is_done(controller->State("j-1")) && is_done(controller->State("j-2"))) break;
      } catch (const FakeStore::Crashed&) {
        controller = nullptr;  // restarts in the next round
        ++crash_count;
        ++next;
        set_next_crash();
      }
    }
    store.commits_until_crash = commands_until_crash = -1;
    EXPECT_NE(controller, nullptr);
    if (controller == nullptr) return crash_count;
    EXPECT_EQ(controller->State("j-1"), "done");
    EXPECT_EQ(controller->State("j-2"), "done");
    return crash_count;
  }

  std::map<std::string, std::uint32_t> jobs_;
  std::deque<magpie::DirectCommand> delayed_commands_;
  Fault fault_ = Fault::kNone;
  int commands_until_crash = -1;
  int checks_ = 0;
};

// The leader crashes at each write and each direct command of an election, a takeover and the work
// after it, then at each pair of these that are close together.
TEST_F(QuickRestartTest, LeaderRestartsAtEveryWriteAndCommand) {
  int points = 0;
  for (const bool at_commits : {true, false})
    for (const Fault fault : {Fault::kRefuse, Fault::kLoseResponse, Fault::kCommitLate})
      for (int at = 0;; ++at) {
        const auto run = [&](const std::vector<int>& crashes) {
          SCOPED_TRACE(std::string(at_commits ? "commit " : "command ") + std::to_string(at) +
                       (crashes.size() > 1 ? ", then " + std::to_string(crashes[1]) : "") +
                       ", fault " + std::to_string(static_cast<int>(fault)));
          fault_ = fault;
          return RunWithCrashes(crashes, at_commits);
        };
        if (run({at}) == 0) break;  // all jobs are done before this point
        ++points;
        for (int then = 0; then < 4; ++then) points += run({at, then}) == 2 ? 1 : 0;
        ASSERT_LT(at, 200);
        if (HasFailure()) return;
      }
  EXPECT_GT(points, 300);
  RecordProperty("points", points);
}

// The leader key and the lease of the previous process still exist. The new process must get a new
// epoch. The previous process, if it still runs, cannot write, and workers reject its commands.
TEST_F(QuickRestartTest, LeaderRestartsBeforeOldLeaseExpires) {
  FakeWorker& worker = AddWorker("m-1", "large");
  TestController& old_process = AddController("n0");
  TestController& other = AddController("n1");
  ASSERT_TRUE(old_process.TakeOver(now));
  ASSERT_FALSE(other.TakeOver(now));
  Settle(old_process);
  Run(old_process, MakeJob("j-1", 2));
  old_process.core.Tick(now, wall);
  const WriteBatch batch = old_process.core.NextWriteBatch(now);  // sent later, by the old process
  ASSERT_FALSE(batch.empty());
  TestController& new_process = RestartController("n0");
  ASSERT_TRUE(new_process.TakeOver(now))
      << "the restarted leader does not wait for the old lease to expire";
  EXPECT_GT(new_process.leadership.epoch, old_process.leadership.epoch);
  EXPECT_FALSE(other.TakeOver(now));
  EXPECT_EQ(other.election.view().leader, "n0");
  EXPECT_EQ(store.Commit(records::ToTransaction(batch, old_process.leadership)).status,
            StoreStatus::kConflict);
  Settle(new_process);
  EXPECT_EQ(worker.LiveTaskCount(), 2U);
  EXPECT_FALSE(worker.Deliver(old_process.core.OnHeartbeat(worker.Snapshot(), now)));
}

// All controllers fail at once and restart one after the other. While the old leader's key exists,
// only that controller can be elected again; after its lease expires, another controller can.
TEST_F(QuickRestartTest, AllControllersRestartAtDifferentTimes) {
  TestController& old_leader = AddController("n0");
  ASSERT_TRUE(old_leader.TakeOver(now));
  EXPECT_FALSE(RestartController("n1").TakeOver(now));
  TestController& third = RestartController("n2");
  EXPECT_FALSE(third.TakeOver(now));
  EXPECT_TRUE(RestartController("n0").TakeOver(now));
  EXPECT_FALSE(third.TakeOver(now));
  store.ExpireLeases();
  EXPECT_TRUE(third.TakeOver(now));
}

// A delayed write of an earlier process to its member key or to the leader's key arrives after the
// next process has written its own. It must not restore a key attached to the old lease, which is
// about to expire.
TEST_F(QuickRestartTest, DelayedElectionWritesChangeNothing) {
  store.crash_fault = Fault::kCommitLate;
  for (int at = 0; at < 3; ++at) {
    store.commits_until_crash = at;
    EXPECT_THROW(RestartController("n0").TakeOver(now), FakeStore::Crashed);
  }
  TestController& last = RestartController("n0");
  ASSERT_TRUE(last.TakeOver(now));
  const auto entries_before = store.Range(records::kControlPrefix, "", 10).entries;
  while (store.has_delayed_transactions()) EXPECT_FALSE(store.DeliverDelayed());
  const auto entries_after = store.Range(records::kControlPrefix, "", 10).entries;
  ASSERT_EQ(entries_before.size(), entries_after.size());
  for (std::size_t i = 0; i < entries_after.size(); ++i)
    EXPECT_EQ(entries_before[i].revision, entries_after[i].revision);
}

TEST_F(QuickRestartTest, RepeatedRestartsLeaveNoStaleKeys) {
  std::size_t keys = 0;
  for (int i = 0; i < 50; ++i) {
    const int commits_before = store.commits;
    TestController& controller = RestartController("n0");
    ASSERT_TRUE(controller.TakeOver(now));
    EXPECT_LE(store.commits - commits_before, 3);
    const std::size_t key_count = store.Range("", "", 1000).entries.size();
    if (i > 0) {
      EXPECT_EQ(key_count, keys);
    }
    keys = key_count;
    controllers_.clear();
  }
}

// Users repeat their requests to a restarted process, since the responses of the old process were
// lost.
TEST_F(QuickRestartTest, RepeatedRequestsReturnDurableState) {
  store.crash_fault = Fault::kLoseResponse;
  store.commits_until_crash = 0;
  EXPECT_THROW(Submit(AddController("n0"), MakeJob("j-1")), FakeStore::Crashed);
  TestController& next = RestartController("n0");
  EXPECT_EQ(Submit(next, MakeJob("j-1")), 200) << "the job was accepted before";
  store.commits_until_crash = 0;
  EXPECT_THROW(next.api.Cancel("j-1"), FakeStore::Crashed);
  TestController& third = RestartController("n0");
  EXPECT_EQ(third.State("j-1"), "queued")
      << "tasks are being stopped; the cancellation is not acknowledged";
  store.commits_until_crash = 0;
  EXPECT_THROW(third.api.Cancel("j-1"), FakeStore::Crashed);
  TestController& last = RestartController("n0");
  EXPECT_EQ(last.State("j-1"), "withdrawn");
  EXPECT_EQ(last.api.Cancel("j-1").status, 200);
  EXPECT_EQ(Submit(last, MakeJob("j-1")), 200);
  EXPECT_EQ(last.State("j-1"), "withdrawn");
}

// A machine restarts under the same name, and its worker has lost its state. In an earlier version,
// the worker's messages with low sequence numbers were treated as delayed copies, and its lost
// tasks as running, until its lease would expire. The lease never expired, since its heartbeats got
// responses.
TEST_F(QuickRestartTest, MachineWithLostStateIsDetected) {
  FakeWorker& worker = AddWorker("m-1");
  FakeWorker& other = AddWorker("m-2");
  TestController& controller = AddController("n0");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 2));
  for (int i = 0; i < 3; ++i) RunRound(controller);
  FakeWorker& restarted = worker.LiveTaskCount() > 0 ? worker : other;
  magpie::Heartbeat delayed_heartbeat = restarted.Snapshot();
  delayed_heartbeat.sequence += 5;  // the last one before the restart is still in flight
  restarted.Restart(true);
  jobs_ = {{"j-1", 2}};
  for (int i = 0; i < 12; ++i) {
    if (i == 6) restarted.Deliver(controller.core.OnHeartbeat(delayed_heartbeat, now));
    RunRound(controller);
  }
  EXPECT_EQ(CountLiveTasks(), 2U);
  EXPECT_EQ(controller.core.GetJobProgress({"j-1"})->running, 2U);
}

#ifdef MAGPIE_SAFETY_CHECK_SWITCHES  // direct commands start tasks: direct_start_main.cc

// A copy of a `run` command from before the restart arrives at a worker that has lost its state and
// so does not reject it. The task stays bound to the machine until the worker has seen a higher
// token.
TEST_F(QuickRestartTest, DelayedRunAtMachineWithLostStateStartsNothingTwice) {
  FakeWorker& worker = AddWorker("m-1");
  AddWorker("m-2");
  AddWorker("m-3");
  TestController& controller = AddController("n0");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 6));
  controller.core.Tick(now, wall);
  while (controller.WriteOnce(now)) {
  }
  std::deque<magpie::DirectCommand> sent;
  while (auto direct_command = controller.core.NextDirectCommand(now)) {
    WorkerOf(direct_command->machine).Deliver(*direct_command);
    sent.push_back(*direct_command);
    controller.core.OnDirectCommandResult(*direct_command, DeliveryStatus::kUnknown, std::nullopt,
                                          now);
  }
  ASSERT_EQ(CountLiveTasks(), 6U);
  jobs_ = {{"j-1", 6}};
  for (FakeWorker& worker : workers_) Heartbeat(controller, worker);
  worker.Restart(true);
  for (int i = 0; i < 16; ++i) {
    if (i == 2)
      for (const magpie::DirectCommand& direct_command : sent)
        WorkerOf(direct_command.machine).Deliver(direct_command);
    RunRound(controller);
  }
  EXPECT_EQ(CountLiveTasks(), 6U);
}

#endif

// The other kind of restart that the protocol allows: the worker keeps its sequence numbers and its
// token but loses its tasks.
TEST_F(QuickRestartTest, MachineWithKeptSequenceNumbersRunsTasksAgain) {
  FakeWorker& worker = AddWorker("m-1");
  TestController& controller = AddController("n0");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 2));
  Settle(controller);
  ASSERT_EQ(worker.LiveTaskCount(), 2U);
  worker.Restart(false);
  Heartbeat(controller, worker);
  EXPECT_EQ(controller.core.GetJobProgress({"j-1"})->running, 0U)
      << "the lost tasks are not counted as running";
  Settle(controller);
  EXPECT_EQ(worker.LiveTaskCount(), 2U);
}

}  // namespace
}  // namespace magpie::testing
