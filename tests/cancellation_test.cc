// Cancellations that the leader cannot read from the key-value store: the tasks still stop in time,
// and no worker loses its lease.
#include <gtest/gtest.h>

#include "cancellation/cancellation_registry.h"
#include "simulated_cluster.h"

namespace magpie::testing {
namespace {

class CancellationTest : public ::testing::Test {
 protected:
  // Starts four jobs and waits until there is a leader and tasks run.
  void Begin() {
    cluster.AdvanceSeconds(3);
    for (const char* job : {"j-1", "j-2", "j-3", "j-4"}) ASSERT_TRUE(cluster.Submit(job, 3, "n1"));
    cluster.AdvanceSeconds(10);
    leader = cluster.Leader();
    ASSERT_FALSE(leader.empty());
    for (const std::string& label : cluster.labels)
      if (label != leader) peers.push_back(label);
    ASSERT_EQ(cluster.LiveTasks("j-1"), 3U);
    ASSERT_EQ(cluster.LiveTasks("j-2"), 3U);
  }
  // The store first refuses only the leader's calls while a peer accepts a cancellation. Then the
  // store is down for all controllers.
  void RefuseLeaderThenStartOutage() {
    cluster.controllers.at(leader)->store.refused = true;
    cluster.AdvanceSeconds(2);
    state = cluster.Cancel("j-1", peers[0]);
    cluster.store.outage = true;
  }
  void Partition(const std::string& a, const std::string& b) { cluster.partitions.insert({a, b}); }
  void PartitionFromAll(const std::string& label) {
    for (const std::string& other : cluster.labels) {
      Partition(label, other);
      Partition(other, label);
    }
  }
  void ExpectNoViolationAfterDeadline() {
    cluster.AdvanceSeconds(static_cast<int>(kTestCancelDeadline.value) + 20);
    EXPECT_EQ(cluster.violations, std::set<std::string>{});
  }
  void RestoreAndExpectCancelled() {
    cluster.store.outage = false;
    cluster.partitions.clear();
    for (auto& [label, controller] : cluster.controllers) controller->store.refused = false;
    cluster.AdvanceSeconds(15);
    for (const std::string& label : cluster.labels)
      EXPECT_EQ(cluster.Cancel("j-1", label), "withdrawn");
    EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
    EXPECT_EQ(cluster.LiveTasks("j-2"), 3U);
    EXPECT_EQ(cluster.violations, std::set<std::string>{});
  }

  SimulatedCluster cluster;
  std::string leader;
  std::vector<std::string> peers;
  std::string state;  // state in the response to the user's cancellation
};

// The peer announces the cancellation to the leader before it answers the user.
TEST_F(CancellationTest, LeaderStopsTasksCancelledByPeerDuringOutage) {
  Begin();
  RefuseLeaderThenStartOutage();
  EXPECT_EQ(state, "withdrawn");
  cluster.AdvanceSeconds(4);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U) << "not stopped by the announcement";
  ExpectNoViolationAfterDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-2"), 3U);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  RestoreAndExpectCancelled();
  EXPECT_EQ(cluster.LeasesLost(), 0);
}

// The user gets no acknowledgement while the leader is unreachable. The leader keeps running the
// tasks, and no lease is lost.
TEST_F(CancellationTest, NotAcknowledgedWhileLeaderIsPartitioned) {
  Begin();
  PartitionFromAll(leader);
  RefuseLeaderThenStartOutage();
  EXPECT_EQ(state, "") << "expected a 503 response";
  ExpectNoViolationAfterDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 3U);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  cluster.partitions.clear();
  cluster.store.outage = false;
  EXPECT_NE(cluster.Poll("j-1", peers[1]), "withdrawn")
      << "acknowledged before all controllers recorded it";
  RestoreAndExpectCancelled();
}

// The user repeats the request while the next leader stops the tasks. The cancellation is
// acknowledged once the job is final, although the old leader never received it.
TEST_F(CancellationTest, AcknowledgedOnceJobIsFinalDespiteUnreachablePeer) {
  Begin();
  PartitionFromAll(leader);
  cluster.controllers.at(leader)->store.refused = true;
  int requests = 0;
  for (; requests < 20 && state.empty(); ++requests) {
    state = cluster.Cancel("j-1", peers[0]);
    if (state.empty()) cluster.AdvanceSeconds(1);
  }
  EXPECT_EQ(state, "withdrawn");
  EXPECT_GT(requests, 1);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  RestoreAndExpectCancelled();
}

