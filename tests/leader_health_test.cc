// A leader that no worker reaches, while workers reach its peers, resigns in favour of a peer.
#include "election/leader_health.h"

#include "test_cluster.h"

namespace magpie::testing {
namespace {

class LeaderHealthTest : public ::testing::Test {
 protected:
  LeaderHealthTest() { leader_health.OnElected(now); }
  // Relays heartbeats of different machines every 0.1 s for the given time.
  void RelayHeartbeats(double seconds, int machines_per_step = 10) {
    for (const Instant end = now + Seconds{seconds}; now < end; now = now + Seconds{0.1})
      for (int i = 0; i < machines_per_step; ++i)
        leader_health.OnRelayedHeartbeat({"m-" + std::to_string(++next_machine_ % kMachines)}, now);
  }
  bool LeaderShouldResign() { return leader_health.ShouldResign(kMachines, now); }

  static constexpr std::size_t kMachines = 100;
  LeaderHealth leader_health{Seconds{10}};
  Instant now{100};

 private:
  int next_machine_ = 0;
};

TEST_F(LeaderHealthTest, ResignsWhenWorkersReachOnlyPeers) {
  now = now + Seconds{60};
  leader_health.OnDirectContact(now);
  RelayHeartbeats(1);
  EXPECT_FALSE(LeaderShouldResign()) << "one second may be chance";
  RelayHeartbeats(3);
  EXPECT_TRUE(LeaderShouldResign());
  leader_health.OnDirectContact(now);
  RelayHeartbeats(1);
  EXPECT_FALSE(LeaderShouldResign()) << "a worker reached the leader directly";
}

TEST_F(LeaderHealthTest, KeepsLeadershipWithFewOrNoRelays) {
  now = now + Seconds{300};
  EXPECT_FALSE(LeaderShouldResign()) << "no peer is known to reach more workers";
  for (int i = 0; i < 5; ++i) leader_health.OnRelayedHeartbeat({"m-" + std::to_string(i)}, now);
  EXPECT_FALSE(LeaderShouldResign()) << "a few machines may be cut off from this controller only";
}

TEST_F(LeaderHealthTest, WaitsForWorkersAfterTakeover) {
  RelayHeartbeats(10);
  EXPECT_FALSE(LeaderShouldResign());
}

TEST_F(LeaderHealthTest, LeadershipDoesNotFlap) {
  now = now + Seconds{60};
  RelayHeartbeats(4);
  ASSERT_TRUE(LeaderShouldResign());
  leader_health.OnResigned(now);
  const Instant resigned_at = now;
  EXPECT_FALSE(leader_health.MayCampaign(resigned_at, now + Seconds{2}))
      << "peers have time to campaign";
  EXPECT_TRUE(leader_health.MayCampaign(resigned_at, now + Seconds{4}))
      << "no peer became the leader";
  leader_health.OnElected(now);
  RelayHeartbeats(20);
  EXPECT_FALSE(LeaderShouldResign()) << "re-elected: no peer reaches more workers";
  RelayHeartbeats(20);
  ASSERT_TRUE(LeaderShouldResign());
  leader_health.OnResigned(now);
  EXPECT_FALSE(leader_health.MayCampaign(now + Seconds{54}, now + Seconds{55}))
      << "the interval doubles";
}

class LeaderResignationTest : public ClusterTest {};

// Resigning deletes the leader key. A delayed copy of that write must not depose the next leader.
TEST_F(LeaderResignationTest, PeerTakesOverAtOnceWhenLeaderResigns) {
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
  EXPECT_TRUE(first.election.view().leadership) << "the leases of both have expired";
}

}  // namespace
}  // namespace magpie::testing
