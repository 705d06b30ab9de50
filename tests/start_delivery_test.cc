// Tasks are started in the responses to heartbeats, which a leader requests and delays so that
// tasks start without waiting for the next regular heartbeat.
#include <gtest/gtest.h>

#include <algorithm>
#include <mutex>

#include "cancellation/cancellation_registry.h"
#include "controller/heartbeat_handler.h"
#include "protocol/codec.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

bool HasStart(const std::vector<Command>& commands) {
  return std::any_of(commands.begin(), commands.end(),
                     [](const Command& command) { return command.kind == CommandKind::kRun; });
}

class StartDeliveryTest : public ClusterTest {
 protected:
  TestController& LeaderWithWorker() {
    TestController& controller = AddController("n0");
    EXPECT_TRUE(controller.TakeOver(now));
    Heartbeat(controller, worker);
    Heartbeat(controller, worker);
    AdvanceTime(DefaultOptions().lease.value);
    Heartbeat(controller, worker);
    return controller;
  }

  void BindPending(TestController& controller) {
    controller.core.Tick(now, wall);
    while (controller.WriteOnce(now)) {
    }
  }

  // The first attempt of j-1 ends on m-1, which then loses its state and has no answer yet.
  void RestartAfterAttempt(TestController& controller, ExitReason reason) {
    Run(controller, MakeJob("j-1"));
    BindPending(controller);
    DeliverDirectCommands(controller);
    Heartbeat(controller, worker);
    ASSERT_TRUE(worker.HasLiveTask(TaskOf("j-1")));
    ASSERT_FALSE(answered_commands.empty());
    AddWorker("m-2", "small", "b");
    Heartbeat(controller, workers_.back());
    worker.EndAll(reason);
    AdvanceTime(1);
    Settle(controller, 8);
    worker.Restart(true);
  }

  void RepeatCommandsToWorker() {
    for (const magpie::DirectCommand& direct_command : answered_commands)
      if (direct_command.machine == worker.id()) {
        worker.Deliver(direct_command);
        EXPECT_EQ(worker.LiveTaskCount(), 0U);
      }
  }

  FakeWorker& worker = AddWorker("m-1");
};

// Guards against ran_twice: the worker knows no token that could fence the copy.
TEST_F(StartDeliveryTest, CopyStartsNoMovedTaskOnMachineThatLostItsToken) {
  TestController& controller = LeaderWithWorker();
  RestartAfterAttempt(controller, ExitReason::kError);
  ASSERT_TRUE(workers_.back().HasLiveTask(TaskOf("j-1")));
  RepeatCommandsToWorker();
}

// Guards against a second run of a task that has completed.
TEST_F(StartDeliveryTest, CopyStartsNoCompletedTaskOnMachineThatLostItsToken) {
  TestController& controller = LeaderWithWorker();
  RestartAfterAttempt(controller, ExitReason::kDone);
  ASSERT_EQ(controller.State("j-1"), "done");
  RepeatCommandsToWorker();
}

// Guards against ran_cancelled: the copy arrives after the confirmation of the cancellation.
TEST_F(StartDeliveryTest, CopyStartsNoCancelledTaskOnMachineThatLostItsToken) {
  TestController& controller = LeaderWithWorker();
  RestartAfterAttempt(controller, ExitReason::kError);
  ASSERT_EQ(controller.api.Cancel("j-1").status, 200);
  controller.ReadJobs();
  Settle(controller, 6);
  ASSERT_EQ(controller.State("j-1"), "withdrawn");
  worker.Restart(true);
  RepeatCommandsToWorker();
}

TEST_F(StartDeliveryTest, HeartbeatIsRequestedForStart) {
  TestController& controller = LeaderWithWorker();
  Run(controller, MakeJob("j-1"));
  BindPending(controller);
  const FencingToken token = worker.token();
  const auto request = controller.core.NextDirectCommand(now);
  ASSERT_TRUE(request.has_value());
  EXPECT_TRUE(request->commands.empty());
  EXPECT_GT(request->token, token) << "only a higher token makes the worker send a heartbeat";
  const HeartbeatResponse response = controller.core.OnHeartbeat(worker.Snapshot(), now);
  EXPECT_EQ(response.token, request->token);
  EXPECT_TRUE(HasStart(response.commands));
}