TEST_F(CancellationTest, LostPeerResponseIsNoAcknowledgement) {
  Begin();
  Partition(leader, peers[0]);  // the announcement arrives, but its response is lost
  RefuseLeaderThenStartOutage();
  EXPECT_EQ(state, "");
  cluster.AdvanceSeconds(4);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U)
      << "not stopped, although the leader received the announcement";
  ExpectNoViolationAfterDeadline();
  RestoreAndExpectCancelled();
}

TEST_F(CancellationTest, ControllerCrashesAfterAcknowledging) {
  Begin();
  RefuseLeaderThenStartOutage();
  ASSERT_EQ(state, "withdrawn");
  cluster.StopController(peers[0]);
  ExpectNoViolationAfterDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  cluster.StartController(peers[0]);
  RestoreAndExpectCancelled();
}

TEST_F(CancellationTest, ControllerRestartsAfterAcknowledging) {
  Begin();
  RefuseLeaderThenStartOutage();
  ASSERT_EQ(state, "withdrawn");
  cluster.StopController(peers[0]);
  cluster.StartController(peers[0]);
  ExpectNoViolationAfterDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  RestoreAndExpectCancelled();
}

// A controller crashes at each write of a cancellation. The first write may commit after the crash;
// a controller that reads it acknowledges the cancellation only after all controllers have recorded
// it. The second write is made only after that, too.
TEST_F(CancellationTest, ControllerCrashesAtEachWrite) {
  for (const auto fault :
       {FakeStore::Fault::kRefuse, FakeStore::Fault::kLoseResponse, FakeStore::Fault::kCommitLate})
    for (int fault_step = 0; fault_step < 2; ++fault_step) {
      SCOPED_TRACE(std::to_string(static_cast<int>(fault)) + " at " + std::to_string(fault_step));
      SimulatedCluster simulation;
      simulation.AdvanceSeconds(3);
      ASSERT_TRUE(simulation.Submit("j-1", 3, "n1"));
      simulation.AdvanceSeconds(10);
      const std::string leader_label = simulation.Leader();
      const std::string canceller = leader_label == "n0" ? "n1" : "n0";
      const std::string third = leader_label == "n2" ? "n1" : "n2";
      simulation.controllers.at(leader_label)->store.refused = true;
      simulation.store.crash_fault = fault;
      simulation.store.commits_until_crash = fault_step;
      EXPECT_THROW(simulation.Cancel("j-1", canceller), FakeStore::Crashed);
      simulation.StopController(canceller);
      simulation.StartController(canceller);
      if (fault_step == 1) {
        simulation.partitions.insert({third, leader_label});  // `third` cannot reach the leader
      }
      simulation.AdvanceSeconds(1);
      while (simulation.store.has_delayed_transactions()) simulation.store.DeliverDelayed();
      const std::string state_at_third = simulation.Poll("j-1", third);
      EXPECT_EQ(state_at_third == "withdrawn",
                fault_step == 1 && fault != FakeStore::Fault::kRefuse);
      simulation.store.outage = true;
      simulation.AdvanceSeconds(70);
      EXPECT_EQ(simulation.violations, std::set<std::string>{});
      simulation.store.outage = false;
      simulation.partitions.clear();
      simulation.controllers.at(leader_label)->store.refused = false;
      simulation.AdvanceSeconds(12);
      EXPECT_EQ(simulation.Cancel("j-1", third), "withdrawn");
      simulation.AdvanceSeconds(5);
      EXPECT_EQ(simulation.LiveTasks("j-1"), 0U);
      EXPECT_EQ(simulation.violations, std::set<std::string>{});
    }
}

