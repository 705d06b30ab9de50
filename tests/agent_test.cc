// Tests of the worker's side of the protocol.
#include <gtest/gtest.h>

#include <algorithm>

#include "agent/worker.h"

namespace magpie::agent {
namespace {

using Kind = Effect::Kind;

class WorkerTest : public ::testing::Test {
 protected:
  static Worker::Options DefaultOptions() {
    Worker::Options options;
    options.machine = {"m-1"};
    options.capacity = {8, 0, 32};
    options.cache_gb = 10;
    options.heartbeat_interval = {4};
    options.lease = {30};
    options.nodes = {"n0", "n1", "n2"};
    return options;
  }
  static TaskId TaskOf(std::uint32_t index, const std::string& job = "j-1") {
    return {{job}, index};
  }
  static Command RunCommand(const TaskId& task, std::uint64_t attempt = 1) {
    return {CommandKind::kRun, task, {attempt}, {}};
  }
  static Command StopCommand(const TaskId& task, double termination_grace_period,
                             std::uint64_t attempt = 1) {
    return {CommandKind::kStop, task, {attempt}, {termination_grace_period}};
  }
  static Command ForgetCommand(const TaskId& task, std::uint64_t attempt = 1) {
    return {CommandKind::kForget, task, {attempt}, {}};
  }
  static JobDescription MakeDescription(double cpus = 2, const std::string& image = "img") {
    return {{cpus, 0, 1}, image, 4, {0}, {0}};
  }
  static Answer OkAnswer(std::uint64_t token, std::vector<Command> commands = {}) {
    return {Answer::Kind::kOk, FencingToken{token}, std::nullopt, std::move(commands)};
  }

  // Advances the time to the next heartbeat, sends it and delivers the response.
  void ExchangeHeartbeat(const Answer& answer) {
    now = std::max(now, worker.NextWakeup());
    ASSERT_TRUE(worker.NextHeartbeat(now));
    worker.OnAnswer(answer, now);
  }
  // Starts a task and waits until it runs.
  void StartTask(const TaskId& task, const JobDescription& job = MakeDescription()) {
    ExchangeHeartbeat(OkAnswer(1, {RunCommand(task)}));
    worker.OnDescription(task.job, job);
    worker.OnImage(job.image, true);
    ASSERT_EQ(StateOf(task), TaskState::kRunning);
    worker.TakeEffects();
  }
  std::optional<TaskStatus> FindStatus(const TaskId& task, std::uint64_t attempt = 1) {
    for (const TaskStatus& status : worker.Inspect().tasks)
      if (status.task == task && status.attempt.value == attempt) return status;
    return std::nullopt;
  }
  std::optional<TaskState> StateOf(const TaskId& task) {
    const auto status = FindStatus(task);
    return status ? std::optional(status->state) : std::nullopt;
  }
  ExitReason ReasonOf(const TaskId& task, std::uint64_t attempt = 1) {
    const auto status = FindStatus(task, attempt);
    return status ? status->reason : ExitReason::kNone;
  }
  int TakeEffectCount(Kind kind) {
    const std::vector<Effect> effects = worker.TakeEffects();
    return static_cast<int>(std::count_if(
        effects.begin(), effects.end(), [&](const Effect& effect) { return effect.kind == kind; }));
  }

