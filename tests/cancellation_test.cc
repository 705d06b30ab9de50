// Cancellations that the acting leader can't hear of from the state service: the tasks are
// gone in time all the same, and no lease is given up for it.
#include <gtest/gtest.h>

#include "cancellation/cancellation_registry.h"
#include "simulated_cluster.h"

namespace magpie::testing {
namespace {

class CancellationTest : public ::testing::Test {
 protected:
  // Some jobs run everywhere, and all know the leader.
  void Begin() {
    cluster.AdvanceSeconds(3);
    for (const char* job : {"j-1", "j-2", "j-3", "j-4"}) ASSERT_TRUE(cluster.Submit(job, 3, "n1"));
    cluster.AdvanceSeconds(10);
    leader = cluster.Leader();
    ASSERT_FALSE(leader.empty());
    for (const std::string& label : cluster.labels)
      if (label != leader) others.push_back(label);
    ASSERT_EQ(cluster.LiveTasks("j-1"), 3U);
    ASSERT_EQ(cluster.LiveTasks("j-2"), 3U);
  }
  // Refused alone; cancelled through another; then down for all.
  void RefuseLeaderThenStartOutage() {
    cluster.controllers.at(leader)->store.refused = true;
    cluster.AdvanceSeconds(2);
    state = cluster.Cancel("j-1", others[0]);
    cluster.store.outage = true;
  }
  void Cut(const std::string& a, const std::string& b) { cluster.partitions.insert({a, b}); }
  void CutOff(const std::string& label) {
    for (const std::string& other : cluster.labels) {
      Cut(label, other);
      Cut(other, label);
    }
  }
  void ExpectNoViolationAfterTheDeadline() {
    cluster.AdvanceSeconds(static_cast<int>(kTestCancelDeadline.value) + 20);
    EXPECT_EQ(cluster.violations, std::set<std::string>{});
  }
  void RestoreAndExpectCancelled() {
    cluster.store.outage = false;
    cluster.partitions.clear();
    for (auto& [label, run] : cluster.controllers) run->store.refused = false;
    cluster.AdvanceSeconds(15);
    for (const std::string& label : cluster.labels)
      EXPECT_EQ(cluster.Cancel("j-1", label), "withdrawn");
    EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
    EXPECT_EQ(cluster.LiveTasks("j-2"), 3U);
    EXPECT_EQ(cluster.violations, std::set<std::string>{});
  }

  SimulatedCluster cluster;
  std::string leader;
  std::vector<std::string> others;
  std::string state;  // what the user who cancelled was told
};

// The leader hears of it before the user does, and stops the tasks at once.
TEST_F(CancellationTest, LeaderStopsWhatAPeerCancelledDuringAnOutage) {
  Begin();
  RefuseLeaderThenStartOutage();
  EXPECT_EQ(state, "withdrawn");
  cluster.AdvanceSeconds(4);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U) << "at once, not by the lease";
  ExpectNoViolationAfterTheDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-2"), 3U);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  RestoreAndExpectCancelled();
  EXPECT_EQ(cluster.LeasesLost(), 0);
}

// Nobody is told while the leader can't be: it goes on, and loses no lease for it.
TEST_F(CancellationTest, NotAcknowledgedWhileALeaderIsPartitionedFromItsPeers) {
  Begin();
  CutOff(leader);
  RefuseLeaderThenStartOutage();
  EXPECT_EQ(state, "") << "503: come back";
  ExpectNoViolationAfterTheDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 3U);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  cluster.partitions.clear();
  cluster.store.outage = false;
  EXPECT_NE(cluster.Poll("j-1", others[1]), "withdrawn")
      << "it is being stopped, and nobody was told";
  RestoreAndExpectCancelled();
}

// While its user asks again, the next leader stops the tasks, and with the last one gone
// the job is final: then the user is told, though the old leader never heard of it.
TEST_F(CancellationTest, AcknowledgedOnceNoTaskRunsThoughAPeerIsUnreachable) {
  Begin();
  CutOff(leader);
  cluster.controllers.at(leader)->store.refused = true;
  int asked = 0;
  for (; asked < 20 && state.empty(); ++asked) {
    state = cluster.Cancel("j-1", others[0]);
    if (state.empty()) cluster.AdvanceSeconds(1);
  }
  EXPECT_EQ(state, "withdrawn");
  EXPECT_GT(asked, 1);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  RestoreAndExpectCancelled();
}