// A controller restarts after acknowledging a cancellation. It loads the cancellation, which was
// durable before the acknowledgement, and renews no lease before the jobs are loaded.
TEST_F(CancellationTest, RestartedControllerLoadsAcknowledgedCancellation) {
  Begin();
  ASSERT_EQ(cluster.Cancel("j-1", peers[0]), "withdrawn");
  cluster.StopController(leader);
  cluster.StartController(leader);
  SimulatedController& next = *cluster.controllers.at(leader);
  next.store.refused = true;
  EXPECT_FALSE(next.cancellations.Loaded());
  next.cancellations.LoadIfNeeded();
  EXPECT_FALSE(next.cancellations.Loaded());
  EXPECT_FALSE(next.cancellations.CompleteResponse(cluster.machines.front().worker.Snapshot(), {}));
  EXPECT_FALSE(next.cancellations.FollowerResponse(cluster.machines.front().worker.Snapshot()));
  next.store.refused = false;
  next.cancellations.LoadIfNeeded();
  EXPECT_TRUE(next.cancellations.Loaded());
  EXPECT_TRUE(next.api.cache().IsCancelled({"j-1"}) || cluster.LiveTasks("j-1") == 0);
  next.store.refused = true;
  EXPECT_TRUE(next.cancellations.Loaded()) << "an outage must not unload cancellations";
}

TEST_F(CancellationTest, LeaderPausesAtEachStep) {
  for (int fault_step = 0; fault_step < 6; ++fault_step)
    for (const int length : {3, 18, 30, 60}) {
      SCOPED_TRACE(std::to_string(fault_step) + ", " + std::to_string(length));
      SimulatedCluster simulation;
      simulation.AdvanceSeconds(3);
      ASSERT_TRUE(simulation.Submit("j-1", 3, "n1"));
      simulation.AdvanceSeconds(8);
      const std::string leader_label = simulation.Leader();
      const std::string other = leader_label == "n0" ? "n1" : "n0";
      const auto pause = [&](int step) {
        if (fault_step == step)
          simulation.paused_until[leader_label] = simulation.now + Seconds{1.0 * length};
      };
      pause(0);
      simulation.controllers.at(leader_label)->store.refused = true;
      pause(1);
      simulation.AdvanceSeconds(1);
      pause(2);
      const bool acknowledged = simulation.Cancel("j-1", other) == "withdrawn";
      EXPECT_EQ(acknowledged, simulation.IsUp(leader_label));
      pause(3);
      simulation.store.outage = true;
      simulation.AdvanceSeconds(4);
      pause(4);
      simulation.AdvanceSeconds(3);
      pause(5);
      simulation.AdvanceSeconds(70);
      EXPECT_TRUE(!acknowledged || simulation.LiveTasks("j-1") == 0);
      EXPECT_EQ(simulation.violations, std::set<std::string>{});
    }
}

// Neither responses nor commands reach the workers, so their leases expire.
TEST_F(CancellationTest, WorkerWithoutResponsesLosesLease) {
  Begin();
  for (auto& machine : cluster.machines)
    machine.receives_nothing = machine.worker.HasLiveTask({{"j-1"}, 0});
  RefuseLeaderThenStartOutage();
  ASSERT_EQ(state, "withdrawn");
  ExpectNoViolationAfterDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  EXPECT_GT(cluster.LeasesLost(), 0);
}

// Every heartbeat is handled three seconds after it was sent.
TEST_F(CancellationTest, SlowHeartbeatRenewsLeaseFromSendTime) {
  Begin();
  for (auto& machine : cluster.machines) machine.slow_heartbeats = true;
  RefuseLeaderThenStartOutage();
  ASSERT_EQ(state, "withdrawn");
  ExpectNoViolationAfterDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
}

