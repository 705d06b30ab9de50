// A leader with a wrong or incomplete copy of the records reads all of them again and loses none.
#include <gtest/gtest.h>

#include "simulated_cluster.h"

namespace magpie::testing {
namespace {

// Another writer changes record pages: the leader detects this, reloads them and keeps leading.
TEST(LeaderReloadTest, LeaderWithStaleStateReloads) {
  SimulatedCluster cluster;
  cluster.AdvanceSeconds(3);
  ASSERT_TRUE(cluster.Submit("j-1", 2, "n1"));
  cluster.AdvanceSeconds(5);
  ASSERT_EQ(cluster.LiveTasks("j-1"), 2U);
  const auto pages = cluster.store.Range("p/", "", 10).entries;
  ASSERT_FALSE(pages.empty());
  for (const StoreEntry& page : pages)  // simulates a write that no controller should make
    cluster.store.Commit({{{page.key, page.revision}}, {{page.key, page.value, std::nullopt}}});
  ASSERT_TRUE(cluster.Submit("j-2", 2, "n1"));
  cluster.AdvanceSeconds(8);
  EXPECT_EQ(cluster.stale_batches, 1);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 2U);
  EXPECT_EQ(cluster.LiveTasks("j-2"), 2U);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  EXPECT_EQ(cluster.violations, std::set<std::string>{});
}

// A new leader's read of the records fails in the middle or at its end and is repeated. The repeat
// was added to the state of the first read: each page was registered twice, the second time without
// live records, and was overwritten as if empty, so the next leader lost the running tasks.
TEST(LeaderReloadTest, RepeatedRecordReadLosesNoRecords) {
  for (int lost_call = 0; lost_call < 14; ++lost_call) {
    SCOPED_TRACE(lost_call);
    SimulatedCluster cluster;
    cluster.AdvanceSeconds(3);
    ASSERT_TRUE(cluster.Submit("j-1", 2, "n1"));
    cluster.AdvanceSeconds(6);
    ASSERT_EQ(cluster.LiveTasks("j-1"), 2U);
    const auto restart_leader = [&cluster] {
      const std::string leader = cluster.Leader();
      cluster.StopController(leader);
      cluster.StartController(leader);
    };
    // Loses one response, a different one in each iteration.
    int calls_left = lost_call;
    cluster.inject_fault = [&calls_left](const std::string&, bool) {
      InjectedFault fault;
      fault.response_lost = calls_left-- == 0;
      return fault;
    };
    restart_leader();
    cluster.AdvanceSeconds(8);
    cluster.inject_fault = nullptr;
    ASSERT_TRUE(cluster.Submit("j-2", 2, "n1"));
    cluster.AdvanceSeconds(6);
    EXPECT_EQ(cluster.LiveTasks("j-2"), 2U);
    restart_leader();
    cluster.AdvanceSeconds(12);
    EXPECT_EQ(cluster.LiveTasks("j-1"), 2U);
    EXPECT_EQ(cluster.LiveTasks("j-2"), 2U);
    EXPECT_EQ(cluster.violations, std::set<std::string>{});
  }
}

}  // namespace
}  // namespace magpie::testing
