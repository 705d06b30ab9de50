// The combinations of faults of docs/notes/fault-combinations.md, one scenario each: whole
// controllers in virtual time, two faults at once, the invariants checked throughout, and at the
// end every accepted job over or running. What a scenario expects beside that it checks itself.
#include <gtest/gtest.h>

#include "fault_scenarios.h"

namespace magpie::testing {
namespace {

struct FaultScenario {
  const char* name;
  std::function<void(ScenarioCluster&)> script;
  int settle_s = 60;  // from the end of the faults until the final state must be reached
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
        FaultScenario{"ZoneWithoutMachinesDelaysNoOtherJob", ZoneWithoutMachinesDoesNotDelayOtherJobs},
        FaultScenario{"PollsEverywhere", PollsAllControllersAroundStateChanges},
        FaultScenario{"CancelledAtTheEndOfTheLastTask", CancellationWhenLastTaskEnds},
        FaultScenario{"OnlyTheAnswerIsLostWhileOthersRead", StoreResponseLostDuringReads},
        FaultScenario{"StaleHeartbeatsReachEveryControllerDuringATakeover",
                      StaleHeartbeatsAtAllControllersDuringTakeover},
        FaultScenario{"HeartbeatIsDelayedUntilANewLeaderHasActed",
                      HeartbeatDelayedUntilNewLeaderActed},
        FaultScenario{"TenChangesOfLeaderInTwoMinutes", TenLeaderChangesInTwoMinutes},
        FaultScenario{"AllControllersAreDownForLongerThanALease",
                      AllControllersDownBeyondLease},
        FaultScenario{"CommandOfAFormerLeaderArrivesLate", LateCommandFromFormerLeader},
        FaultScenario{"CancelledDuringAHandover", CancellationDuringHandover},
        FaultScenario{"CancelledAtTheQuotaOnUnreachableMachines",
                      CancellationAtQuotaOnUnreachableMachinesDuringTakeover},
        FaultScenario{"ZoneWithAControllerIsPartitionedForLongerThanALease",
                      ZoneWithControllerPartitionedBeyondLease},
        FaultScenario{"MachinesThatSendNothingLoseTheirLeases",
                      MachinesWithoutHeartbeatsLoseLeasesDespiteProbes},
        FaultScenario{"CancelledAtTheRefusal", CancellationWhenStoreRefusesLeaderBeforeOutage},
        FaultScenario{"LeadershipMovesBackAndForthAndAllCrash",
                      LeadershipAlternatesThenAllControllersCrash},
        FaultScenario{"TasksEndFarApartAcrossLeaders", TasksEndUnderDifferentLeaders},
        FaultScenario{"LeaderCrashesWhileMachinesAreUnreachable",
                      LeaderCrashesWhileMachinesUnreachable},
        FaultScenario{"QuickBootsWhileWritesLag", FastBootsWithLateWritesAndLeaderCrash},
        FaultScenario{"OverloadWithSlowHeartbeatsAndCommands",
                      OverloadWithSlowHeartbeatsAndCommands},
        FaultScenario{"InvalidRequestsAreNeverAccepted", InvalidRequestsAreRejected},
        FaultScenario{"OneTaskJobsFourASecond", FourSingleTaskJobsPerSecondQuarterCancelled}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace magpie::testing