// Commands that start a task are delayed for a minute and arrive after the cancellation, while a
// follower renews the lease.
TEST_F(CancellationTest, FollowerRenewingLeasesFencesDelayedCommands) {
  Begin();
  ASSERT_EQ(cluster.LiveTasks("j-3"), 3U);
  const magpie::FencingToken before = cluster.machines.front().worker.token();
  PartitionFromAll(leader);  // partitioned, but running and leading
  SimulatedController& follower = *cluster.controllers.at(peers[0]);
  cluster.store.outage = true;
  cluster.AdvanceSeconds(2);
  magpie::Heartbeat heartbeat = cluster.machines.front().worker.Snapshot();
  const std::string body = protocol::HeartbeatToJson(heartbeat).dump();
  HttpResponse response = follower.heartbeat_handler.Handle(body, HeartbeatRoute::kDirect);
  ASSERT_EQ(response.status, 200) << "the follower must respond in place of the unreachable leader";
  protocol::Json answer = protocol::Json::parse(response.body);
  EXPECT_GT(answer.at("crest").get<std::uint64_t>(), before.value);
  EXPECT_TRUE(answer.at("calls").empty());
  // Once the follower has recorded a cancellation, its response has a stop command for each of the
  // job's tasks.
  ASSERT_TRUE(follower.cancellations.Record(
      JobCache::Cancellation{{"j-1"}, {cluster.store.current_revision().value + 1}}));
  std::size_t listed = 0;
  for (const TaskStatus& t : heartbeat.tasks) listed += t.task.job.value == "j-1" ? 1 : 0;
  ASSERT_GT(listed, 0U);
  response = follower.heartbeat_handler.Handle(body, HeartbeatRoute::kDirect);
  ASSERT_EQ(response.status, 200);
  answer = protocol::Json::parse(response.body);
  EXPECT_EQ(answer.at("calls").size(), listed);
  // If the token cannot be raised, the lease is not renewed.
  heartbeat.token = {heartbeat.token.value | 0xffffU};
  EXPECT_FALSE(follower.cancellations.FollowerResponse(heartbeat));
}

// Its token would not fence earlier commands; without a renewal the worker begins the next agent
// epoch after a lease, which does.
TEST_F(CancellationTest, FollowerDoesNotRenewLeaseOfWorkerThatLostItsToken) {
  Begin();
  PartitionFromAll(leader);
  SimulatedController& follower = *cluster.controllers.at(peers[0]);
  cluster.store.outage = true;
  cluster.AdvanceSeconds(2);
  FakeWorker& worker = cluster.machines.front().worker;
  const auto status_of_heartbeat = [&] {
    const std::string body = protocol::HeartbeatToJson(worker.Snapshot()).dump();
    return follower.heartbeat_handler.Handle(body, HeartbeatRoute::kDirect).status;
  };
  ASSERT_EQ(status_of_heartbeat(), 200);
  worker.Restart(true);
  EXPECT_NE(status_of_heartbeat(), 200);
}

// Guards against lost leases at the start of a partition: a follower that had not yet detected that
// the store was unreachable redirected workers, which then tried unreachable controllers one after
// the other until their leases expired.
TEST_F(CancellationTest, LeasesAreRenewedFromStartOfPartition) {
  Begin();
  SimulatedController& follower = *cluster.controllers.at(peers[0]);
  const magpie::Heartbeat current_heartbeat = cluster.machines.front().worker.Snapshot();
  const Revision epoch = EpochOf(current_heartbeat.token);
  const HttpAnswer refused{};
  const HttpAnswer closed{true, false, 0, {}};
  const HttpAnswer no_connection{false, false, 0, {}, true};
  const HttpAnswer no_answer{true, false, 0, {}, true};
  const HttpAnswer deposed{true, true, 421, {}};
  struct Row {
    const char* description;
    std::string led_by;
    bool partitioned;
    std::uint64_t worker_epoch;  // epoch of the worker's token
    HttpAnswer leader_answer;
    int status;
  };
  const std::vector<Row> rows{
      {"connection to the leader fails", leader, false, epoch.value, no_connection, 200},
      {"no answer on an open connection", leader, false, epoch.value, no_answer, 200},
      {"leader refuses the connection", leader, false, epoch.value, refused, 421},
      {"leader closes an open connection", leader, false, epoch.value, closed, 421},
      {"leader refuses, controller partitioned", leader, true, epoch.value, refused, 200},
      {"worker of an earlier leader", leader, false, epoch.value - 1, no_connection, 421},
      {"worker of an earlier leader, controller partitioned", leader, true, epoch.value - 1,
       no_connection, 200},
      {"leader answers, controller partitioned", leader, true, epoch.value - 1, deposed, 421},
      {"worker of a later leader", leader, true, epoch.value + 1, no_answer, 421},
      {"no leader, controller partitioned", "", true, epoch.value, refused, 200},
      {"no leader", "", false, epoch.value, refused, 503},
      {"no known leader, worker of a later leader", "", true, epoch.value + 1, refused, 503},
  };
  for (const Row& row : rows) {
    SCOPED_TRACE(row.description);
    HeartbeatHandler handler(
        {kTestLease, kTestLeaderLease, {leader}}, follower.mutex, follower.core,
        follower.leader_health, follower.cancellations,
        {[this] { return cluster.now; },
         [&] { return HeartbeatHandler::ClusterView{row.led_by, epoch, row.partitioned}; }, [] {},
         [] {}, [&](const std::string&, const std::string&) { return row.leader_answer; }});
    magpie::Heartbeat heartbeat = current_heartbeat;
    heartbeat.token = FirstFencingToken({row.worker_epoch});
    const HttpResponse response =
        handler.Handle(protocol::HeartbeatToJson(heartbeat).dump(), HeartbeatRoute::kDirect);
    EXPECT_EQ(response.status, row.status);
    if (response.status != 200) continue;
    const protocol::Json answer = protocol::Json::parse(response.body);
    EXPECT_EQ(answer.at("crest").get<std::uint64_t>(), heartbeat.token.value + 1);
    EXPECT_TRUE(answer.at("calls").empty()) << "a follower must not start tasks";
    // The next worker is not redirected to the unreachable leader either.
    heartbeat.token = FirstFencingToken({epoch.value - 1});
    EXPECT_EQ(
        handler.Handle(protocol::HeartbeatToJson(heartbeat).dump(), HeartbeatRoute::kDirect).status,
        200);
  }
}

