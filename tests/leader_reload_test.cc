// A leader whose view of the records is wrong or incomplete reads them anew and loses nothing.
#include <gtest/gtest.h>

#include "simulated_cluster.h"

namespace magpie::testing {
namespace {

// Whatever made the leader's books of its pages wrong, it reads them anew and goes on.
TEST(LeaderReloadTest, LeaderWithStaleStateReloads) {
  SimulatedCluster cluster;
  cluster.AdvanceSeconds(3);
  ASSERT_TRUE(cluster.Submit("j-1", 2, "n1"));
  cluster.AdvanceSeconds(5);
  ASSERT_EQ(cluster.LiveTasks("j-1"), 2U);
  const auto pages = cluster.store.Range("p/", "", 10).entries;
  ASSERT_FALSE(pages.empty());
  for (const StoreEntry& page : pages)  // as nobody ever should
    cluster.store.Commit({{{page.key, page.revision}}, {{page.key, page.value, std::nullopt}}});
  ASSERT_TRUE(cluster.Submit("j-2", 2, "n1"));
  cluster.AdvanceSeconds(8);
  EXPECT_EQ(cluster.stale_batches, 1);
  EXPECT_EQ(cluster.LiveTasks("j-1"), 2U);
  EXPECT_EQ(cluster.LiveTasks("j-2"), 2U);
  EXPECT_EQ(cluster.LeasesLost(), 0);
  EXPECT_EQ(cluster.violations, std::set<std::string>{});
}

// A new leader's read of the records fails in the middle or at its end, and is repeated. Over what
// the first had brought, each page stood in the books twice, the second time with no live records,
// and was overwritten as if it were empty: the next leader knew nothing of what ran.
TEST(LeaderReloadTest, RepeatedReadOfTheRecordsLosesNone) {
  for (int at = 0; at < 14; ++at) {
    SCOPED_TRACE(at);
    SimulatedCluster cluster;
    cluster.AdvanceSeconds(3);
    ASSERT_TRUE(cluster.Submit("j-1", 2, "n1"));
    cluster.AdvanceSeconds(6);
    ASSERT_EQ(cluster.LiveTasks("j-1"), 2U);
    const auto lead_ends = [&cluster] {
      const std::string leader = cluster.Leader();
      cluster.StopController(leader);
      cluster.StartController(leader);
    };
    // One answer is lost: a different one each time.
    int left = at;
    cluster.inject_fault = [&left](const std::string&, bool) {
      InjectedFault fate;
      fate.response_lost = left-- == 0;
      return fate;
    };
    lead_ends();
    cluster.AdvanceSeconds(8);
    cluster.inject_fault = nullptr;
    ASSERT_TRUE(cluster.Submit("j-2", 2, "n1"));
    cluster.AdvanceSeconds(6);
    EXPECT_EQ(cluster.LiveTasks("j-2"), 2U);
    lead_ends();
    cluster.AdvanceSeconds(12);
    EXPECT_EQ(cluster.LiveTasks("j-1"), 2U);
    EXPECT_EQ(cluster.LiveTasks("j-2"), 2U);
    EXPECT_EQ(cluster.violations, std::set<std::string>{});
  }
}

}  // namespace
}  // namespace magpie::testing