TEST_F(CancellationTest, PeerWhoseResponseIsLostHasNotAcknowledged) {
  Begin();
  Cut(leader, others[0]);  // it hears, and its answer is lost
  RefuseLeaderThenStartOutage();
  EXPECT_EQ(state, "");
  cluster.AdvanceSeconds(4);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U) << "its user has no use for it";
  ExpectNoViolationAfterTheDeadline();
  RestoreAndExpectCancelled();
}

TEST_F(CancellationTest, ControllerCrashesRightAfterAcknowledging) {
  Begin();
  RefuseLeaderThenStartOutage();
  ASSERT_EQ(state, "withdrawn");
  cluster.StopController(others[0]);
  ExpectNoViolationAfterTheDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  cluster.StartController(others[0]);
  RestoreAndExpectCancelled();
}

TEST_F(CancellationTest, ControllerRestartsRightAfterAcknowledging) {
  Begin();
  RefuseLeaderThenStartOutage();
  ASSERT_EQ(state, "withdrawn");
  cluster.StopController(others[0]);
  cluster.StartController(others[0]);
  ExpectNoViolationAfterTheDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  RestoreAndExpectCancelled();
}

// The first step lands after its teller has gone. Whoever reads it tells nobody before all
// know; and the second step is never there before that.
TEST_F(CancellationTest, ControllerCrashesAtEachOfItsWrites) {
  for (const auto fault :
       {FakeStore::Fault::kRefuse, FakeStore::Fault::kLoseResponse, FakeStore::Fault::kCommitLate})
    for (int at = 0; at < 2; ++at) {
      SCOPED_TRACE(std::to_string(static_cast<int>(fault)) + " at " + std::to_string(at));
      SimulatedCluster world;
      world.AdvanceSeconds(3);
      ASSERT_TRUE(world.Submit("j-1", 3, "n1"));
      world.AdvanceSeconds(10);
      const std::string lead = world.Leader();
      const std::string teller = lead == "n0" ? "n1" : "n0";
      const std::string third = lead == "n2" ? "n1" : "n2";
      world.controllers.at(lead)->store.refused = true;
      world.store.crash_fault = fault;
      world.store.commits_until_crash = at;
      EXPECT_THROW(world.Cancel("j-1", teller), FakeStore::Crashed);
      world.StopController(teller);
      world.StartController(teller);
      if (at == 1) {
        world.partitions.insert({third, lead});  // it can't ask the leader itself
      }
      world.AdvanceSeconds(1);
      while (world.store.has_delayed_transactions()) world.store.DeliverDelayed();
      const std::string mood_at_third = world.Poll("j-1", third);
      EXPECT_EQ(mood_at_third == "withdrawn", at == 1 && fault != FakeStore::Fault::kRefuse);
      world.store.outage = true;
      world.AdvanceSeconds(70);
      EXPECT_EQ(world.violations, std::set<std::string>{});
      world.store.outage = false;
      world.partitions.clear();
      world.controllers.at(lead)->store.refused = false;
      world.AdvanceSeconds(12);
      EXPECT_EQ(world.Cancel("j-1", third), "withdrawn");
      world.AdvanceSeconds(5);
      EXPECT_EQ(world.LiveTasks("j-1"), 0U);
      EXPECT_EQ(world.violations, std::set<std::string>{});
    }
}

// A controller ends after it has said that it knows, and its next run leads: it finds what
// was durable before it was asked, and renews nothing before it has looked.
TEST_F(CancellationTest, RestartedControllerKnowsWhatItAcknowledged) {
  Begin();
  ASSERT_EQ(cluster.Cancel("j-1", others[0]), "withdrawn");
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
  EXPECT_TRUE(next.cancellations.Loaded()) << "what it knows it does not lose";
}

TEST_F(CancellationTest, LeaderPausesAtEachStep) {
  for (int at = 0; at < 6; ++at)
    for (const int length : {3, 18, 30, 60}) {
      SCOPED_TRACE(std::to_string(at) + ", " + std::to_string(length));
      SimulatedCluster world;
      world.AdvanceSeconds(3);
      ASSERT_TRUE(world.Submit("j-1", 3, "n1"));
      world.AdvanceSeconds(8);
      const std::string lead = world.Leader();
      const std::string other = lead == "n0" ? "n1" : "n0";
      const auto pause = [&](int step) {
        if (at == step) world.paused_until[lead] = world.now + Seconds{1.0 * length};
      };
      pause(0);
      world.controllers.at(lead)->store.refused = true;
      pause(1);
      world.AdvanceSeconds(1);
      pause(2);
      const bool told = world.Cancel("j-1", other) == "withdrawn";
      EXPECT_EQ(told, world.IsUp(lead));
      pause(3);
      world.store.outage = true;
      world.AdvanceSeconds(4);
      pause(4);
      world.AdvanceSeconds(3);
      pause(5);
      world.AdvanceSeconds(70);
      EXPECT_TRUE(!told || world.LiveTasks("j-1") == 0);
      EXPECT_EQ(world.violations, std::set<std::string>{});
    }
}