// A long outage of the store with all controllers connected to each other.
TEST_F(CancellationTest, NoLeaseIsLostInStoreOutage) {
  Begin();
  cluster.store.outage = true;
  cluster.AdvanceSeconds(300);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  cluster.store.outage = false;
  cluster.AdvanceSeconds(20);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 3U);
  ASSERT_EQ(cluster.Cancel("j-1", peers[0]), "withdrawn");
  cluster.AdvanceSeconds(6);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  EXPECT_EQ(cluster.violations, std::set<std::string>{});
}

// A leader that has not loaded the jobs starts no tasks and renews no leases, but processes
// heartbeats. It never starts a task of a job if its cancellation was announced meanwhile.
TEST_F(CancellationTest, NoStartsOrRenewalsUntilCancellationsAreLoaded) {
  Begin();
  SimulatedController& controller = *cluster.controllers.at(leader);
  controller.core.AllowTaskStarts(false);
  ASSERT_TRUE(cluster.Submit("j-5", 1, peers[0]));
  cluster.AdvanceSeconds(1);
  controller.core.AllowTaskStarts(false);
  for (auto& machine : cluster.machines)
    for (const Command& c :
         controller.core.OnHeartbeat(machine.worker.Snapshot(), cluster.now).commands)
      EXPECT_NE(c.kind, CommandKind::kRun);
  const magpie::Heartbeat heartbeat = cluster.machines.front().worker.Snapshot();
  magpie::HeartbeatResponse reply;
  reply.commands = {{CommandKind::kRun, {{"j-7"}, 0}, {1}, {}},
                    {CommandKind::kRun, {{"j-8"}, 0}, {1}, {}}};
  ASSERT_TRUE(controller.cancellations.Record(
      JobCache::Cancellation{{"j-7"}, {cluster.store.current_revision().value + 1}}));
  const auto answer = controller.cancellations.CompleteResponse(heartbeat, reply);
  ASSERT_TRUE(answer);
  ASSERT_EQ(answer->commands.size(), 1U);
  EXPECT_EQ(answer->commands[0].task.job.value, "j-8");
  magpie::DirectCommand direct_command;
  direct_command.commands = reply.commands;
  controller.cancellations.RemoveCancelledStarts(direct_command);
  ASSERT_EQ(direct_command.commands.size(), 1U);
}

TEST_F(CancellationTest, MalformedAnnouncementIsRejected) {
  Begin();
  SimulatedController& controller = *cluster.controllers.at(peers[0]);
  for (const char* text : {"", "[]", "{}", R"({"job":"j-1"})", R"({"job":"j-1","stamp":-1})",
                           R"({"job":"j-1","stamp":"7"})", R"({"job":"nonsense","stamp":7})",
                           R"({"job":7,"stamp":7})", R"({"job":"j-1","stamp":)"})
    EXPECT_THROW(controller.cancellations.RecordAnnouncement(std::string(text)),
                 protocol::InvalidMessage)
        << text;
  EXPECT_FALSE(controller.api.cache().IsCancelled({"j-1"}));
}

