// Distinction of partitioned, relayed and failed machines, zones and controllers.
#include <gtest/gtest.h>

#include "controller/leader_reachability.h"
#include "controller/redirect_tracker.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

// Reports all probes that are to be sent now as not sent; returns their number.
int FailProbes(TestController& controller, Instant now) {
  int failed = 0;
  for (; auto probe = controller.core.NextProbe(now); ++failed)
    controller.core.OnDirectCommandResult(*probe, DeliveryStatus::kNotSent, std::nullopt, now);
  return failed;
}

// Guards against redirecting workers back and forth until their leases expire, when two zones are
// partitioned from each other and the leader changes. Found in a run with random faults.
TEST(RedirectTrackerTest, WorkerReturningFromLeaderCannotReachIt) {
  RedirectTracker redirects(Seconds{45});
  const MachineId machine{"m-1"};
  EXPECT_FALSE(redirects.ReturnedFromLeader(machine, Instant{100}));
  EXPECT_FALSE(redirects.ReturnedFromLeader(machine, Instant{101}))
      << "too early to have tried the leader";
  EXPECT_TRUE(redirects.ReturnedFromLeader(machine, Instant{109}));
  EXPECT_FALSE(redirects.ReturnedFromLeader(machine, Instant{300}))
      << "the worker may have reached the leader since then";
  redirects.OnLeaderChanged();
  EXPECT_FALSE(redirects.ReturnedFromLeader(machine, Instant{306}));
}

// Guards against workers' leases expiring in a zone that is partitioned from all others, although
// the zone has a controller.
TEST(LeaderReachabilityTest, PartitionedControllerRenewsWorkerLeases) {
  LeaderReachability reachability(Seconds{4});
  const Revision epoch{7};
  EXPECT_FALSE(reachability.MayRenewLease(FirstFencingToken(epoch), epoch, true, Instant{100}))
      << "the leader has not been contacted yet";
  reachability.OnFailure(Instant{100}, false);
  EXPECT_FALSE(reachability.MayRelay(Instant{101}));
  EXPECT_TRUE(reachability.MayRenewLease(FirstFencingToken(epoch), epoch, true, Instant{100}));
  EXPECT_FALSE(reachability.MayRenewLease(FirstFencingToken(epoch), epoch, false, Instant{105}))
      << "another controller may become leader shortly";
  EXPECT_TRUE(reachability.MayRenewLease(FirstFencingToken(epoch), epoch, false, Instant{107}));
  EXPECT_FALSE(reachability.MayRenewLease(FirstFencingToken({8}), epoch, true, Instant{107}))
      << "the worker has seen the token of a later leader";
  EXPECT_TRUE(reachability.MayRelay(Instant{103}));
  reachability.OnAnswer();
  EXPECT_FALSE(reachability.MayRenewLease(FirstFencingToken(epoch), epoch, true, Instant{107}));
  reachability.OnFailure(Instant{108}, true);
  EXPECT_TRUE(reachability.MayRenewLease(FirstFencingToken(epoch), epoch, false, Instant{108}))
      << "the request to the leader timed out";
  reachability.OnDeclined(Instant{110});
  reachability.OnFailure(Instant{112}, false);
  EXPECT_FALSE(reachability.MayRenewLease(FirstFencingToken(epoch), epoch, false, Instant{112}))
      << "the leader declined, and its term may have ended";
}

class ReachabilityTest : public ClusterTest {};

// Guards against a leader that resigns while its lease is still valid: a burst of submissions made
// the key-value store refuse renewals of the lease.
TEST_F(ReachabilityTest, RefusedRenewalDoesNotEndLeadership) {
  TestController& controller = AddController("n0");
  ASSERT_TRUE(controller.TakeOver(now));
  const auto before = controller.election.view().leadership;
  store.outage = true;
  EXPECT_FALSE(controller.election.Step().store_reachable);
  EXPECT_EQ(controller.election.view().leadership, before);
  store.outage = false;
  EXPECT_TRUE(controller.election.Step().store_reachable);
  EXPECT_EQ(controller.election.view().leadership, before);
}

// Guards against placing several tasks on a faulty machine before it is excluded. Found in a run in
// which many machines failed all their tasks.
TEST_F(ReachabilityTest, SingleFailureOfHealthyJobReleasesMachine) {
  TestController& controller = AddController("n0");
  FakeWorker& first = AddWorker("m-1");
  FakeWorker& second = AddWorker("m-2");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 1));
  Settle(controller);
  FakeWorker& failed_worker = first.LiveTaskCount() > 0 ? first : second;
  failed_worker.EndAll(ExitReason::kError);
  Heartbeat(controller, failed_worker);
  controller.core.Tick(now, wall);
  EXPECT_TRUE(ReleasedMachines(RunCloud(controller)).empty()) << "the job may be the cause";
  AdvanceTime(3);  // until the machine is no longer suspected
  Settle(controller);
  Run(controller, MakeJob("j-2", 3));
  Settle(controller);
  FakeWorker& faulty = first.HasLiveTask(TaskOf("j-2", 0)) ? first : second;
  FakeWorker& healthy = &faulty == &first ? second : first;
  ASSERT_GT(healthy.LiveTaskCount(), 0U);
  faulty.EndAll(ExitReason::kError);
  healthy.EndAll(ExitReason::kDone);
  Settle(controller, 1);
  Settle(controller, 1);
  EXPECT_EQ(ReleasedMachines(RunCloud(controller)), std::set<MachineId>{faulty.id()});
}