TEST_F(StartDeliveryTest, HeartbeatIsRequestedOncePerHalfLease) {
  TestController& controller = LeaderWithWorker();
  const double half_lease = DefaultOptions().lease.value / 2;
  for (const auto& [job, wait, requested] :
       {std::tuple("j-1", 0.0, true), {"j-2", 1.0, false}, {"j-3", half_lease, true}}) {
    SCOPED_TRACE(job);
    AdvanceTime(wait);
    Heartbeat(controller, worker);
    JobSpec service = MakeJob(job);
    service.kind = JobKind::kService;
    service.per_task = {1, 0, 1};
    service.estimate = {0};
    Run(controller, service);
    BindPending(controller);
    const auto request = controller.core.NextDirectCommand(now);
    EXPECT_EQ(request.has_value(), requested);
    if (request)
      controller.core.OnDirectCommandResult(*request, DeliveryStatus::kNotSent, std::nullopt, now);
    Heartbeat(controller, worker);
    EXPECT_TRUE(worker.HasLiveTask(TaskOf(job))) << "the next heartbeat starts it in any case";
  }
}

// The requests of a machine are left to urgent tasks while it runs others.
TEST_F(StartDeliveryTest, HeartbeatOfBusyWorkerIsRequestedForUrgentTasksOnly) {
  for (const Priority priority : {Priority::kNormal, Priority::kHigh}) {
    store = FakeStore{};
    controllers_.clear();
    worker.Restart(true);
    TestController& controller = LeaderWithWorker();
    JobSpec running = MakeJob("j-1");
    running.per_task = {1, 0, 1};
    Run(controller, running);
    Settle(controller);
    ASSERT_TRUE(worker.HasLiveTask(TaskOf("j-1")));
    AdvanceTime(DefaultOptions().lease.value);
    Heartbeat(controller, worker);
    JobSpec waiting = MakeJob("j-2");
    waiting.per_task = {1, 0, 1};
    waiting.priority = priority;
    Run(controller, waiting);
    BindPending(controller);
    EXPECT_EQ(controller.core.NextDirectCommand(now).has_value(), priority == Priority::kHigh);
  }
}

// Guards against starts that wait for a heartbeat beside a machine on which they need not.
TEST_F(StartDeliveryTest, TaskIsPlacedWhereHeartbeatCanBeRequested) {
  for (const bool first_is_askable : {true, false}) {
    store = FakeStore{};
    controllers_.clear();
    workers_.clear();
    FakeWorker& first = AddWorker("m-1");
    FakeWorker& second = AddWorker("m-2");
    FakeWorker& askable = first_is_askable ? first : second;
    FakeWorker& other = first_is_askable ? second : first;
    TestController& controller = AddController("n0");
    ASSERT_TRUE(controller.TakeOver(now));
    Heartbeat(controller, askable);
    Heartbeat(controller, askable);
    AdvanceTime(DefaultOptions().lease.value);
    Heartbeat(controller, askable);
    Heartbeat(controller, other);  // has just sent one for its first token
    Heartbeat(controller, other);
    Run(controller, MakeJob("j-1"));
    Settle(controller);
    EXPECT_TRUE(askable.HasLiveTask(TaskOf("j-1")));
  }
}

class DelayedResponseTest : public StartDeliveryTest {
 protected:
  // The commands of the response to the worker's next heartbeat. `on_wait` is called while the
  // response is delayed.
  std::vector<Command> CommandsAfter(TestController& controller, std::size_t max_delayed,
                                     const std::function<void()>& on_wait) {
    JobCache cache(store, Seconds{0}, {[this] { return now; }, [](Seconds) {}});
    CancellationRegistry cancellations(cache, [](const JobCache::Cancellation&) {});
    cancellations.LoadIfNeeded();
    LeaderHealth health(DefaultOptions().heartbeat_interval);
    std::mutex mutex;
    HeartbeatHandler handler(
        {DefaultOptions().lease, Seconds{4}, {}, max_delayed}, mutex, controller.core, health,
        cancellations,
        {[this] { return now; }, [] { return HeartbeatHandler::ClusterView{}; }, [] {}, [] {},
         [](const std::string&, const std::string&) { return HttpAnswer{}; },
         [&](std::unique_lock<std::mutex>&, Seconds max_wait) {
           ++waits;
           longest_wait = std::max(longest_wait, max_wait);
           AdvanceTime(0.1);
           on_wait();
         }});
    const HttpResponse response = handler.Handle(
        protocol::HeartbeatToJson(worker.Snapshot()).dump(), HeartbeatRoute::kDirect);
    status = response.status;
    if (status != 200) return {};
    return protocol::CommandsFromJson(protocol::Json::parse(response.body).at("calls"));
  }