  double random_value = 0.5;
  Instant now{100};
  Worker worker{DefaultOptions(), {}, [this] { return random_value; }, now};
};

TEST_F(WorkerTest, KeepsSingleHeartbeatInFlightAndMinimumGap) {
  ASSERT_TRUE(worker.NextHeartbeat(now));
  EXPECT_FALSE(worker.NextHeartbeat(now + Seconds{3})) << "the first heartbeat is in flight";
  worker.OnAnswer(OkAnswer(1, {RunCommand(TaskOf(0))}), now + Seconds{0.1});
  EXPECT_FALSE(worker.NextHeartbeat(now + Seconds{0.4}));
  EXPECT_EQ(worker.NextWakeup(), now + Seconds{0.5});
  EXPECT_TRUE(worker.NextHeartbeat(now + Seconds{0.5})) << "a new task triggers a heartbeat";
  worker.OnAnswer(OkAnswer(1), now + Seconds{0.6});
  EXPECT_FALSE(worker.NextHeartbeat(now + Seconds{4.4})) << "no change, so the interval applies";
  EXPECT_TRUE(worker.NextHeartbeat(now + Seconds{4.5}));
}

TEST_F(WorkerTest, HeartbeatIntervalVariesByQuarter) {
  for (const auto& [random_number, gap] : {std::pair{0.0, 3.0}, {1.0, 5.0}}) {
    random_value = random_number;
    ExchangeHeartbeat(OkAnswer(1));
    ExchangeHeartbeat(OkAnswer(1));
    EXPECT_NEAR((worker.NextWakeup() - now).value, gap, 1e-9);
  }
}

TEST_F(WorkerTest, FollowsRedirectOrTriesNextController) {
  EXPECT_EQ(worker.NextHeartbeat(now)->node, "n0");
  worker.OnAnswer({Answer::Kind::kRedirected, {}, "n2", {}}, now);
  EXPECT_LE(worker.NextWakeup(), now + Seconds{0.5});
  now = worker.NextWakeup();
  EXPECT_EQ(worker.NextHeartbeat(now)->node, "n2");
  // After a redirect to the same controller, to no or to an unknown one, and after a failure, the
  // worker tries the next controller 1 s later.
  const std::vector<Answer> unusable_answers = {{Answer::Kind::kRedirected, {}, "n2", {}},
                                                {Answer::Kind::kRedirected, {}, std::nullopt, {}},
                                                {Answer::Kind::kRedirected, {}, "n9", {}},
                                                {Answer::Kind::kFailed, {}, std::nullopt, {}}};
  const std::vector<std::string> next = {"n0", "n1", "n2", "n0"};
  for (std::size_t i = 0; i < unusable_answers.size(); ++i) {
    worker.OnAnswer(unusable_answers[i], now);
    EXPECT_FALSE(worker.NextHeartbeat(now + Seconds{0.99}));
    now = now + Seconds{1};
    EXPECT_EQ(worker.NextHeartbeat(now)->node, next[i]);
  }
}

TEST_F(WorkerTest, DroppedResponseExecutesNothingAndRenewsNoLease) {
  ExchangeHeartbeat(OkAnswer(5));
  const Instant renewed = now;
  ExchangeHeartbeat(OkAnswer(4, {RunCommand(TaskOf(0))}));
  ExchangeHeartbeat({Answer::Kind::kOk, std::nullopt, std::nullopt, {RunCommand(TaskOf(1))}});
  EXPECT_TRUE(worker.Inspect().tasks.empty());
  EXPECT_EQ(worker.token().value, 5U);
  worker.CheckLease(renewed + Seconds{30});
  EXPECT_EQ(worker.agent_epoch(), 1U);
  worker.CheckLease(renewed + Seconds{30.1});
  EXPECT_EQ(worker.agent_epoch(), 2U) << "the lease runs from the last accepted response";
}

// The lease runs from the time the heartbeat was sent, regardless of when the response arrives.
TEST_F(WorkerTest, LateResponseRenewsLeaseFromHeartbeatSendTime) {
  ASSERT_TRUE(worker.NextHeartbeat(now));
  worker.OnAnswer(OkAnswer(1), now + Seconds{3.9});
  worker.CheckLease(now + Seconds{30});
  EXPECT_EQ(worker.agent_epoch(), 1U);
  worker.CheckLease(now + Seconds{30.1});
  EXPECT_EQ(worker.agent_epoch(), 2U);
}

TEST_F(WorkerTest, ResponseToEarlierAgentEpochIsDropped) {
  ExchangeHeartbeat(OkAnswer(1));
  now = now + Seconds{29};
  ASSERT_TRUE(worker.NextHeartbeat(now));
  worker.OnAnswer(OkAnswer(9, {RunCommand(TaskOf(0))}), now + Seconds{2});
  EXPECT_EQ(worker.agent_epoch(), 2U);
  EXPECT_EQ(worker.token().value, 1U);
  EXPECT_TRUE(worker.Inspect().tasks.empty());
}

// A process killed at the end of a lease may still be alive. Starting its task again at once would
// run the task twice.
TEST_F(WorkerTest, StartIsRejectedUntilFormerProcessExits) {
  StartTask(TaskOf(0), MakeDescription(6));
  now = now + Seconds{31};
  worker.CheckLease(now);
  EXPECT_EQ(TakeEffectCount(Kind::kKill), 1);
  EXPECT_TRUE(worker.Inspect().tasks.empty()) << "killed tasks are no longer reported";
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(0), 2), RunCommand(TaskOf(1))}));
  worker.OnDescription({"j-1"}, MakeDescription(6));
  EXPECT_EQ(ReasonOf(TaskOf(0), 2), ExitReason::kBusy);
  EXPECT_EQ(ReasonOf(TaskOf(1)), ExitReason::kInsufficientCapacity)
      << "the former process still uses its capacity";
  worker.OnExit(TaskOf(0), {1}, Outcome::kKilled);
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(0), 3)}));
  worker.OnDescription({"j-1"}, MakeDescription(6));
  EXPECT_EQ(StateOf(TaskOf(0)), std::nullopt);
  EXPECT_EQ(FindStatus(TaskOf(0), 3)->state, TaskState::kRunning);
}

