// Lost, late and refused responses of the key-value store: the timeout of a transaction, the time
// until its outcome is known, and the number of requests needed.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "admission/submission_batcher.h"
#include "fake_key_value_store.h"
#include "job_builder.h"
#include "kv/answer_timeout.h"
#include "records/records.h"
#include "records/write_batch_committer.h"

namespace magpie::testing {
namespace {

constexpr Seconds kMaxTimeout{1.5};

TEST(AnswerTimeoutTest, FollowsTypicalLatencyWithinBounds) {
  AnswerTimeout timeout({.minimum = {0.06}, .maximum = kMaxTimeout, .quantile = 0.9, .factor = 3});
  EXPECT_EQ(timeout.Current(), kMaxTimeout) << "no latencies measured yet";
  for (int i = 0; i < 100; ++i) timeout.OnTransactionAnswered({i % 25 == 0 ? 0.4 : 0.004});
  EXPECT_NEAR(timeout.Current().value, 0.06, 1e-6)
      << "one slow response in 25 must not raise the timeout";
  for (int i = 0; i < 100; ++i) timeout.OnTransactionAnswered({0.06});
  EXPECT_NEAR(timeout.Current().value, 0.18, 0.011);
  for (int i = 0; i < 100; ++i) timeout.OnTransactionAnswered({1});
  EXPECT_EQ(timeout.Current(), kMaxTimeout);
}

// All transactions time out, so their latencies cannot show that the store has become slow.
TEST(AnswerTimeoutTest, AdaptsToSlowStoreFromReads) {
  AnswerTimeout timeout({.maximum = kMaxTimeout});
  for (int i = 0; i < 40; ++i) timeout.OnTransactionAnswered({0.004});
  for (int i = 0; i < 8; ++i) {
    timeout.OnTransactionUnanswered();
    timeout.OnReadAnswered({0.1});
  }
  EXPECT_GE(timeout.Current(), Seconds{0.3});
}

TEST(AnswerTimeoutTest, DoublesAfterConsecutiveUnansweredTransactions) {
  AnswerTimeout timeout({.minimum = {0.06}, .maximum = kMaxTimeout});
  for (int i = 0; i < 8; ++i) timeout.OnTransactionAnswered({0.004});
  for (const double expected : {0.06, 0.06, 0.06, 0.12, 0.24, 0.48, 0.96, 1.5, 1.5}) {
    EXPECT_NEAR(timeout.Current().value, expected, 0.011);
    timeout.OnTransactionUnanswered();
  }
  timeout.OnTransactionAnswered({0.004});
  EXPECT_NEAR(timeout.Current().value, 0.06, 1e-6);
}

struct StoreConditions {
  const char* name;
  double lost = 0;         // fraction of transactions carried out with a lost response
  double late = 0;         // fraction carried out later, without a response
  double refused = 0;      // fraction refused with 429
  double latency = 0.004;  // seconds
  double in_time = 0;      // minimum fraction of submissions durable within 0.2 s
  double requests = 0;     // maximum number of requests per second
};

std::ostream& operator<<(std::ostream& out, const StoreConditions& conditions) {
  return out << conditions.name;
}

// A store with simulated latency on the test's clock and the timeouts of HttpKeyValueStore.
class UnreliableStore : public FakeStore {
 public:
  UnreliableStore(const StoreConditions& conditions, Instant& now)
      : conditions_(conditions), now_(now) {}

  GetResult Get(const std::string& key) override {
    ++requests;
    AdvanceTime({conditions_.latency});
    timeout_.OnReadAnswered({conditions_.latency});
    return FakeStore::Get(key);
  }

  TransactionResult Commit(const Transaction& txn) override {
    ++requests;
    const Seconds limit = timeout_.Current();
    std::uniform_real_distribution<double> draw(0, 1);
    const double drawn = draw(random_);
    if (drawn < conditions_.refused) {
      AdvanceTime({conditions_.latency});
      return {StoreStatus::kRefused, {}, {}, true};
    }
    const double unanswered = drawn - conditions_.refused;
    const bool slow = conditions_.latency > limit.value;
    if (unanswered < conditions_.lost + conditions_.late || slow) {
      next_commit =
          unanswered < conditions_.lost || slow ? Fault::kLoseResponse : Fault::kCommitLate;
      AdvanceTime(limit);
      timeout_.OnTransactionUnanswered();
      return FakeStore::Commit(txn);
    }
    AdvanceTime({conditions_.latency});
    timeout_.OnTransactionAnswered({conditions_.latency});
    return FakeStore::Commit(txn);
  }

  int requests = 0;

 private:
  void AdvanceTime(Seconds delay) { now_ = now_ + delay; }

