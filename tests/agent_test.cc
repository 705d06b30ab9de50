// Stories of the worker's side of the protocol.
#include <gtest/gtest.h>

#include <algorithm>

#include "agent/worker.h"

namespace magpie::agent {
namespace {

using Kind = Effect::Kind;

class WorkerTest : public ::testing::Test {
 protected:
  static Worker::Options DefaultOptions() {
    Worker::Options o;
    o.machine = {"m-1"};
    o.capacity = {8, 0, 32};
    o.cache_gb = 10;
    o.heartbeat_interval = {4};
    o.lease = {30};
    o.nodes = {"n0", "n1", "n2"};
    return o;
  }
  static TaskId T(std::uint32_t index, const std::string& job = "j-1") { return {{job}, index}; }
  static Command RunOf(const TaskId& task, std::uint64_t attempt = 1) {
    return {CommandKind::kRun, task, {attempt}, {}};
  }
  static Command StopOf(const TaskId& task, double termination_grace_period,
                        std::uint64_t attempt = 1) {
    return {CommandKind::kStop, task, {attempt}, {termination_grace_period}};
  }
  static Command ForgetOf(const TaskId& task, std::uint64_t attempt = 1) {
    return {CommandKind::kForget, task, {attempt}, {}};
  }
  static JobDescription Job(double cpus = 2, const std::string& image = "img") {
    return {{cpus, 0, 1}, image, 4, {0}, {0}};
  }
  static Answer Ok(std::uint64_t token, std::vector<Command> commands = {}) {
    return {Answer::Kind::kOk, FencingToken{token}, std::nullopt, std::move(commands)};
  }

  // One report and its answer, as soon as one is due.
  void Exchange(const Answer& answer) {
    now = std::max(now, worker.NextWakeup());
    ASSERT_TRUE(worker.NextHeartbeat(now));
    worker.OnAnswer(answer, now);
  }
  // A task of 2 CPUs that runs.
  void Started(const TaskId& task, const JobDescription& job = Job()) {
    Exchange(Ok(1, {RunOf(task)}));
    worker.OnDescription(task.job, job);
    worker.OnImage(job.image, true);
    ASSERT_EQ(State(task), TaskState::kRunning);
    worker.TakeEffects();
  }
  std::optional<TaskStatus> Seen(const TaskId& task, std::uint64_t attempt = 1) {
    for (const TaskStatus& t : worker.Inspect().tasks)
      if (t.task == task && t.attempt.value == attempt) return t;
    return std::nullopt;
  }
  std::optional<TaskState> State(const TaskId& task) {
    const auto t = Seen(task);
    return t ? std::optional(t->state) : std::nullopt;
  }
  ExitReason Cause(const TaskId& task, std::uint64_t attempt = 1) {
    const auto t = Seen(task, attempt);
    return t ? t->reason : ExitReason::kNone;
  }
  int Asked(Kind kind) {
    const std::vector<Effect> effects = worker.TakeEffects();
    return static_cast<int>(std::count_if(effects.begin(), effects.end(),
                                          [&](const Effect& e) { return e.kind == kind; }));
  }