  int waits = 0;
  int status = 0;
  Seconds longest_wait{0};
};

TEST_F(DelayedResponseTest, WaitsForBindingToBecomeDurable) {
  TestController& controller = LeaderWithWorker();
  Run(controller, MakeJob("j-1"));
  controller.core.Tick(now, wall);  // the task is being bound
  const auto commands = CommandsAfter(controller, 1, [&] {
    while (controller.WriteOnce(now)) {
    }
    EXPECT_FALSE(controller.core.NextDirectCommand(now)) << "the response starts the task";
  });
  EXPECT_TRUE(HasStart(commands));
  EXPECT_EQ(waits, 1);
}

TEST_F(DelayedResponseTest, ReportOfEndedTaskStartsNextTask) {
  TestController& controller = LeaderWithWorker();
  JobSpec whole_machine = MakeJob("j-1", 2);
  whole_machine.per_task = {4, 0, 8};
  Run(controller, whole_machine);
  Settle(controller);
  ASSERT_EQ(worker.LiveTaskCount(), 1U);
  worker.EndAll(ExitReason::kDone);
  EXPECT_TRUE(HasStart(CommandsAfter(controller, 1, [&] { BindPending(controller); })));
}

TEST_F(DelayedResponseTest, IsSentWithinOneSecondIfWritesLag) {
  TestController& controller = LeaderWithWorker();
  Run(controller, MakeJob("j-1"));
  controller.core.Tick(now, wall);
  const Instant sent = now;
  EXPECT_FALSE(HasStart(CommandsAfter(controller, 1, [] {})));
  EXPECT_EQ(status, 200);
  EXPECT_GE(waits, 1);
  EXPECT_LE((now - sent).value, 1.11);
  EXPECT_LE(longest_wait.value, 1);
}

TEST_F(DelayedResponseTest, IsNotDelayedBeyondLimitOrWithoutBinding) {
  TestController& controller = LeaderWithWorker();
  CommandsAfter(controller, 1, [] {});
  EXPECT_EQ(waits, 0) << "nothing is being bound to the machine";
  Run(controller, MakeJob("j-1"));
  controller.core.Tick(now, wall);
  CommandsAfter(controller, 0, [] {});
  EXPECT_EQ(waits, 0) << "too many responses are delayed";
}

// The worker has just sent a heartbeat for its first token, so that none can be requested.
TEST_F(DelayedResponseTest, WaitsForTaskIfHeartbeatCannotBeRequested) {
  TestController& controller = AddController("n0");
  ASSERT_TRUE(controller.TakeOver(now));
  Heartbeat(controller, worker);
  Heartbeat(controller, worker);
  controller.core.Tick(now, wall);
  const auto commands = CommandsAfter(controller, 1, [&] {
    if (waits == 3) Run(controller, MakeJob("j-1"));
    BindPending(controller);
  });
  EXPECT_TRUE(HasStart(commands));
  EXPECT_EQ(waits, 3);
  EXPECT_LE(longest_wait.value, 2.5);
}

// Guards against a start by a leader that was deposed while it delayed the response.
TEST_F(DelayedResponseTest, HasNoCommandsOnceTermHasEnded) {
  TestController& controller = LeaderWithWorker();
  Run(controller, MakeJob("j-1"));
  controller.core.Tick(now, wall);
  CommandsAfter(controller, 1, [&] { controller.core.Stop(); });
  EXPECT_EQ(status, 503);
}

}  // namespace
}  // namespace magpie::testing
