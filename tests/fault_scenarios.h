// Scenarios run by fault_scenario_test.cc. Each injects faults into a running cluster and checks
// its own expectations beside the invariants; a failed expectation fails the test that runs it.
#pragma once

#include <gtest/gtest.h>

#include "scenario_cluster.h"

namespace magpie::testing {

// ---- Jobs, machines and users (job_fault_scenarios.cc)
void ZoneBoundJobsLoseMachines(ScenarioCluster& cluster);
void ZoneWithoutMachinesDoesNotDelayOtherJobs(ScenarioCluster& cluster);
void PollsAllControllersAroundStateChanges(ScenarioCluster& cluster);
void CancellationWhenLastTaskEnds(ScenarioCluster& cluster);
void StoreResponseLostDuringReads(ScenarioCluster& cluster);
void CancellationAtQuotaOnUnreachableMachinesDuringTakeover(ScenarioCluster& cluster);
void ZoneWithControllerPartitionedBeyondLease(ScenarioCluster& cluster);
void MachinesWithoutHeartbeatsLoseLeasesDespiteProbes(ScenarioCluster& cluster);
void CancellationWhenStoreRefusesLeaderBeforeOutage(ScenarioCluster& cluster);
void OverloadWithSlowHeartbeatsAndCommands(ScenarioCluster& cluster);
void InvalidRequestsAreRejected(ScenarioCluster& cluster);
void FourSingleTaskJobsPerSecondQuarterCancelled(ScenarioCluster& cluster);

// ---- Leader changes (leader_fault_scenarios.cc)
void StaleHeartbeatsAtAllControllersDuringTakeover(ScenarioCluster& cluster);
void HeartbeatDelayedUntilNewLeaderActed(ScenarioCluster& cluster);
void TenLeaderChangesInTwoMinutes(ScenarioCluster& cluster);
void AllControllersDownBeyondLease(ScenarioCluster& cluster);
void LateCommandFromFormerLeader(ScenarioCluster& cluster);
void CancellationDuringHandover(ScenarioCluster& cluster);
void LeadershipAlternatesThenAllControllersCrash(ScenarioCluster& cluster);
void TasksEndUnderDifferentLeaders(ScenarioCluster& cluster);
void LeaderCrashesWhileMachinesUnreachable(ScenarioCluster& cluster);
void FastBootsWithLateWritesAndLeaderCrash(ScenarioCluster& cluster);

}  // namespace magpie::testing