// What it is told does not reach it, by whatever way: its lease ends by itself.
TEST_F(CancellationTest, WorkerWithoutResponsesLosesItsLease) {
  Begin();
  for (auto& m : cluster.machines) m.receives_nothing = m.worker.HasLiveTask({{"j-1"}, 0});
  RefuseLeaderThenStartOutage();
  ASSERT_EQ(state, "withdrawn");
  ExpectNoViolationAfterTheDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  EXPECT_GT(cluster.LeasesLost(), 0);
}

// Reports are looked at three seconds after they were sent, in every round.
TEST_F(CancellationTest, SlowHeartbeatRenewsTheLeaseFromWhenItWasSent) {
  Begin();
  for (auto& m : cluster.machines) m.slow_heartbeats = true;
  RefuseLeaderThenStartOutage();
  ASSERT_EQ(state, "withdrawn");
  ExpectNoViolationAfterTheDeadline();
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
}

// Commands to start a task are held up for a minute and arrive after the cancellation;
// the lease is meanwhile kept by a controller that does not lead.
TEST_F(CancellationTest, FollowerThatRenewsLeasesFencesDelayedCommands) {
  Begin();
  ASSERT_EQ(cluster.LiveTasks("j-3"), 3U);
  const magpie::FencingToken before = cluster.machines.front().worker.token();
  CutOff(leader);  // out of everybody's reach, but it lives and leads
  SimulatedController& keeper = *cluster.controllers.at(others[0]);
  cluster.store.outage = true;
  cluster.AdvanceSeconds(2);
  magpie::Heartbeat heartbeat = cluster.machines.front().worker.Snapshot();
  const std::string body = protocol::HeartbeatToJson(heartbeat).dump();
  HttpResponse response = keeper.heartbeat_handler.Handle(body, HeartbeatRoute::kDirect);
  ASSERT_EQ(response.status, 200) << "the leader fails, and we are cut off as well";
  protocol::Json answer = protocol::Json::parse(response.body);
  EXPECT_GT(answer.at("crest").get<std::uint64_t>(), before.value);
  EXPECT_TRUE(answer.at("calls").empty());
  // It hears of a cancellation: the next answer has a stop for each task of it.
  ASSERT_TRUE(keeper.cancellations.Record(
      JobCache::Cancellation{{"j-1"}, {cluster.store.current_revision().value + 1}}));
  std::size_t listed = 0;
  for (const TaskStatus& t : heartbeat.tasks) listed += t.task.job.value == "j-1" ? 1 : 0;
  ASSERT_GT(listed, 0U);
  response = keeper.heartbeat_handler.Handle(body, HeartbeatRoute::kDirect);
  ASSERT_EQ(response.status, 200);
  answer = protocol::Json::parse(response.body);
  EXPECT_EQ(answer.at("calls").size(), listed);
  // With no token left it keeps nothing.
  heartbeat.token = {heartbeat.token.value | 0xffffU};
  EXPECT_FALSE(keeper.cancellations.FollowerResponse(heartbeat));
}