// A machine that misses a heartbeat and does not answer two probes has failed, unless no heartbeats
// arrive from its zone. Guards against late releases: 72 machines that failed at once were released
// only after many heartbeat intervals.
TEST_F(ReachabilityTest, FailedMachineIsDistinguishedFromPartitionedZone) {
  TestController& controller = AddController("n0");
  for (int i = 0; i < 6; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 12));
  Settle(controller);
  const MachineId failed_machine{"m-0"};
  unresponsive_workers_.insert(failed_machine);
  for (int i = 0; i < 8; ++i) {
    AdvanceTime(1);
    FailProbes(controller, now);
    Settle(controller, 1);
  }
  EXPECT_EQ(ReleasedMachines(RunCloud(controller)), std::set<MachineId>{failed_machine});
  for (FakeWorker& worker : workers_) unresponsive_workers_.insert(worker.id());
  for (int i = 0; i < 10; ++i) {
    AdvanceTime(1);
    FailProbes(controller, now);
    controller.core.Tick(now, wall);
  }
  EXPECT_TRUE(ReleasedMachines(RunCloud(controller)).empty())
      << "a zone without any heartbeats counts as partitioned";
}

// Guards against a single relayed worker preventing the release of failed machines in its zone.
// Found in the run with 72 failed machines.
TEST_F(ReachabilityTest, SingleRelayedHeartbeatDoesNotSuspectZone) {
  TestController& controller = AddController("n0");
  for (int i = 0; i < 12; ++i) AddWorker("m-" + std::to_string(10 + i));
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 24));
  Settle(controller);
  const MachineId failed_machine{"m-10"};
  unresponsive_workers_.insert(failed_machine);
  for (int i = 0; i < 8; ++i) {
    AdvanceTime(1);
    FailProbes(controller, now);
    workers_.back().Deliver(
        controller.core.OnHeartbeat(workers_.back().Snapshot(), now, HeartbeatRoute::kRelayed));
    unresponsive_workers_.insert(workers_.back().id());
    Settle(controller, 1);
  }
  EXPECT_TRUE(ReleasedMachines(RunCloud(controller)).contains(failed_machine));
}

// Guards against releasing working machines when the leader's zone and another one are partitioned
// from each other: 20 were released because their probes were refused at once, and 80 more when the
// first relayed heartbeats of the zone arrived.
TEST_F(ReachabilityTest, PartitionedZoneIsKeptWhenFirstHeartbeatsAreRelayed) {
  constexpr int kMachines = 30;
  TestController& controller = AddController("n0");
  for (int i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(10 + i));
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Run(controller, MakeJob("j-1", 2 * kMachines));
  Settle(controller);
  for (FakeWorker& worker : workers_) unresponsive_workers_.insert(worker.id());
  for (int i = 0; i < 16; ++i) {
    AdvanceTime(1);
    while (FailProbes(controller, now) > 0) {
    }
    if (i >= 5) {
      FakeWorker& worker = workers_.back();
      worker.Deliver(controller.core.OnHeartbeat(worker.Snapshot(), now, HeartbeatRoute::kRelayed));
    }
    controller.core.Tick(now, wall);
  }
  EXPECT_TRUE(ReleasedMachines(RunCloud(controller)).empty());
}

// Guards against slow detection of mass failures: 161 machines that hung at once were found one by
// one as their heartbeats became late, over more than one interval of 10 s.
TEST_F(ReachabilityTest, SeveralUnansweredProbesTriggerEarlyProbes) {
  constexpr int kMachines = 30;
  Scheduler::Options options = DefaultOptions();
  options.heartbeat_interval = {10};
  TestController& controller = controllers_.emplace_back(store, "n0", options);
  for (int i = 0; i < kMachines; ++i) AddWorker("m-" + std::to_string(i));
  ASSERT_TRUE(controller.TakeOver(now));
  int heartbeats_sent = 0;
  for (FakeWorker& worker : workers_) {  // two every half second
    Heartbeat(controller, worker);
    AdvanceTime(++heartbeats_sent % 2 == 0 ? 0.5 : 0);
  }
  // All machines hang. The first two are late at 13.3 s, the last two 7 s later.
  AdvanceTime(6.8);
  int probed = 0;
  for (int step = 0; step < 8; ++step) {
    AdvanceTime(0.25);
    probed += FailProbes(controller, now);
  }
  EXPECT_GE(probed, kMachines * 2 / 3) << "machines without heartbeats for 4 s are probed early";
}

}  // namespace
}  // namespace magpie::testing
