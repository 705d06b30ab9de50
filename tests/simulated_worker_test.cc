// Tests of the simulated worker: the times at which its tasks start and end.
#include "load_test/simulated_worker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "job_builder.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kRunTime{10};
constexpr Seconds kLease{30};

class EventLog : public TaskObserver {
 public:
  void OnTaskStarted(const MachineId&, const TaskId& task, Attempt, Instant now) override {
    Record("began", task, now);
  }
  void OnTaskEnded(const MachineId&, const TaskId& task, Attempt, bool completed,
                   Instant now) override {
    Record(completed ? "completed" : "left", task, now);
  }
  std::string TakeText() { return std::exchange(text_, {}); }

 private:
  void Record(const char* what, const TaskId& task, Instant now) {
    if (!text_.empty()) text_ += ", ";
    text_ += std::string(what) + " " + std::to_string(task.index) + " at " +
             std::to_string(static_cast<int>(now.value));
  }
  std::string text_;
};

class SimulatedWorkerTest : public ::testing::Test {
 protected:
  SimulatedWorkerTest() {
    JobSpec spec = testing::MakeJob("j-1", 4);
    spec.save_duration = {2};
    spec.checkpoint_interval = {5};
    ledger.Add({spec, kRunTime, 0});
  }
  static SimulatedWorker::Options DefaultOptions() {
    SimulatedWorker::Options options;
    options.agent.machine = {"m-1"};
    options.agent.capacity = {8, 0, 64};
    options.agent.cache_gb = 10;
    options.agent.lease = kLease;
    options.agent.nodes = {"n0"};
    options.fetch_gb_per_s = 0.5;  // fetching the image of 1 GB takes 2 s
    return options;
  }
  void SendCommands(std::vector<Command> commands) {
    worker.OnDirectCommand(FencingToken{1}, 1, commands, now);
  }
  static Command RunCommand(std::uint32_t index) {
    return {CommandKind::kRun, {{"j-1"}, index}, {1}, {}};
  }
  static Command StopCommand(std::uint32_t index, Seconds termination_grace_period) {
    return {CommandKind::kStop, {{"j-1"}, index}, {1}, termination_grace_period};
  }
  // Advances the time to `seconds`, from one wakeup of the worker to the next.
  void AdvanceUntil(double seconds) {
    const Instant end{seconds};
    while (worker.NextWakeup() < end && now < end) {
      now = std::max(now + Seconds{0.001}, worker.NextWakeup());
      worker.Advance(now);
      if (worker.NextHeartbeat(now) && answers_heartbeats)
        worker.OnAnswer({agent::Answer::Kind::kOk, FencingToken{1}, std::nullopt, {}}, now);
    }
    now = end;
    worker.Advance(now);
  }

  JobLedger ledger;
  EventLog log;
  bool answers_heartbeats = true;
  Instant now{0};
  SimulatedWorker worker{DefaultOptions(), ledger, log, now};
};

TEST_F(SimulatedWorkerTest, TasksFetchImageRunAndCompleteOnTime) {
  SendCommands({RunCommand(0), RunCommand(1)});
  AdvanceUntil(1);
  EXPECT_EQ(log.TakeText(), "");
  AdvanceUntil(5);
  EXPECT_EQ(log.TakeText(), "began 0 at 2, began 1 at 2") << "one fetch serves both tasks";
  AdvanceUntil(20);
  EXPECT_EQ(log.TakeText(), "completed 0 at 12, completed 1 at 12");
  for (const TaskStatus& task : worker.Inspect(now).tasks)
    EXPECT_EQ(task.reason, ExitReason::kDone);
}

TEST_F(SimulatedWorkerTest, StopSavesWithinGracePeriodAndKillsWithout) {
  SendCommands({RunCommand(0), RunCommand(1)});
  AdvanceUntil(5);
  log.TakeText();
  SendCommands({StopCommand(0, {10}), StopCommand(1, {0})});
  EXPECT_EQ(log.TakeText(), "left 1 at 5");
  AdvanceUntil(8);
  EXPECT_EQ(log.TakeText(), "left 0 at 7") << "saving takes two seconds";
}

TEST_F(SimulatedWorkerTest, ExpiredLeaseEndsAllTasks) {
  JobSpec spec = testing::MakeJob("j-2", 1);
  ledger.Add({spec, {1000}, 0});
  AdvanceUntil(1);
  worker.OnDirectCommand(FencingToken{1}, 1, {{CommandKind::kRun, {{"j-2"}, 0}, {1}, {}}}, now);
  AdvanceUntil(5);
  log.TakeText();
  answers_heartbeats = false;
  AdvanceUntil(40);
  const std::string ended = log.TakeText();
  EXPECT_TRUE(ended.starts_with("left 0 at 3")) << ended;
  EXPECT_EQ(worker.running(), 0U);
}

TEST_F(SimulatedWorkerTest, PowerOffEndsRunningTasks) {
  SendCommands({RunCommand(0)});
  AdvanceUntil(5);
  log.TakeText();
  worker.PowerOff(now);
  EXPECT_EQ(log.TakeText(), "left 0 at 5");
}

TEST(JobLedgerTest, TaskRunTimesVaryDeterministically) {
  SubmittedJob job{testing::MakeJob("j-1", 100), {10}, 0.5};
  double sum = 0;
  for (std::uint32_t task = 0; task < 100; ++task) {
    const Seconds time = RunTimeOf(job, task);
    EXPECT_GE(time.value, 5);
    EXPECT_LE(time.value, 15);
    EXPECT_EQ(time, RunTimeOf(job, task));
    sum += time.value;
  }
  EXPECT_NEAR(sum / 100, 10, 1);
}

}  // namespace
}  // namespace magpie::load_test