  StoreConditions conditions_;
  Instant& now_;
  AnswerTimeout timeout_{{.maximum = kMaxTimeout}};
  std::minstd_rand random_{391};
};

class LostSubmissionAnswersTest : public ::testing::TestWithParam<StoreConditions> {};

TEST_P(LostSubmissionAnswersTest, SubmissionsAreDurableInTimeWithoutRetryStorm) {
  ThreadRandom().seed(1);  // makes the backoff deterministic
  constexpr int kJobs = 400;
  Instant now{100};
  UnreliableStore store(GetParam(), now);
  SubmissionBatcher submissions(store, {.rate_limit = {.maximum = 25, .initial = 0.5}},
                                {[&] { return now; }, [&](Seconds delay) { now = now + delay; }});
  // Earlier reads, as the election and polls make them.
  for (int i = 0; i < 20; ++i) store.Get("warm");
  store.requests = 0;
  const Instant begin = now;
  int in_time = 0;
  std::map<std::string, Revision> accepted;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "j-" + std::to_string(i);
    const Instant submitted_at = now;
    const SubmissionBatcher::Status status = submissions.Submit(MakeJob(id)).status;
    const bool durable = status == SubmissionBatcher::Status::kAccepted ||
                         status == SubmissionBatcher::Status::kAlreadyExists;
    if (durable) {
      const std::string key = records::JobKey({id});
      const std::optional<StoreEntry> entry = store.FakeStore::Get(key).entry;
      ASSERT_TRUE(entry) << "not durable: " << key;
      accepted[key] = entry->revision;
    }
    if (durable && now - submitted_at <= Seconds{0.2}) ++in_time;
    now = std::max(now, submitted_at + Seconds{0.2});
  }
  EXPECT_GE(in_time, GetParam().in_time * kJobs);
  EXPECT_LE(store.requests, GetParam().requests * (now - begin).value);
  while (store.has_delayed_transactions()) store.DeliverDelayed();
  for (const auto& [key, revision] : accepted)
    EXPECT_EQ(store.FakeStore::Get(key).entry->revision, revision) << "a late copy changed " << key;
}

INSTANTIATE_TEST_SUITE_P(
    SimulatedStore, LostSubmissionAnswersTest,
    ::testing::Values(
        StoreConditions{.name = "Calm", .in_time = 1, .requests = 5.1},
        StoreConditions{.name = "HalfLost", .lost = 0.5, .in_time = 0.95, .requests = 10},
        StoreConditions{.name = "HalfLate", .late = 0.5, .in_time = 0.8, .requests = 18},
        StoreConditions{.name = "Slow", .latency = 0.08, .in_time = 0.95, .requests = 8},
        StoreConditions{.name = "SlowAndLost", .lost = 0.5, .latency = 0.08, .requests = 10},
        StoreConditions{.name = "Refused", .refused = 0.3, .in_time = 0.4, .requests = 12},
        StoreConditions{.name = "AllLost", .lost = 1, .requests = 12}),
    [](const auto& info) { return std::string(info.param.name); });

class LostBatchAnswersTest : public ::testing::TestWithParam<StoreConditions> {};

// A write's outcome is soon known to be kWritten, even without a response.
TEST_P(LostBatchAnswersTest, WriteOutcomesAreKnownSoon) {
  ThreadRandom().seed(1);
  constexpr int kWrites = 200;
  Instant now{100};
  UnreliableStore store(GetParam(), now);
  store.FakeStore::Commit({{}, {{records::kLeaderKey, Json("x"), std::nullopt}}});
  const Revision leader = store.current_revision();
  store.FakeStore::Commit({{}, {{records::kEpochKey, Json("x"), std::nullopt}}});
  const records::Leadership leadership{leader, store.current_revision()};
  for (int i = 0; i < 20; ++i) store.Get("warm");
  store.requests = 0;
  const Instant begin = now;
  for (int i = 0; i < kWrites; ++i) {
    WriteBatch batch;
    WriteBatch::Final& final = batch.finals.emplace_back();
    final.job = {"j-" + std::to_string(i)};
    final.tasks = 1;
    WriteBatchCommitter writer(store,
                               {[] { return true; }, [&](Seconds delay) { now = now + delay; }});
    const WriteOutcome outcome = writer.Write(batch, leadership);
    ASSERT_EQ(outcome.status, WriteOutcome::Status::kWritten);
    EXPECT_EQ(store.FakeStore::Get(records::FinalKey({"j-" + std::to_string(i)})).entry->revision,
              outcome.revision);
  }
  EXPECT_LE((now - begin).value / kWrites, GetParam().in_time) << "seconds per write";
  EXPECT_LE(store.requests, GetParam().requests * (now - begin).value);
}

// In this suite `in_time` is the maximum average duration of a write in seconds.
INSTANTIATE_TEST_SUITE_P(
    SimulatedStore, LostBatchAnswersTest,
    ::testing::Values(
        StoreConditions{.name = "HalfLost", .lost = 0.5, .in_time = 0.3, .requests = 40},
        StoreConditions{.name = "HalfLate", .late = 0.5, .in_time = 0.6, .requests = 40},
        StoreConditions{.name = "Slow", .latency = 0.08, .in_time = 0.2, .requests = 13}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace magpie::testing
