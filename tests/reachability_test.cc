// Machines, zones and controllers that are partitioned or relayed, and how they are told apart.
#include <gtest/gtest.h>

#include "controller/leader_reachability.h"
#include "controller/redirect_tracker.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

// Fails all probes that are due; how many there were.
int FailProbes(TestController& node, Instant now) {
  int n = 0;
  for (; auto probe = node.core.NextProbe(now); ++n)
    node.core.OnDirectCommandResult(*probe, DeliveryStatus::kNotSent, std::nullopt, now);
  return n;
}

// Found on a drawn day: two zones were apart when the leader changed, and the
// workers of one were sent to and fro until their leases ended.
TEST(RedirectTrackerTest, WorkerThatReturnsFromTheLeaderCannotReachIt) {
  RedirectTracker redirects(Seconds{45});
  const MachineId m{"m-1"};
  EXPECT_FALSE(redirects.ReturnedFromLeader(m, Instant{100}));
  EXPECT_FALSE(redirects.ReturnedFromLeader(m, Instant{101})) << "too soon to have been there";
  EXPECT_TRUE(redirects.ReturnedFromLeader(m, Instant{109}));
  EXPECT_FALSE(redirects.ReturnedFromLeader(m, Instant{300})) << "long ago says nothing";
  redirects.OnLeaderChanged();
  EXPECT_FALSE(redirects.ReturnedFromLeader(m, Instant{306}));
}

// On days of a zone that is cut off from everything, its workers' leases ran
// out although a controller was in the zone.
TEST(LeaderReachabilityTest, PartitionedControllerRenewsItsWorkersLeases) {
  LeaderReachability reach(Seconds{4});
  const Revision epoch{7};
  EXPECT_FALSE(reach.MayRenewLease(FirstFencingToken(epoch), epoch, true, Instant{100}))
      << "not tried yet";
  reach.OnFailure(Instant{100}, false);
  EXPECT_FALSE(reach.MayRelay(Instant{101}));
  EXPECT_TRUE(reach.MayRenewLease(FirstFencingToken(epoch), epoch, true, Instant{100}));
  EXPECT_FALSE(reach.MayRenewLease(FirstFencingToken(epoch), epoch, false, Instant{105}))
      << "another may lead in a moment";
  EXPECT_TRUE(reach.MayRenewLease(FirstFencingToken(epoch), epoch, false, Instant{107}));
  EXPECT_FALSE(reach.MayRenewLease(FirstFencingToken({8}), epoch, true, Instant{107}))
      << "the worker knows a later leader";
  EXPECT_TRUE(reach.MayRelay(Instant{103}));
  reach.OnAnswer();
  EXPECT_FALSE(reach.MayRenewLease(FirstFencingToken(epoch), epoch, true, Instant{107}));
  reach.OnFailure(Instant{108}, true);
  EXPECT_TRUE(reach.MayRenewLease(FirstFencingToken(epoch), epoch, false, Instant{108}))
      << "it left us waiting";
  reach.OnDeclined(Instant{110});
  reach.OnFailure(Instant{112}, false);
  EXPECT_FALSE(reach.MayRenewLease(FirstFencingToken(epoch), epoch, false, Instant{112}))
      << "it refused, and may have ended";
}

class ReachabilityTest : public ClusterTest {};

// Found at the start of a day: a flood of submissions made the state service
// refuse renewals, and the leader resigned though its lease lived on.
TEST_F(ReachabilityTest, RefusedRenewalDoesNotEndTheLeadership) {
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  const auto before = node.election.view().leadership;
  store.outage = true;
  EXPECT_FALSE(node.election.Step().store_reachable);
  EXPECT_EQ(node.election.view().leadership, before);
  store.outage = false;
  EXPECT_TRUE(node.election.Step().store_reachable);
  EXPECT_EQ(node.election.view().leadership, before);
}

// Found on a day when many machines failed all they got: each drew several
// tasks before it was left alone.
TEST_F(ReachabilityTest, OneFailureOfAHealthyJobIsEnough) {
  TestController& node = AddController("n0");
  FakeWorker& first = AddWorker("m-1");
  FakeWorker& second = AddWorker("m-2");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 1));
  Settle(node);
  FakeWorker& one = first.LiveTaskCount() > 0 ? first : second;
  one.EndAll(ExitReason::kError);
  Heartbeat(node, one);
  node.core.Tick(now, wall);
  EXPECT_TRUE(ReleasedMachines(RunCloud(node)).empty()) << "the job may be at fault";
  AdvanceTime(3);  // until then the machine is in doubt
  Settle(node);
  Run(node, MakeJob("j-2", 3));
  Settle(node);
  FakeWorker& sick = first.HasLiveTask(TaskOf("j-2", 0)) ? first : second;
  FakeWorker& good = &sick == &first ? second : first;
  ASSERT_GT(good.LiveTaskCount(), 0U);
  sick.EndAll(ExitReason::kError);
  good.EndAll(ExitReason::kDone);
  Settle(node, 1);
  Settle(node, 1);
  EXPECT_EQ(ReleasedMachines(RunCloud(node)), std::set<MachineId>{sick.id()});
}