  double dice = 0.5;
  Instant now{100};
  Worker worker{DefaultOptions(), {}, [this] { return dice; }, now};
};

TEST_F(WorkerTest, SendsOneHeartbeatAtATimeHalfASecondApart) {
  ASSERT_TRUE(worker.NextHeartbeat(now));
  EXPECT_FALSE(worker.NextHeartbeat(now + Seconds{3})) << "the first is on its way";
  worker.OnAnswer(Ok(1, {RunOf(T(0))}), now + Seconds{0.1});
  EXPECT_FALSE(worker.NextHeartbeat(now + Seconds{0.4}));
  EXPECT_EQ(worker.NextWakeup(), now + Seconds{0.5});
  EXPECT_TRUE(worker.NextHeartbeat(now + Seconds{0.5})) << "a task is a change";
  worker.OnAnswer(Ok(1), now + Seconds{0.6});
  EXPECT_FALSE(worker.NextHeartbeat(now + Seconds{4.4})) << "without a change, as it is due";
  EXPECT_TRUE(worker.NextHeartbeat(now + Seconds{4.5}));
}

TEST_F(WorkerTest, HeartbeatIntervalVariesByAQuarter) {
  for (const auto& [roll, gap] : {std::pair{0.0, 3.0}, {1.0, 5.0}}) {
    dice = roll;
    Exchange(Ok(1));
    Exchange(Ok(1));
    EXPECT_NEAR((worker.NextWakeup() - now).value, gap, 1e-9);
  }
}

TEST_F(WorkerTest, FollowsRedirectsAndElseTriesTheNextController) {
  EXPECT_EQ(worker.NextHeartbeat(now)->node, "n0");
  worker.OnAnswer({Answer::Kind::kRedirected, {}, "n2", {}}, now);
  EXPECT_LE(worker.NextWakeup(), now + Seconds{0.5});
  now = worker.NextWakeup();
  EXPECT_EQ(worker.NextHeartbeat(now)->node, "n2");
  // Itself, nobody, one that it does not know, and no answer: the next one, 1 s later.
  const std::vector<Answer> useless = {{Answer::Kind::kRedirected, {}, "n2", {}},
                                       {Answer::Kind::kRedirected, {}, std::nullopt, {}},
                                       {Answer::Kind::kRedirected, {}, "n9", {}},
                                       {Answer::Kind::kFailed, {}, std::nullopt, {}}};
  const std::vector<std::string> next = {"n0", "n1", "n2", "n0"};
  for (std::size_t i = 0; i < useless.size(); ++i) {
    worker.OnAnswer(useless[i], now);
    EXPECT_FALSE(worker.NextHeartbeat(now + Seconds{0.99}));
    now = now + Seconds{1};
    EXPECT_EQ(worker.NextHeartbeat(now)->node, next[i]);
  }
}

TEST_F(WorkerTest, DroppedResponseNeitherCommandsNorRenewsTheLease) {
  Exchange(Ok(5));
  const Instant renewed = now;
  Exchange(Ok(4, {RunOf(T(0))}));
  Exchange({Answer::Kind::kOk, std::nullopt, std::nullopt, {RunOf(T(1))}});
  EXPECT_TRUE(worker.Inspect().tasks.empty());
  EXPECT_EQ(worker.token().value, 5U);
  worker.CheckLease(renewed + Seconds{30});
  EXPECT_EQ(worker.agent_epoch(), 1U);
  worker.CheckLease(renewed + Seconds{30.1});
  EXPECT_EQ(worker.agent_epoch(), 2U) << "counted from the last answer that held";
}

// The lease is counted from when the report was sent, however late its answer is.
TEST_F(WorkerTest, LateResponseRenewsTheLeaseFromItsHeartbeat) {
  ASSERT_TRUE(worker.NextHeartbeat(now));
  worker.OnAnswer(Ok(1), now + Seconds{3.9});
  worker.CheckLease(now + Seconds{30});
  EXPECT_EQ(worker.agent_epoch(), 1U);
  worker.CheckLease(now + Seconds{30.1});
  EXPECT_EQ(worker.agent_epoch(), 2U);
}

TEST_F(WorkerTest, ResponseToAnEarlierEpochIsDropped) {
  Exchange(Ok(1));
  now = now + Seconds{29};
  ASSERT_TRUE(worker.NextHeartbeat(now));
  worker.OnAnswer(Ok(9, {RunOf(T(0))}), now + Seconds{2});
  EXPECT_EQ(worker.agent_epoch(), 2U);
  EXPECT_EQ(worker.token().value, 1U);
  EXPECT_TRUE(worker.Inspect().tasks.empty());
}

// What was killed at the end of a lease may be dying still: were its task started
// again at once, two of them would live.
TEST_F(WorkerTest, StartsNothingUntilTheFormerProcessIsDead) {
  Started(T(0), Job(6));
  now = now + Seconds{31};
  worker.CheckLease(now);
  EXPECT_EQ(Asked(Kind::kKill), 1);
  EXPECT_TRUE(worker.Inspect().tasks.empty()) << "killed and forgotten";
  Exchange(Ok(1, {RunOf(T(0), 2), RunOf(T(1))}));
  worker.OnDescription({"j-1"}, Job(6));
  EXPECT_EQ(Cause(T(0), 2), ExitReason::kBusy);
  EXPECT_EQ(Cause(T(1)), ExitReason::kInsufficientCapacity) << "its room is not free either";
  worker.OnExit(T(0), {1}, Outcome::kKilled);
  Exchange(Ok(1, {RunOf(T(0), 3)}));
  worker.OnDescription({"j-1"}, Job(6));
  EXPECT_EQ(State(T(0)), std::nullopt);
  EXPECT_EQ(Seen(T(0), 3)->state, TaskState::kRunning);
}

TEST_F(WorkerTest, RefusesStartsForEachReason) {
  Started(T(0), Job(6));
  Exchange(Ok(1, {RunOf(T(0), 2), RunOf(T(1)), RunOf(T(0, "j-9"))}));
  worker.OnDescription({"j-1"}, Job(6));
  worker.OnDescription({"j-9"}, std::nullopt);
  EXPECT_EQ(Cause(T(0), 2), ExitReason::kBusy);
  EXPECT_EQ(Cause(T(1)), ExitReason::kInsufficientCapacity);
  EXPECT_EQ(Cause(T(0, "j-9")), ExitReason::kUnknown);
  EXPECT_EQ(State(T(0)), TaskState::kRunning) << "undisturbed";
  EXPECT_EQ(Asked(Kind::kStart), 0);
}

TEST_F(WorkerTest, TasksThatFetchTheirImageUseCapacity) {
  Exchange(Ok(1, {RunOf(T(0)), RunOf(T(1))}));
  worker.OnDescription({"j-1"}, Job(5));
  EXPECT_EQ(State(T(0)), TaskState::kFetching);
  EXPECT_EQ(Cause(T(1)), ExitReason::kInsufficientCapacity);
}

TEST_F(WorkerTest, RepeatedRunStartsNothingUntilItIsForgotten) {
  Started(T(0));
  Exchange(Ok(1, {RunOf(T(0))}));
  EXPECT_TRUE(worker.TakeEffects().empty());
  Exchange(Ok(1, {ForgetOf(T(0))}));
  EXPECT_EQ(State(T(0)), TaskState::kRunning) << "only what has exited is forgotten";
  worker.OnExit(T(0), {1}, Outcome::kFailed);
  Exchange(Ok(1, {RunOf(T(0))}));
  EXPECT_EQ(Cause(T(0)), ExitReason::kError) << "exited or not";
  Exchange(Ok(1, {ForgetOf(T(0)), RunOf(T(0))}));
  worker.OnDescription({"j-1"}, Job());
  EXPECT_EQ(State(T(0)), TaskState::kRunning) << "in order: once more";
}

TEST_F(WorkerTest, ReportsAStopOnlyOnceTheProcessIsDead) {
  Started(T(0));
  Exchange(Ok(1, {StopOf(T(0), 10)}));
  EXPECT_EQ(Asked(Kind::kKill), 1) << "it has no checkpoints";
  EXPECT_EQ(State(T(0)), TaskState::kRunning);
  Exchange(Ok(1, {StopOf(T(0), 0)}));
  EXPECT_EQ(Asked(Kind::kKill), 0) << "once is enough";
  worker.OnExit(T(0), {1}, Outcome::kKilled);
  EXPECT_EQ(Cause(T(0)), ExitReason::kStopped);
  EXPECT_FALSE(Seen(T(0))->saved);
}

TEST_F(WorkerTest, SavesACheckpointInTimeAndEndsAtASecondStop) {
  JobDescription job = Job();
  job.checkpoint = {10};
  job.save = {2};
  Started(T(0), job);
  Started(T(1), job);
  Started(T(2), job);
  Exchange(Ok(1, {StopOf(T(0), 2), StopOf(T(1), 2), StopOf(T(2), 1.9)}));
  EXPECT_EQ(State(T(0)), TaskState::kSaving);
  EXPECT_EQ(Asked(Kind::kKill), 1) << "of the one without the time";
  worker.OnExit(T(0), {1}, Outcome::kSaved);
  EXPECT_TRUE(Seen(T(0))->saved);
  Exchange(Ok(1, {StopOf(T(1), 5)}));
  EXPECT_EQ(Asked(Kind::kKill), 0);
  Exchange(Ok(1, {StopOf(T(1), 0)}));
  EXPECT_EQ(Asked(Kind::kKill), 1);
  worker.OnExit(T(1), {1}, Outcome::kKilled);
  EXPECT_EQ(Cause(T(1)), ExitReason::kStopped);
  EXPECT_FALSE(Seen(T(1))->saved);
}

TEST_F(WorkerTest, ResultBeforeTheStopCounts) {
  Started(T(0));
  Exchange(Ok(1, {StopOf(T(0), 0)}));
  worker.OnExit(T(0), {1}, Outcome::kDone);
  EXPECT_EQ(Cause(T(0)), ExitReason::kDone);
}

// A result that is kept ends each later start, even one that ended with a lease.
TEST_F(WorkerTest, CompletedTaskIsNotRunAgain) {
  Started(T(0));
  now = now + Seconds{31};
  worker.CheckLease(now);
  worker.OnExit(T(0), {1}, Outcome::kDone);
  worker.TakeEffects();
  Exchange(Ok(1, {RunOf(T(0), 2)}));
  worker.OnDescription({"j-1"}, Job());
  EXPECT_EQ(Cause(T(0), 2), ExitReason::kDone);
  EXPECT_EQ(Asked(Kind::kStart), 0);
}

TEST_F(WorkerTest, ImageIsFetchedOnceAndAbandonedWithItsLastWaiter) {
  Exchange(Ok(1, {RunOf(T(0)), RunOf(T(1))}));
  worker.OnDescription({"j-1"}, Job());
  EXPECT_EQ(Asked(Kind::kFetch), 1);
  Exchange(Ok(1, {StopOf(T(0), 0)}));
  EXPECT_EQ(Cause(T(0)), ExitReason::kStopped);
  EXPECT_EQ(Asked(Kind::kCancelFetch), 0);
  Exchange(Ok(1, {StopOf(T(1), 0)}));
  EXPECT_EQ(Asked(Kind::kCancelFetch), 1);
  worker.OnImage("img", true);  // it was too late to give it up
  Exchange(Ok(1, {RunOf(T(2))}));
  worker.OnDescription({"j-1"}, Job());
  EXPECT_EQ(Asked(Kind::kFetch), 1) << "once more";
  worker.OnImage("img", false);
  EXPECT_EQ(Cause(T(2)), ExitReason::kError);
}

TEST_F(WorkerTest, EvictsTheLeastRecentlyUsedImageButNoneInUse) {
  Started(T(0, "j-1"), Job(2, "one"));
  Started(T(0, "j-2"), Job(2, "two"));
  Started(T(0, "j-3"), Job(2, "three"));  // 12 of 10 GB, all in use
  worker.OnExit(T(0, "j-2"), {1}, Outcome::kDone);
  worker.OnExit(T(0, "j-3"), {1}, Outcome::kDone);
  Exchange(Ok(1, {RunOf(T(0, "j-4"))}));
  worker.OnDescription({"j-4"}, Job(2, "four"));
  std::vector<std::string> dropped;
  for (const Effect& e : worker.TakeEffects())
    if (e.kind == Kind::kEvictImage) dropped.push_back(e.image);
  EXPECT_EQ(dropped, (std::vector<std::string>{"two", "three"}));
}

TEST_F(WorkerTest, DirectCommandsNeedTokenAndEpochAndRenewNothing) {
  Exchange(Ok(5));
  const Instant renewed = now;
  EXPECT_EQ(worker.OnDirectCommand({}, 1, {RunOf(T(0))}, now).status, 400);
  EXPECT_EQ(worker.OnDirectCommand(FencingToken{5}, {}, {RunOf(T(0))}, now).status, 400);
  EXPECT_EQ(worker.OnDirectCommand(FencingToken{4}, 1, {RunOf(T(0))}, now).status, 409);
  EXPECT_EQ(worker.OnDirectCommand(FencingToken{5}, 2, {RunOf(T(0))}, now).status, 409);
  EXPECT_TRUE(worker.Inspect().tasks.empty());
  const DirectCommandReply answer =
      worker.OnDirectCommand(FencingToken{6}, 1, {RunOf(T(0))}, now + Seconds{20});
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.heartbeat.tasks.size(), 1U);
  EXPECT_EQ(answer.heartbeat.token.value, 6U);
  worker.CheckLease(renewed + Seconds{30.1});
  EXPECT_EQ(worker.agent_epoch(), 2U);
  EXPECT_EQ(worker.OnDirectCommand(FencingToken{6}, 1, {RunOf(T(1))}, now).status, 409)
      << "it came late";
}

// Two nodes that contend for the lead would have all workers report all the time.
TEST_F(WorkerTest, HigherTokenIsAChangeOncePerHalfALease) {
  Exchange(Ok(1));
  Exchange(Ok(1));  // tells the first one
  worker.OnDirectCommand(FencingToken{2}, 1, {}, now);
  EXPECT_GT(worker.NextWakeup(), now + Seconds{0.5}) << "token 1 was told just now";
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