// Found on a standard day: in the first seconds of a cut the controller in the zone had not yet
// seen that the state service was out of reach, and sent workers on, who then tried those out
// of their reach one after the other until their leases were over.
TEST_F(CancellationTest, LeasesAreRenewedFromTheFirstSecondOfAPartition) {
  Begin();
  SimulatedController& keeper = *cluster.controllers.at(others[0]);
  const magpie::Heartbeat now_known = cluster.machines.front().worker.Snapshot();
  const Revision epoch = EpochOf(now_known.token);
  const HttpAnswer refused{};
  const HttpAnswer closed{true, false, 0, {}};
  const HttpAnswer no_connection{false, false, 0, {}, true};
  const HttpAnswer no_answer{true, false, 0, {}, true};
  const HttpAnswer deposed{true, true, 421, {}};
  struct Row {
    const char* what;
    std::string led_by;
    bool partitioned;
    std::uint64_t workers;  // the epoch of its token
    HttpAnswer leaders;
    int status;
  };
  const std::vector<Row> rows{
      {"no connection to the leader comes about", leader, false, epoch.value, no_connection, 200},
      {"a kept connection is silent", leader, false, epoch.value, no_answer, 200},
      {"the leader's process ended", leader, false, epoch.value, refused, 421},
      {"the same, over a kept connection", leader, false, epoch.value, closed, 421},
      {"refused, and the state service is silent too", leader, true, epoch.value, refused, 200},
      {"an earlier leader's worker", leader, false, epoch.value - 1, no_connection, 421},
      {"the same once cut off", leader, true, epoch.value - 1, no_connection, 200},
      {"it answers, though we are cut off", leader, true, epoch.value - 1, deposed, 421},
      {"a later leader's worker", leader, true, epoch.value + 1, no_answer, 421},
      {"nobody led when we were cut off", "", true, epoch.value, refused, 200},
      {"nobody leads", "", false, epoch.value, refused, 503},
      {"nobody that we know, and a later leader's worker", "", true, epoch.value + 1, refused, 503},
  };
  for (const Row& row : rows) {
    SCOPED_TRACE(row.what);
    HeartbeatHandler desk(
        {kTestLease, kTestLeaderLease, {leader}}, keeper.mutex, keeper.core, keeper.leader_health,
        keeper.cancellations,
        {[this] { return cluster.now; },
         [&] { return HeartbeatHandler::ClusterView{row.led_by, epoch, row.partitioned}; }, [] {},
         [] {}, [&](const std::string&, const std::string&) { return row.leaders; }});
    magpie::Heartbeat heartbeat = now_known;
    heartbeat.token = FirstFencingToken({row.workers});
    const HttpResponse response =
        desk.Handle(protocol::HeartbeatToJson(heartbeat).dump(), HeartbeatRoute::kDirect);
    EXPECT_EQ(response.status, row.status);
    if (response.status != 200) continue;
    const protocol::Json answer = protocol::Json::parse(response.body);
    EXPECT_EQ(answer.at("crest").get<std::uint64_t>(), heartbeat.token.value + 1);
    EXPECT_TRUE(answer.at("calls").empty()) << "nothing is started by it";
    // Whoever comes next is not sent to where nobody answers.
    heartbeat.token = FirstFencingToken({epoch.value - 1});
    EXPECT_EQ(
        desk.Handle(protocol::HeartbeatToJson(heartbeat).dump(), HeartbeatRoute::kDirect).status,
        200);
  }
}

// Long for all, with all in touch: nothing is lost, however long it takes.
TEST_F(CancellationTest, NoLeaseIsLostInAnOutageOfTheStoreAlone) {
  Begin();
  cluster.store.outage = true;
  cluster.AdvanceSeconds(300);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  cluster.store.outage = false;
  cluster.AdvanceSeconds(20);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 3U);
  ASSERT_EQ(cluster.Cancel("j-1", others[0]), "withdrawn");
  cluster.AdvanceSeconds(6);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 0U);
  EXPECT_EQ(cluster.violations, std::set<std::string>{});
}

// A leader that has not read the jobs yet starts nothing and renews nothing; what workers
// say is taken in all the same. What it was told of meanwhile it never starts.
TEST_F(CancellationTest, NothingIsStartedOrRenewedUntilCancellationsAreLoaded) {
  Begin();
  SimulatedController& run = *cluster.controllers.at(leader);
  run.core.AllowTaskStarts(false);
  ASSERT_TRUE(cluster.Submit("j-5", 1, others[0]));
  cluster.AdvanceSeconds(1);
  run.core.AllowTaskStarts(false);
  for (auto& m : cluster.machines)
    for (const Command& c : run.core.OnHeartbeat(m.worker.Snapshot(), cluster.now).commands)
      EXPECT_NE(c.kind, CommandKind::kRun);
  const magpie::Heartbeat heartbeat = cluster.machines.front().worker.Snapshot();
  magpie::HeartbeatResponse reply;
  reply.commands = {{CommandKind::kRun, {{"j-7"}, 0}, {1}, {}},
                    {CommandKind::kRun, {{"j-8"}, 0}, {1}, {}}};
  ASSERT_TRUE(run.cancellations.Record(
      JobCache::Cancellation{{"j-7"}, {cluster.store.current_revision().value + 1}}));
  const auto answer = run.cancellations.CompleteResponse(heartbeat, reply);
  ASSERT_TRUE(answer);
  ASSERT_EQ(answer->commands.size(), 1U);
  EXPECT_EQ(answer->commands[0].task.job.value, "j-8");
  magpie::DirectCommand direct_command;
  direct_command.commands = reply.commands;
  run.cancellations.RemoveCancelledStarts(direct_command);
  ASSERT_EQ(direct_command.commands.size(), 1U);
}

