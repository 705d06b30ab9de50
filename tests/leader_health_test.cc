// A leader that no worker reaches, though others do, leaves the lead to one of them.
#include "election/leader_health.h"

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class LeaderHealthTest : public ::testing::Test {
 protected:
  LeaderHealthTest() { leader_health.OnElected(now); }
  // Reports of other machines are passed on for a while, some a second.
  void PassOn(double seconds, int per_task = 10) {
    for (const Instant end = now + Seconds{seconds}; now < end; now = now + Seconds{0.1})
      for (int i = 0; i < per_task; ++i)
        leader_health.OnRelayedHeartbeat({"m-" + std::to_string(++machine_ % kMachines)}, now);
  }
  bool Leaves() { return leader_health.ShouldResign(kMachines, now); }

  static constexpr std::size_t kMachines = 100;
  LeaderHealth leader_health{Seconds{10}};
  Instant now{100};

 private:
  int machine_ = 0;
};

TEST_F(LeaderHealthTest, ResignsWhenWorkersReachOnlyOthers) {
  now = now + Seconds{60};
  leader_health.OnDirectContact(now);
  PassOn(1);
  EXPECT_FALSE(Leaves()) << "it may be chance";
  PassOn(3);
  EXPECT_TRUE(Leaves());
  leader_health.OnDirectContact(now);
  PassOn(1);
  EXPECT_FALSE(Leaves()) << "one got through";
}

TEST_F(LeaderHealthTest, SilenceOrAFewWorkersAreNoReasonToResign) {
  now = now + Seconds{300};
  EXPECT_FALSE(Leaves()) << "nobody is known to reach more";
  for (int i = 0; i < 5; ++i) leader_health.OnRelayedHeartbeat({"m-" + std::to_string(i)}, now);
  EXPECT_FALSE(Leaves()) << "they may be cut off from us alone";
}

TEST_F(LeaderHealthTest, WaitsForWorkersAfterATakeover) {
  PassOn(10);
  EXPECT_FALSE(Leaves());
}

TEST_F(LeaderHealthTest, LeadershipDoesNotFlap) {
  now = now + Seconds{60};
  PassOn(4);
  ASSERT_TRUE(Leaves());
  leader_health.OnResigned(now);
  const Instant left = now;
  EXPECT_FALSE(leader_health.MayCampaign(left, now + Seconds{2})) << "others take it";
  EXPECT_TRUE(leader_health.MayCampaign(left, now + Seconds{4})) << "nobody does";
  leader_health.OnElected(now);
  PassOn(20);
  EXPECT_FALSE(Leaves()) << "it was round once: this is the best there is";
  PassOn(20);
  ASSERT_TRUE(Leaves());
  leader_health.OnResigned(now);
  EXPECT_FALSE(leader_health.MayCampaign(now + Seconds{54}, now + Seconds{55})) << "for longer now";
}

class LeaderResignationTest : public ClusterTest {};

// In the world: the lead is given up by a write of its own, and a late copy of it takes
// the lead from nobody.
TEST_F(LeaderResignationTest, AnotherLeadsAtOnceWhenTheLeaderResigns) {
  TestController& first = AddController("n0");
  TestController& second = AddController("n1");
  ASSERT_TRUE(first.TakeOver(now));
  store.next_commit = FakeStore::Fault::kCommitLate;
  first.election.Resign();
  first.election.Resign();
  first.election.Step(false);
  EXPECT_FALSE(first.election.view().leadership);
  EXPECT_EQ(first.election.view().leader, "");
  EXPECT_TRUE(second.TakeOver(now));
  EXPECT_FALSE(store.DeliverDelayed());
  second.election.Step();
  EXPECT_TRUE(second.election.view().leadership);
  store.ExpireLeases();
  first.election.Step(true);
  EXPECT_TRUE(first.election.view().leadership) << "nobody else did";
}

}  // namespace
}  // namespace magpie::testing