// A controller with a full registry does not acknowledge further cancellations.
TEST_F(CancellationTest, FullRegistryDoesNotAcknowledge) {
  Begin();
  SimulatedController& controller = *cluster.controllers.at(leader);
  controller.store.refused = true;
  cluster.AdvanceSeconds(1);
  std::uint64_t kept = 0;
  const std::uint64_t from = cluster.store.current_revision().value + 1000;
  while (kept < 100000 && controller.cancellations.Record(JobCache::Cancellation{
                              {"j-9" + std::to_string(kept)}, {from + kept}}))
    ++kept;
  EXPECT_GE(kept, 10000U);
  EXPECT_LT(kept, 100000U);
  EXPECT_EQ(cluster.Cancel("j-1", peers[0]), "");
  EXPECT_TRUE(controller.cancellations.Record(JobCache::Cancellation{{"j-90"}, {from}}))
      << "already recorded";
}

// A peer that did not acknowledge an announcement does not get another with each repeated request.
// With a lease that may outlast cancel_s, cancellations are acknowledged only when jobs are final.
TEST(CancellationBroadcasterTest, AnnouncesToEachPeerAndBacksOff) {
  Instant now{100};
  std::map<std::string, int> requests;
  bool n2_acknowledges = false;
  const auto hooks = [&] {
    return CancellationBroadcaster::Hooks{[&] { return now; },
                                          [&](const std::string& member, const JobId&, Revision) {
                                            ++requests[member];
                                            return member == "n1" || n2_acknowledges;
                                          },
                                          [](const JobId&, Revision) { return true; }};
  };
  CancellationBroadcaster broadcaster({{"n1", "n2"}, false}, hooks());
  EXPECT_FALSE(broadcaster.Broadcast({"j-1"}, {7}));
  EXPECT_FALSE(broadcaster.Broadcast({"j-1"}, {7}));
  EXPECT_EQ(requests["n1"], 2);
  EXPECT_EQ(requests["n2"], 1);
  n2_acknowledges = true;
  EXPECT_FALSE(broadcaster.Broadcast({"j-1"}, {7}))
      << "n2 got no second announcement, so it has not acknowledged";
  now = now + Seconds{3};
  EXPECT_TRUE(broadcaster.Broadcast({"j-1"}, {7}));
  EXPECT_TRUE(broadcaster.Broadcast({"j-1"}, {7}));
  EXPECT_FALSE(CancellationBroadcaster({{"n1", "n2"}, true}, hooks()).Broadcast({"j-1"}, {7}));
  // Unresponsive peers get the announcement last, and no peer gets it after the broadcast timeout.
  n2_acknowledges = false;
  EXPECT_FALSE(broadcaster.Broadcast({"j-1"}, {7}));
  now = now + Seconds{3};
  std::vector<std::string> order;
  CancellationBroadcaster slow_broadcaster({{"n2", "n1", "n3", "n4"}, false},
                                           {[&] { return now; },
                                            [&](const std::string& member, const JobId&, Revision) {
                                              order.push_back(member);
                                              if (member == "n1") return true;
                                              now = now + Seconds{0.6};
                                              return false;
                                            },
                                            [](const JobId&, Revision) { return true; }});
  EXPECT_FALSE(slow_broadcaster.Broadcast({"j-1"}, {7}));
  now = now + Seconds{3};
  order.clear();
  EXPECT_FALSE(slow_broadcaster.Broadcast({"j-1"}, {7}));
  EXPECT_EQ(order, (std::vector<std::string>{"n1", "n2", "n3", "n4"}));
  EXPECT_TRUE(CancellationBroadcaster({{}, false}, hooks()).Broadcast({"j-1"}, {7}))
      << "there are no peers";
  EXPECT_TRUE(CancellationBroadcaster::AllowsEarlyAcknowledgement({45}, {75}));
  EXPECT_TRUE(CancellationBroadcaster::AllowsEarlyAcknowledgement({18}, {48}));
  EXPECT_FALSE(CancellationBroadcaster::AllowsEarlyAcknowledgement({45}, {50}));
}

}  // namespace
}  // namespace magpie::testing
