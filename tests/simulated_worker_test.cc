// The worker without tasks' work: what its effects do to the tasks and to time.
#include "load_test/simulated_worker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "job_builder.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kRunTime{10};
constexpr Seconds kLease{30};

class Log : public TaskObserver {
 public:
  void OnTaskBegan(const MachineId&, const TaskId& task, Attempt, Instant now) override {
    Record("began", task, now);
  }
  void OnTaskLeft(const MachineId&, const TaskId& task, Attempt, bool completed,
                  Instant now) override {
    Record(completed ? "completed" : "left", task, now);
  }
  std::string Take() { return std::exchange(text_, {}); }

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
    options.fetch_gb_per_s = 0.5;  // the image of 1 GB takes 2 s
    return options;
  }
  void Direct(std::vector<Command> commands) {
    worker.OnDirectCommand(FencingToken{1}, 1, commands, now);
  }
  static Command Run(std::uint32_t index) { return {CommandKind::kRun, {{"j-1"}, index}, {1}, {}}; }
  static Command Stop(std::uint32_t index, Seconds termination_grace_period) {
    return {CommandKind::kStop, {{"j-1"}, index}, {1}, termination_grace_period};
  }
  // Time passes by whenever the worker asks to be woken.
  void Until(double seconds) {
    const Instant end{seconds};
    while (worker.Wake() < end && now < end) {
      now = std::max(now + Seconds{0.001}, worker.Wake());
      worker.Advance(now);
      if (worker.NextHeartbeat(now) && answers)
        worker.OnAnswer({agent::Answer::Kind::kOk, FencingToken{1}, std::nullopt, {}}, now);
    }
    now = end;
    worker.Advance(now);
  }

  JobLedger ledger;
  Log log;
  bool answers = true;
  Instant now{0};
  SimulatedWorker worker{DefaultOptions(), ledger, log, now};
};

TEST_F(SimulatedWorkerTest, TasksFetchRunAndEndInTheirTime) {
  Direct({Run(0), Run(1)});
  Until(1);
  EXPECT_EQ(log.Take(), "");
  Until(5);
  EXPECT_EQ(log.Take(), "began 0 at 2, began 1 at 2") << "one fetch serves both";
  Until(20);
  EXPECT_EQ(log.Take(), "completed 0 at 12, completed 1 at 12");
  for (const TaskStatus& task : worker.Inspect(now).tasks)
    EXPECT_EQ(task.reason, ExitReason::kDone);
}

TEST_F(SimulatedWorkerTest, StopsSaveOrKill) {
  Direct({Run(0), Run(1)});
  Until(5);
  log.Take();
  Direct({Stop(0, {10}), Stop(1, {0})});
  EXPECT_EQ(log.Take(), "left 1 at 5");
  Until(8);
  EXPECT_EQ(log.Take(), "left 0 at 7") << "saved in two seconds";
}

TEST_F(SimulatedWorkerTest, ExpiredLeaseEndsAllTasks) {
  JobSpec spec = testing::MakeJob("j-2", 1);
  ledger.Add({spec, {1000}, 0});
  Until(1);
  worker.OnDirectCommand(FencingToken{1}, 1, {{CommandKind::kRun, {{"j-2"}, 0}, {1}, {}}}, now);
  Until(5);
  log.Take();
  answers = false;
  Until(40);
  const std::string ended = log.Take();
  EXPECT_TRUE(ended.starts_with("left 0 at 3")) << ended;
  EXPECT_EQ(worker.running(), 0U);
}

TEST_F(SimulatedWorkerTest, LostMachineLosesItsTasks) {
  Direct({Run(0)});
  Until(5);
  log.Take();
  worker.Perish(now);
  EXPECT_EQ(log.Take(), "left 0 at 5");
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