TEST_F(WorkerTest, RejectsStartsForEachReason) {
  StartTask(TaskOf(0), MakeDescription(6));
  ExchangeHeartbeat(
      OkAnswer(1, {RunCommand(TaskOf(0), 2), RunCommand(TaskOf(1)), RunCommand(TaskOf(0, "j-9"))}));
  worker.OnDescription({"j-1"}, MakeDescription(6));
  worker.OnDescription({"j-9"}, std::nullopt);
  EXPECT_EQ(ReasonOf(TaskOf(0), 2), ExitReason::kBusy);
  EXPECT_EQ(ReasonOf(TaskOf(1)), ExitReason::kInsufficientCapacity);
  EXPECT_EQ(ReasonOf(TaskOf(0, "j-9")), ExitReason::kUnknown);
  EXPECT_EQ(StateOf(TaskOf(0)), TaskState::kRunning) << "the running task is not affected";
  EXPECT_EQ(TakeEffectCount(Kind::kStart), 0);
}

TEST_F(WorkerTest, FetchingTasksUseCapacity) {
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(0)), RunCommand(TaskOf(1))}));
  worker.OnDescription({"j-1"}, MakeDescription(5));
  EXPECT_EQ(StateOf(TaskOf(0)), TaskState::kFetching);
  EXPECT_EQ(ReasonOf(TaskOf(1)), ExitReason::kInsufficientCapacity);
}

TEST_F(WorkerTest, RepeatedRunCommandIsIgnoredUntilTaskIsForgotten) {
  StartTask(TaskOf(0));
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(0))}));
  EXPECT_TRUE(worker.TakeEffects().empty());
  ExchangeHeartbeat(OkAnswer(1, {ForgetCommand(TaskOf(0))}));
  EXPECT_EQ(StateOf(TaskOf(0)), TaskState::kRunning) << "only ended tasks are forgotten";
  worker.OnExit(TaskOf(0), {1}, Outcome::kFailed);
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(0))}));
  EXPECT_EQ(ReasonOf(TaskOf(0)), ExitReason::kError)
      << "a repeated run command is ignored after the exit too";
  ExchangeHeartbeat(OkAnswer(1, {ForgetCommand(TaskOf(0)), RunCommand(TaskOf(0))}));
  worker.OnDescription({"j-1"}, MakeDescription());
  EXPECT_EQ(StateOf(TaskOf(0)), TaskState::kRunning)
      << "the task is forgotten first and then started again";
}

TEST_F(WorkerTest, ReportsStopOnlyAfterProcessExits) {
  StartTask(TaskOf(0));
  ExchangeHeartbeat(OkAnswer(1, {StopCommand(TaskOf(0), 10)}));
  EXPECT_EQ(TakeEffectCount(Kind::kKill), 1) << "the task has no checkpoints";
  EXPECT_EQ(StateOf(TaskOf(0)), TaskState::kRunning);
  ExchangeHeartbeat(OkAnswer(1, {StopCommand(TaskOf(0), 0)}));
  EXPECT_EQ(TakeEffectCount(Kind::kKill), 0) << "the process was already killed";
  worker.OnExit(TaskOf(0), {1}, Outcome::kKilled);
  EXPECT_EQ(ReasonOf(TaskOf(0)), ExitReason::kStopped);
  EXPECT_FALSE(FindStatus(TaskOf(0))->saved);
}

