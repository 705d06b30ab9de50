// Compares the messages between controllers with tests/golden/controllers/, byte for byte.
#include <mutex>

#include "cancellation/cancellation_registry.h"
#include "controller/heartbeat_handler.h"
#include "golden_file.h"
#include "protocol/codec.h"
#include "recording_store.h"

namespace magpie::testing {
namespace {

constexpr char kRelayedHeartbeatFile[] = "controllers/relayed_report.json";

// The components of a controller that answer workers and other controllers.
class PeerMessagesGoldenTest : public ::testing::Test {
 protected:
  PeerMessagesGoldenTest()
      : cache_(store_, Seconds{0}, {[] { return Instant{1}; }, [](Seconds) {}}),
        cancellations_(
            cache_,
            [this](const auto& cancellation) { recorded_cancellations_.push_back(cancellation); }),
        scheduler_({}, {}),
        leader_health_(Seconds{3}),
        heartbeat_handler_(
            {Seconds{30}, Seconds{4}, {"nestbox-1"}}, mutex_, scheduler_, leader_health_,
            cancellations_,
            {[] { return Instant{100}; }, [this] { return cluster_view_; }, [] {}, [] {},
             [this](const std::string& peer, const std::string& body) {
               relayed_.push_back(peer + " " + body);
               return leader_answer_;
             }}) {
    cancellations_.LoadIfNeeded();
  }

  void BecomeLeader() {
    scheduler_.Start({2}, "nestbox-0-2-", Instant{90});
    scheduler_.FinishLoad(Instant{90});
  }

  FakeStore store_;
  JobCache cache_;
  std::vector<JobCache::Cancellation> recorded_cancellations_;
  CancellationRegistry cancellations_;
  Scheduler scheduler_;
  LeaderHealth leader_health_;
  std::mutex mutex_;
  // The epoch is that of the token in kRelayedHeartbeatFile.
  HeartbeatHandler::ClusterView cluster_view_{"nestbox-1", Revision{2}, false};
  HttpAnswer leader_answer_;
  std::vector<std::string> relayed_;
  HeartbeatHandler heartbeat_handler_;
};

TEST_F(PeerMessagesGoldenTest, CancellationAnnouncementMatchesFile) {
  EXPECT_EQ(CancellationRegistry::Announcement({{"j-000412"}, {412}}),
            GoldenText("controllers/cancellation.json"));
}

TEST_F(PeerMessagesGoldenTest, CancellationAnnouncementIsDecoded) {
  EXPECT_TRUE(cancellations_.RecordAnnouncement(GoldenText("controllers/cancellation.json")));
  ASSERT_EQ(recorded_cancellations_.size(), 1U);
  EXPECT_EQ(recorded_cancellations_[0].job, JobId{"j-000412"});
  EXPECT_EQ(recorded_cancellations_[0].revision, Revision{412});
  EXPECT_TRUE(cache_.IsCancelled({"j-000412"}));
}

// The worker has the current leader's token, so it has lost its connection to the leader.
TEST_F(PeerMessagesGoldenTest, HeartbeatAndLeaderResponseAreRelayedUnchanged) {
  leader_answer_ = {true, true, 200, GoldenText("protocol/reply.json")};
  const HttpResponse response =
      heartbeat_handler_.Handle(GoldenText(kRelayedHeartbeatFile), HeartbeatRoute::kDirect);
  EXPECT_EQ(relayed_, std::vector<std::string>{"nestbox-1 " + GoldenText(kRelayedHeartbeatFile)});
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, GoldenText("protocol/reply.json"));
}

TEST_F(PeerMessagesGoldenTest, WorkerIsRedirectedToLeaderWhenReachableAgain) {
  leader_answer_ = {true, true, 421, "{}"};
  const HttpResponse response =
      heartbeat_handler_.Handle(GoldenText(kRelayedHeartbeatFile), HeartbeatRoute::kDirect);
  EXPECT_EQ(response.status, 421);
  EXPECT_EQ(response.body, R"({"home_roost":"nestbox-1"})");
}

TEST_F(PeerMessagesGoldenTest, LeaderResponseToRelayedHeartbeatMatchesFile) {
  BecomeLeader();
  const HttpResponse response =
      heartbeat_handler_.Handle(GoldenText(kRelayedHeartbeatFile), HeartbeatRoute::kRelayed);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, GoldenText("controllers/relayed_report_answer.json"));
}

TEST_F(PeerMessagesGoldenTest, FollowerRejectsRelayedHeartbeat) {
  const HttpResponse response =
      heartbeat_handler_.Handle(GoldenText(kRelayedHeartbeatFile), HeartbeatRoute::kRelayed);
  EXPECT_EQ(response.status, 421);
  EXPECT_EQ(response.body, "{}");
  EXPECT_TRUE(relayed_.empty());
}

}  // namespace
}  // namespace magpie::testing