// Found on a day when 72 machines died at once: they were given up only after
// many report intervals. A machine that misses a report and does not answer
// two probes is gone, unless its zone is silent.
TEST_F(ReachabilityTest, DeadMachineIsDistinguishedFromAPartitionedZone) {
  TestController& node = AddController("n0");
  for (int i = 0; i < 6; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 12));
  Settle(node);
  const MachineId dead{"m-0"};
  unresponsive_workers_.insert(dead);
  for (int i = 0; i < 8; ++i) {
    AdvanceTime(1);
    FailProbes(node, now);
    Settle(node, 1);
  }
  EXPECT_EQ(ReleasedMachines(RunCloud(node)), std::set<MachineId>{dead});
  for (FakeWorker& w : workers_) unresponsive_workers_.insert(w.id());
  for (int i = 0; i < 10; ++i) {
    AdvanceTime(1);
    FailProbes(node, now);
    node.core.Tick(now, wall);
  }
  EXPECT_TRUE(ReleasedMachines(RunCloud(node)).empty())
      << "the whole zone is silent: it is cut off";
}

// Found on the same day: one worker that had come by another controller kept
// its zone's dead machines from being given up.
TEST_F(ReachabilityTest, OneRelayedHeartbeatSuspectsNoZone) {
  TestController& node = AddController("n0");
  for (int i = 0; i < 12; ++i) AddWorker("m-" + std::to_string(10 + i));
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 24));
  Settle(node);
  const MachineId dead{"m-10"};
  unresponsive_workers_.insert(dead);
  for (int i = 0; i < 8; ++i) {
    AdvanceTime(1);
    FailProbes(node, now);
    workers_.back().Deliver(node.core.OnHeartbeat(workers_.back().Snapshot(), now, true));
    unresponsive_workers_.insert(workers_.back().id());
    Settle(node, 1);
  }
  EXPECT_TRUE(ReleasedMachines(RunCloud(node)).contains(dead));
}

// Found on a day when the leader's zone and another were apart: the first few
// relayed reports had the rest of the zone given up, 80 machines that worked, and
// before that 20 whose probes were refused at once.
TEST_F(ReachabilityTest, PartitionedZoneIsKeptWhenItsFirstHeartbeatsAreRelayed) {
  constexpr int kMachines = 30;
  TestController& node = AddController("n0");
  for (int i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(10 + i));
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Run(node, MakeJob("j-1", 2 * kMachines));
  Settle(node);
  for (FakeWorker& w : workers_) unresponsive_workers_.insert(w.id());
  for (int i = 0; i < 16; ++i) {
    AdvanceTime(1);
    while (FailProbes(node, now) > 0) {
    }
    if (i >= 5) {
      FakeWorker& w = workers_.back();
      w.Deliver(node.core.OnHeartbeat(w.Snapshot(), now, true));
    }
    node.core.Tick(now, wall);
  }
  EXPECT_TRUE(ReleasedMachines(RunCloud(node)).empty());
}

// 161 machines that hung at once were found one by one as their reports became
// late, over more than an interval of 10 s.
TEST_F(ReachabilityTest, SeveralSilentMachinesHaveTheOthersProbed) {
  constexpr int kMachines = 30;
  Scheduler::Options options = DefaultOptions();
  options.heartbeat_interval = {10};
  TestController& node = controllers_.emplace_back(store, "n0", options);
  for (int i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(node.TakeOver(now));
  int k = 0;
  for (FakeWorker& w : workers_) {  // half a second apart
    Heartbeat(node, w);
    AdvanceTime(++k % 2 == 0 ? 0.5 : 0);
  }
  // All hang. The first ones are late at 13.3 s, the last one 7 s later.
  AdvanceTime(6.8);
  int asked = 0;
  for (int step = 0; step < 8; ++step) {
    AdvanceTime(0.25);
    asked += FailProbes(node, now);
  }
  EXPECT_GE(asked, kMachines * 2 / 3) << "those unheard for 4 s, without waiting for the rest";
}

}  // namespace
}  // namespace magpie::testing