TEST_F(CancellationTest, MalformedAnnouncementIsRejected) {
  Begin();
  SimulatedController& run = *cluster.controllers.at(others[0]);
  for (const char* text : {"", "[]", "{}", R"({"job":"j-1"})", R"({"job":"j-1","stamp":-1})",
                           R"({"job":"j-1","stamp":"7"})", R"({"job":"nonsense","stamp":7})",
                           R"({"job":7,"stamp":7})", R"({"job":"j-1","stamp":)"})
    EXPECT_THROW(run.cancellations.RecordAnnouncement(std::string(text)), protocol::InvalidMessage)
        << text;
  EXPECT_FALSE(run.api.cache().IsCancelled({"j-1"}));
}

// A controller that can keep no more in mind does not say that it knows.
TEST_F(CancellationTest, NothingIsAcknowledgedBeyondTheRegistrysLimit) {
  Begin();
  SimulatedController& run = *cluster.controllers.at(leader);
  run.store.refused = true;
  cluster.AdvanceSeconds(1);
  std::uint64_t kept = 0;
  const std::uint64_t from = cluster.store.current_revision().value + 1000;
  while (kept < 100000 && run.cancellations.Record(JobCache::Cancellation{
                              {"j-9" + std::to_string(kept)}, {from + kept}}))
    ++kept;
  EXPECT_GE(kept, 10000U);
  EXPECT_LT(kept, 100000U);
  EXPECT_EQ(cluster.Cancel("j-1", others[0]), "");
  EXPECT_TRUE(run.cancellations.Record(JobCache::Cancellation{{"j-90"}, {from}}))
      << "known already";
}

// One that is silent is not asked with each repeat of the user's, and with a lease that
// may outlast cancel_s users are told when jobs are final, only.
TEST(CancellationBroadcasterTest, AsksEachPeerAndBacksOff) {
  Instant now{100};
  std::map<std::string, int> asked;
  bool second_answers = false;
  const auto hooks = [&] {
    return CancellationBroadcaster::Hooks{[&] { return now; },
                                          [&](const std::string& member, const JobId&, Revision) {
                                            ++asked[member];
                                            return member == "n1" || second_answers;
                                          },
                                          [](const JobId&, Revision) { return true; }};
  };
  CancellationBroadcaster announcer({{"n1", "n2"}, false}, hooks());
  EXPECT_FALSE(announcer.Broadcast({"j-1"}, {7}));
  EXPECT_FALSE(announcer.Broadcast({"j-1"}, {7}));
  EXPECT_EQ(asked["n1"], 2);
  EXPECT_EQ(asked["n2"], 1);
  second_answers = true;
  EXPECT_FALSE(announcer.Broadcast({"j-1"}, {7})) << "not asked, so it has not said it";
  now = now + Seconds{3};
  EXPECT_TRUE(announcer.Broadcast({"j-1"}, {7}));
  EXPECT_TRUE(announcer.Broadcast({"j-1"}, {7}));
  EXPECT_FALSE(CancellationBroadcaster({{"n1", "n2"}, true}, hooks()).Broadcast({"j-1"}, {7}));
  // Silent ones are asked last, and none once its time is over.
  second_answers = false;
  EXPECT_FALSE(announcer.Broadcast({"j-1"}, {7}));
  now = now + Seconds{3};
  std::vector<std::string> order;
  CancellationBroadcaster slow({{"n2", "n1", "n3", "n4"}, false},
                               {[&] { return now; },
                                [&](const std::string& member, const JobId&, Revision) {
                                  order.push_back(member);
                                  if (member == "n1") return true;
                                  now = now + Seconds{0.6};
                                  return false;
                                },
                                [](const JobId&, Revision) { return true; }});
  EXPECT_FALSE(slow.Broadcast({"j-1"}, {7}));
  now = now + Seconds{3};
  order.clear();
  EXPECT_FALSE(slow.Broadcast({"j-1"}, {7}));
  EXPECT_EQ(order, (std::vector<std::string>{"n1", "n2", "n3", "n4"}));
  EXPECT_TRUE(CancellationBroadcaster({{}, false}, hooks()).Broadcast({"j-1"}, {7}))
      << "there is nobody else";
  EXPECT_TRUE(CancellationBroadcaster::AllowsEarlyAcknowledgement({45}, {75}));
  EXPECT_TRUE(CancellationBroadcaster::AllowsEarlyAcknowledgement({18}, {48}));
  EXPECT_FALSE(CancellationBroadcaster::AllowsEarlyAcknowledgement({45}, {50}));
}

}  // namespace
}  // namespace magpie::testing
