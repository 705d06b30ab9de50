// Jobs that could run must not wait behind reservations or in the wrong zone.
#include <gtest/gtest.h>

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class JobProgressTest : public ClusterTest {
 protected:
  void Fill(TestController& node, const std::string& job, const std::string& zone,
            std::uint32_t tasks, double cpus, Seconds estimate) {
    JobSpec spec = MakeJob(job, tasks);
    spec.per_task.cpus = cpus;
    spec.zone = zone;
    spec.estimate = estimate;
    spec.priority = Priority::kProduction;  // nothing stops it
    Run(node, spec);
    Settle(node);
  }
  // Until then, with the cloud refusing every rental.
  void WaitRefused(TestController& node, int seconds) {
    for (int i = 0; i < seconds; ++i) {
      AdvanceTime(1);
      Settle(node, 1);
      RunCloud(node);
    }
  }
};

// A job of the team waits for a machine of its zone that is taken for minutes. Its place in the
// queue held the team's quota all that time, and another of the team's jobs waited beside an
// idle machine, with the team using nothing.
TEST_F(JobProgressTest, DistantReservationHoldsNoQuota) {
  AddWorker("m-1", "large", "a");
  FakeWorker& idle = AddWorker("m-2", "large", "b");
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Fill(node, "j-9", "a", 8, 2, {600});
  ASSERT_EQ(CountLiveTasks(), 8U);
  JobSpec bound = MakeJob("j-1", 3);
  bound.team = "blue";
  bound.zone = "a";
  bound.priority = Priority::kHigh;
  bound.deadline = Seconds{5000};  // so that it is in time all the same
  Run(node, bound);
  JobSpec free = MakeJob("j-2", 1);
  free.team = "blue";
  free.zone = "b";
  Run(node, free);
  WaitRefused(node, 20);
  EXPECT_TRUE(idle.HasLiveTask({{"j-2"}, 0}));
  // As the other ends, the one that waited has its turn, within the limit.
  idle.EndAll(ExitReason::kDone);
  workers_.front().EndAll(ExitReason::kDone);
  WaitRefused(node, 5);
  EXPECT_EQ(CountLiveTasks(), 3U);
}

// A job's tasks may be spread, and one zone has all that it may hold. A machine was planned where
// one costs least, in that very zone, and none was rented.
TEST_F(JobProgressTest, MachineIsRentedInTheZoneThatTheJobHasLeft) {
  AddWorker("m-1", "large", "a");
  for (int i = 2; i < 5; ++i) AddWorker("m-" + std::to_string(i), "large", "b");
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  Settle(node);
  Fill(node, "j-9", "b", 3, 12, {600});
  JobSpec spread = MakeJob("j-1", 2);
  spread.per_task.cpus = 12;
  spread.spread = true;
  Run(node, spread);
  Settle(node);
  ASSERT_TRUE(workers_.front().HasLiveTask({{"j-1"}, 0}));
  std::set<std::string> zones;
  for (int i = 0; i < 10; ++i) {
    AdvanceTime(1);
    Settle(node, 1);
    for (const CloudCall& call : RunCloud(node))
      if (call.kind == CloudCall::Kind::kProvision) zones.insert(call.scale_out.kind.zone);
  }
  EXPECT_TRUE(zones.contains("b"));
}

}  // namespace
}  // namespace magpie::testing
