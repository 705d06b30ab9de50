// Runs the fault combinations of docs/notes/fault-combinations.md, one scenario each, on complete
// controllers in virtual time. Invariants are checked throughout, and at the end every accepted job
// must be final or running. Scenarios check further expectations themselves.
#include <gtest/gtest.h>

#include "fault_scenarios.h"

namespace magpie::testing {
namespace {

struct FaultScenario {
  const char* name;
  std::function<void(ScenarioCluster&)> script;
  int settle_s = 60;  // time from the end of the faults to the final checks
};

std::ostream& operator<<(std::ostream& out, const FaultScenario& scenario) {
  return out << scenario.name;
}

class FaultScenarioTest : public ::testing::TestWithParam<FaultScenario> {};

TEST_P(FaultScenarioTest, KeepsInvariantsAndFinishesAllJobs) {
  ScenarioCluster cluster;
  cluster.Run(3);
  for (const char* job : {"j-1", "j-2"}) ASSERT_TRUE(cluster.Submit(job, 2, "n1"));
  cluster.Run(8);
  ASSERT_EQ(cluster.LiveTasks("j-1") + cluster.LiveTasks("j-2"), 4U);
  GetParam().script(cluster);
  cluster.ClearFaults();
  cluster.Run(GetParam().settle_s);
  EXPECT_EQ(cluster.DescribeUnfinishedJobs(), "");
  EXPECT_EQ(cluster.violations, std::set<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, FaultScenarioTest,
    ::testing::Values(
        FaultScenario{"ZoneBoundJobsLoseMachines", ZoneBoundJobsLoseMachines},
        FaultScenario{"ZoneWithoutMachinesDoesNotDelayOtherJobs",
                      ZoneWithoutMachinesDoesNotDelayOtherJobs},
        FaultScenario{"PollsAllControllers", PollsAllControllersAroundStateChanges},
        FaultScenario{"CancellationWhenLastTaskEnds", CancellationWhenLastTaskEnds},
        FaultScenario{"StoreResponseLostDuringReads", StoreResponseLostDuringReads},
        FaultScenario{"StaleHeartbeatsAtAllControllersDuringTakeover",
                      StaleHeartbeatsAtAllControllersDuringTakeover},
        FaultScenario{"HeartbeatDelayedUntilNewLeaderActed", HeartbeatDelayedUntilNewLeaderActed},
        FaultScenario{"TenLeaderChangesInTwoMinutes", TenLeaderChangesInTwoMinutes},
        FaultScenario{"AllControllersDownBeyondLease", AllControllersDownBeyondLease},
        FaultScenario{"LateCommandFromFormerLeader", LateCommandFromFormerLeader},
        FaultScenario{"CancellationDuringHandover", CancellationDuringHandover},
        FaultScenario{"CancellationAtQuotaOnUnreachableMachines",
                      CancellationAtQuotaOnUnreachableMachinesDuringTakeover},
        FaultScenario{"ZoneWithControllerPartitionedBeyondLease",
                      ZoneWithControllerPartitionedBeyondLease},
        FaultScenario{"MachinesWithoutHeartbeatsLoseLeases",
                      MachinesWithoutHeartbeatsLoseLeasesDespiteProbes},
        FaultScenario{"CancellationWhenStoreRefusesLeader",
                      CancellationWhenStoreRefusesLeaderBeforeOutage},
        FaultScenario{"LeadershipAlternatesThenAllControllersCrash",
                      LeadershipAlternatesThenAllControllersCrash},
        FaultScenario{"TasksEndUnderDifferentLeaders", TasksEndUnderDifferentLeaders},
        FaultScenario{"LeaderCrashesWhileMachinesUnreachable",
                      LeaderCrashesWhileMachinesUnreachable},
        FaultScenario{"FastBootsWithLateWrites", FastBootsWithLateWritesAndLeaderCrash},
        FaultScenario{"OverloadWithSlowHeartbeatsAndCommands",
                      OverloadWithSlowHeartbeatsAndCommands},
        FaultScenario{"InvalidRequestsAreRejected", InvalidRequestsAreRejected},
        FaultScenario{"FourSingleTaskJobsPerSecond", FourSingleTaskJobsPerSecondQuarterCancelled}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace magpie::testing
