// Reservations and the choice of a zone must not delay jobs that could run.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class JobProgressTest : public ClusterTest {
 protected:
  // Fills machines of the zone with tasks that are not preempted.
  void Fill(TestController& controller, const std::string& job, const std::string& zone,
            std::uint32_t tasks, double cpus, Seconds estimate) {
    JobSpec spec = MakeJob(job, tasks);
    spec.per_task.cpus = cpus;
    spec.zone = zone;
    spec.estimate = estimate;
    spec.priority = Priority::kProduction;
    Run(controller, spec);
    Settle(controller);
  }
  // Runs the cluster for a time in which the cloud refuses all provisioning.
  void WaitWithoutProvisioning(TestController& controller, int seconds) {
    for (int i = 0; i < seconds; ++i) {
      AdvanceTime(1);
      Settle(controller, 1);
      RunCloud(controller);
    }
  }
};

// A job waits for a machine in its zone that is occupied for minutes. In an earlier version, its
// reservation held the team's quota meanwhile, so another job of the team was not placed on an idle
// machine although the team used nothing.
TEST_F(JobProgressTest, DistantReservationHoldsNoQuota) {
  AddWorker("m-1", "large", "a");
  FakeWorker& idle = AddWorker("m-2", "large", "b");
  TestController& controller = AddController("n0");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Fill(controller, "j-9", "a", 8, 2, {600});
  ASSERT_EQ(CountLiveTasks(), 8U);
  JobSpec reserved = MakeJob("j-1", 3);
  reserved.team = "blue";
  reserved.zone = "a";
  reserved.priority = Priority::kHigh;
  reserved.deadline = Seconds{5000};  // met even after the wait
  Run(controller, reserved);
  JobSpec placeable = MakeJob("j-2", 1);
  placeable.team = "blue";
  placeable.zone = "b";
  Run(controller, placeable);
  WaitWithoutProvisioning(controller, 20);
  EXPECT_TRUE(idle.HasLiveTask({{"j-2"}, 0}));
  // After both other jobs end, the waiting job is placed within the quota.
  idle.EndAll(ExitReason::kDone);
  workers_.front().EndAll(ExitReason::kDone);
  WaitWithoutProvisioning(controller, 5);
  EXPECT_EQ(CountLiveTasks(), 3U);
}

// One zone has the maximum number of tasks of a job with spread. In an earlier version, the planner
// chose the cheapest zone for a new machine, which was that one, so no machine was provisioned.
TEST_F(JobProgressTest, MachineIsProvisionedInZoneAllowedBySpread) {
  AddWorker("m-1", "large", "a");
  for (int i = 2; i < 5; ++i) AddWorker("m-" + std::to_string(i), "large", "b");
  TestController& controller = AddController("n0");
  ASSERT_TRUE(controller.TakeOver(now));
  Settle(controller);
  Fill(controller, "j-9", "b", 3, 12, {600});
  JobSpec spread = MakeJob("j-1", 2);
  spread.per_task.cpus = 12;
  spread.spread = true;
  Run(controller, spread);
  Settle(controller);
  ASSERT_TRUE(workers_.front().HasLiveTask({{"j-1"}, 0}));
  std::set<std::string> zones;
  for (int i = 0; i < 10; ++i) {
    AdvanceTime(1);
    Settle(controller, 1);
    for (const CloudCall& call : RunCloud(controller))
      if (call.kind == CloudCall::Kind::kProvision) zones.insert(call.scale_out.kind.zone);
  }
  EXPECT_TRUE(zones.contains("b"));
}

}  // namespace
}  // namespace magpie::testing