TEST_F(WorkerTest, StopSavesWithinGracePeriodAndStopWithoutGraceKills) {
  JobDescription job = MakeDescription();
  job.checkpoint_interval = {10};
  job.save_duration = {2};
  StartTask(TaskOf(0), job);
  StartTask(TaskOf(1), job);
  StartTask(TaskOf(2), job);
  ExchangeHeartbeat(OkAnswer(
      1, {StopCommand(TaskOf(0), 2), StopCommand(TaskOf(1), 2), StopCommand(TaskOf(2), 1.9)}));
  EXPECT_EQ(StateOf(TaskOf(0)), TaskState::kSaving);
  EXPECT_EQ(TakeEffectCount(Kind::kKill), 1)
      << "only the task with too short a grace period is killed";
  worker.OnExit(TaskOf(0), {1}, Outcome::kSaved);
  EXPECT_TRUE(FindStatus(TaskOf(0))->saved);
  ExchangeHeartbeat(OkAnswer(1, {StopCommand(TaskOf(1), 5)}));
  EXPECT_EQ(TakeEffectCount(Kind::kKill), 0);
  ExchangeHeartbeat(OkAnswer(1, {StopCommand(TaskOf(1), 0)}));
  EXPECT_EQ(TakeEffectCount(Kind::kKill), 1);
  worker.OnExit(TaskOf(1), {1}, Outcome::kKilled);
  EXPECT_EQ(ReasonOf(TaskOf(1)), ExitReason::kStopped);
  EXPECT_FALSE(FindStatus(TaskOf(1))->saved);
}

TEST_F(WorkerTest, ResultCountsDespiteStopCommand) {
  StartTask(TaskOf(0));
  ExchangeHeartbeat(OkAnswer(1, {StopCommand(TaskOf(0), 0)}));
  worker.OnExit(TaskOf(0), {1}, Outcome::kDone);
  EXPECT_EQ(ReasonOf(TaskOf(0)), ExitReason::kDone);
}

// Once a task has completed, it is never run again, even if its lease expired before it completed.
TEST_F(WorkerTest, CompletedTaskIsNotRunAgain) {
  StartTask(TaskOf(0));
  now = now + Seconds{31};
  worker.CheckLease(now);
  worker.OnExit(TaskOf(0), {1}, Outcome::kDone);
  worker.TakeEffects();
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(0), 2)}));
  worker.OnDescription({"j-1"}, MakeDescription());
  EXPECT_EQ(ReasonOf(TaskOf(0), 2), ExitReason::kDone);
  EXPECT_EQ(TakeEffectCount(Kind::kStart), 0);
}

TEST_F(WorkerTest, ImageIsFetchedOnceAndCancelledWithLastWaitingTask) {
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(0)), RunCommand(TaskOf(1))}));
  worker.OnDescription({"j-1"}, MakeDescription());
  EXPECT_EQ(TakeEffectCount(Kind::kFetch), 1);
  ExchangeHeartbeat(OkAnswer(1, {StopCommand(TaskOf(0), 0)}));
  EXPECT_EQ(ReasonOf(TaskOf(0)), ExitReason::kStopped);
  EXPECT_EQ(TakeEffectCount(Kind::kCancelFetch), 0);
  ExchangeHeartbeat(OkAnswer(1, {StopCommand(TaskOf(1), 0)}));
  EXPECT_EQ(TakeEffectCount(Kind::kCancelFetch), 1);
  worker.OnImage("img", true);  // the fetch completed before the cancellation took effect
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(2))}));
  worker.OnDescription({"j-1"}, MakeDescription());
  EXPECT_EQ(TakeEffectCount(Kind::kFetch), 1) << "the image is fetched again";
  worker.OnImage("img", false);
  EXPECT_EQ(ReasonOf(TaskOf(2)), ExitReason::kError);
}

