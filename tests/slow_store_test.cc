// User requests while every call to the key-value store is slow.
#include <gtest/gtest.h>

#include "simulated_cluster.h"

namespace magpie::testing {
namespace {

// A key-value store that advances the test's clock by a fixed latency on each call.
class SlowStore : public FakeStore {
 public:
  SlowStore(Instant& now, Seconds latency) : now_(now), latency_(latency) {}
  GetResult Get(const std::string& key) override { return AddLatency(FakeStore::Get(key)); }
  TransactionResult Commit(const Transaction& txn) override {
    return AddLatency(FakeStore::Commit(txn));
  }
  WatchResult Watch(const std::string& prefix, Revision after, Seconds block) override {
    return AddLatency(FakeStore::Watch(prefix, after, block));
  }

 private:
  template <typename Result>
  Result AddLatency(Result result) {
    now_ = now_ + latency_;
    return result;
  }
  Instant& now_;
  Seconds latency_;
};

// A cancellation is answered within the user's timeout of 5 s, however slow the store. Once it is
// acknowledged, every later query through any controller shows the job as cancelled.
TEST(SlowStoreTest, CancellationIsAnsweredInTimeAndReadsAreMonotonic) {
  for (const double latency : {0.05, 0.2, 0.4, 0.9, 1.4}) {
    SCOPED_TRACE(latency);
    Instant now{100};
    SlowStore store(now, {latency});
    std::list<JobApi> nodes;
    const JobApi::Hooks hooks{[] { return SimulatedMachineTypes(); },
                              [](const JobId&) { return JobProgress{}; },
                              [] { return WallTime{1000}; },
                              [&](Seconds s) { now = now + s; },
                              [&] { return now; },
                              [](const JobId&, Revision) { return true; }};
    for (int i = 0; i < 3; ++i)
      nodes.emplace_back(store, SimulatedSchedulerOptions().teams,
                         std::vector<std::string>{"a", "b"}, Seconds{0},
                         SubmissionBatcher::Options{}, hooks);
    ASSERT_EQ(nodes.front().Submit(protocol::JobToRecord(MakeJob("j-1")).dump()).status, 201);
    bool acknowledged = false;
    for (int i = 0; i < 8; ++i)
      for (JobApi& node : nodes) {
        const Instant begin = now;
        const HttpResponse answer = node.Cancel("j-1");
        EXPECT_LT(now - begin, Seconds{5});
        acknowledged |= answer.status == 200;
        if (!acknowledged) continue;
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(protocol::Json::parse(node.Query("j-1").body).at("mood").get<std::string>(),
                  "withdrawn");
      }
    EXPECT_TRUE(acknowledged);
  }
}

}  // namespace
}  // namespace magpie::testing