TEST_F(WorkerTest, EvictsLeastRecentlyUsedImagesThatAreNotInUse) {
  StartTask(TaskOf(0, "j-1"), MakeDescription(2, "one"));
  StartTask(TaskOf(0, "j-2"), MakeDescription(2, "two"));
  StartTask(TaskOf(0, "j-3"), MakeDescription(2, "three"));  // 12 GB in a 10 GB cache, all in use
  worker.OnExit(TaskOf(0, "j-2"), {1}, Outcome::kDone);
  worker.OnExit(TaskOf(0, "j-3"), {1}, Outcome::kDone);
  ExchangeHeartbeat(OkAnswer(1, {RunCommand(TaskOf(0, "j-4"))}));
  worker.OnDescription({"j-4"}, MakeDescription(2, "four"));
  std::vector<std::string> evicted;
  for (const Effect& effect : worker.TakeEffects())
    if (effect.kind == Kind::kEvictImage) evicted.push_back(effect.image);
  EXPECT_EQ(evicted, (std::vector<std::string>{"two", "three"}));
}

TEST_F(WorkerTest, DirectCommandsRequireTokenAndEpochAndRenewNoLease) {
  ExchangeHeartbeat(OkAnswer(5));
  const Instant renewed = now;
  EXPECT_EQ(worker.OnDirectCommand({}, 1, {RunCommand(TaskOf(0))}, now).status, 400);
  EXPECT_EQ(worker.OnDirectCommand(FencingToken{5}, {}, {RunCommand(TaskOf(0))}, now).status, 400);
  EXPECT_EQ(worker.OnDirectCommand(FencingToken{4}, 1, {RunCommand(TaskOf(0))}, now).status, 409);
  EXPECT_EQ(worker.OnDirectCommand(FencingToken{5}, 2, {RunCommand(TaskOf(0))}, now).status, 409);
  EXPECT_TRUE(worker.Inspect().tasks.empty());
  const DirectCommandReply reply =
      worker.OnDirectCommand(FencingToken{6}, 1, {RunCommand(TaskOf(0))}, now + Seconds{20});
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.heartbeat.tasks.size(), 1U);
  EXPECT_EQ(reply.heartbeat.token.value, 6U);
  worker.CheckLease(renewed + Seconds{30.1});
  EXPECT_EQ(worker.agent_epoch(), 2U);
  EXPECT_EQ(worker.OnDirectCommand(FencingToken{6}, 1, {RunCommand(TaskOf(1))}, now).status, 409)
      << "the command arrived after its agent epoch ended";
}

// Controllers that compete for the leadership must not make all workers send heartbeats
// continuously.
TEST_F(WorkerTest, HigherTokenTriggersHeartbeatOncePerHalfLease) {
  ExchangeHeartbeat(OkAnswer(1));
  ExchangeHeartbeat(OkAnswer(1));  // this heartbeat reports token 1
  worker.OnDirectCommand(FencingToken{2}, 1, {}, now);
  EXPECT_GT(worker.NextWakeup(), now + Seconds{0.5}) << "token 1 was reported just now";
  worker.OnDirectCommand(FencingToken{3}, 1, {}, now + Seconds{15});
  EXPECT_EQ(worker.NextWakeup(), now + Seconds{0.5});
}

TEST_F(WorkerTest, SequenceNumbersIncrease) {
  std::uint64_t last = 0;
  for (int i = 0; i < 3; ++i) {
    const std::uint64_t direct =
        worker.OnDirectCommand(FencingToken{1}, 1, {}, now).heartbeat.sequence;
    const std::uint64_t inspected = worker.Inspect().sequence;
    EXPECT_GT(direct, last);
    EXPECT_GT(inspected, direct);
    last = inspected;
  }
}

TEST(WorkerRestartTest, EpochSequenceNumberAndTokenNeverDecrease) {
  Worker::Options options;
  options.nodes = {"n0"};
  Worker worker(options, {7, 900, {41}, {{{"j-1"}, 0}}}, [] { return 0.5; }, {0});
  const Heartbeat heartbeat = worker.NextHeartbeat({0})->heartbeat;
  EXPECT_EQ(heartbeat.agent_epoch, 8U);
  EXPECT_GT(heartbeat.sequence, 900U);
  EXPECT_EQ(heartbeat.token.value, 41U);
}

}  // namespace
}  // namespace magpie::agent
