// Answers of the state service that are lost, late or refused: how long a transaction waits,
// how soon its outcome is known nevertheless, and how many requests that takes.
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

constexpr Seconds kMost{1.5};

TEST(AnswerTimeoutTest, IsLearnedFromTheUsualLatencyWithinBounds) {
  AnswerTimeout timeout({.minimum = {0.06}, .maximum = kMost, .quantile = 0.9, .factor = 3});
  EXPECT_EQ(timeout.Limit(), kMost) << "nothing is known yet";
  for (int i = 0; i < 100; ++i) timeout.TransactionAnswered({i % 25 == 0 ? 0.4 : 0.004});
  EXPECT_NEAR(timeout.Limit().value, 0.06, 1e-6) << "one slow answer in 25 is not waited for";
  for (int i = 0; i < 100; ++i) timeout.TransactionAnswered({0.06});
  EXPECT_NEAR(timeout.Limit().value, 0.18, 0.011);
  for (int i = 0; i < 100; ++i) timeout.TransactionAnswered({1});
  EXPECT_EQ(timeout.Limit(), kMost);
}

// No transaction would ever be waited for long enough to tell it.
TEST(AnswerTimeoutTest, AdaptsToASlowServiceFromReads) {
  AnswerTimeout timeout({.maximum = kMost});
  for (int i = 0; i < 40; ++i) timeout.TransactionAnswered({0.004});
  for (int i = 0; i < 8; ++i) {
    timeout.TransactionUnanswered();
    timeout.ReadAnswered({0.1});
  }
  EXPECT_GE(timeout.Limit(), Seconds{0.3});
}

TEST(AnswerTimeoutTest, DoublesWhenMoreThanChanceStaysUnanswered) {
  AnswerTimeout timeout({.minimum = {0.06}, .maximum = kMost});
  for (int i = 0; i < 8; ++i) timeout.TransactionAnswered({0.004});
  for (const double expected : {0.06, 0.06, 0.06, 0.12, 0.24, 0.48, 0.96, 1.5, 1.5}) {
    EXPECT_NEAR(timeout.Limit().value, expected, 0.011);
    timeout.TransactionUnanswered();
  }
  timeout.TransactionAnswered({0.004});
  EXPECT_NEAR(timeout.Limit().value, 0.06, 1e-6);
}

struct Weather {
  const char* name;
  double lost = 0;         // share of transactions that are carried out, the answer lost
  double late = 0;         // share that is carried out later, without an answer
  double refused = 0;      // share that gets 429
  double latency = 0.004;  // seconds
  double in_time = 0;      // least share of submissions durable within 0.2 s
  double requests = 0;     // most requests a second
};

std::ostream& operator<<(std::ostream& out, const Weather& weather) { return out << weather.name; }

// Each call takes its time on a clock of its own and is waited for as HttpKeyValueStore does.
class WeatherStore : public FakeStore {
 public:
  WeatherStore(const Weather& weather, Instant& now) : weather_(weather), now_(now) {}

  GetResult Get(const std::string& key) override {
    ++requests;
    AdvanceTime({weather_.latency});
    timeout_.ReadAnswered({weather_.latency});
    return FakeStore::Get(key);
  }

  TransactionResult Commit(const Transaction& txn) override {
    ++requests;
    const Seconds limit = timeout_.Limit();
    std::uniform_real_distribution<double> draw(0, 1);
    const double drawn = draw(random_);
    if (drawn < weather_.refused) {
      AdvanceTime({weather_.latency});
      return {StoreStatus::kRefused, {}, {}, true};
    }
    const double unanswered = drawn - weather_.refused;
    const bool slow = weather_.latency > limit.value;
    if (unanswered < weather_.lost + weather_.late || slow) {
      next_commit = unanswered < weather_.lost || slow ? Fault::kLoseResponse : Fault::kCommitLate;
      AdvanceTime(limit);
      timeout_.TransactionUnanswered();
      return FakeStore::Commit(txn);
    }
    AdvanceTime({weather_.latency});
    timeout_.TransactionAnswered({weather_.latency});
    return FakeStore::Commit(txn);
  }

  int requests = 0;

 private:
  void AdvanceTime(Seconds s) { now_ = now_ + s; }

  Weather weather_;
  Instant& now_;
  AnswerTimeout timeout_{{.maximum = kMost}};
  std::minstd_rand random_{391};
};

class LostSubmissionAnswersTest : public ::testing::TestWithParam<Weather> {};

TEST_P(LostSubmissionAnswersTest, SubmissionsAreDurableInTimeWithoutARetryStorm) {
  ThreadRandom().seed(1);  // the pauses, too, are the same every time
  constexpr int kJobs = 400;
  Instant now{100};
  WeatherStore store(GetParam(), now);
  SubmissionBatcher submissions(store, {.rate_limit = {.maximum = 25, .initial = 0.5}},
                                {[&] { return now; }, [&](Seconds s) { now = now + s; }});
  for (int i = 0; i < 20; ++i) store.Get("warm");  // what membership and polls have asked
  store.requests = 0;
  const Instant begin = now;
  int in_time = 0;
  std::map<std::string, Revision> accepted;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "j-" + std::to_string(i);
    const Instant asked = now;
    const SubmissionBatcher::Status status = submissions.Submit(MakeJob(id)).status;
    const bool taken = status == SubmissionBatcher::Status::kAccepted ||
                       status == SubmissionBatcher::Status::kAlreadyExists;
    if (taken) {
      const std::string key = records::JobKey({id});
      const std::optional<StoreEntry> entry = store.FakeStore::Get(key).entry;
      ASSERT_TRUE(entry) << "not durable: " << key;
      accepted[key] = entry->revision;
    }
    if (taken && now - asked <= Seconds{0.2}) ++in_time;
    now = std::max(now, asked + Seconds{0.2});
  }
  EXPECT_GE(in_time, GetParam().in_time * kJobs);
  EXPECT_LE(store.requests, GetParam().requests * (now - begin).value);
  while (store.has_delayed_transactions()) store.DeliverDelayed();
  for (const auto& [key, revision] : accepted)
    EXPECT_EQ(store.FakeStore::Get(key).entry->revision, revision) << "a late copy changed " << key;
}

INSTANTIATE_TEST_SUITE_P(
    Weathers, LostSubmissionAnswersTest,
    ::testing::Values(Weather{.name = "Calm", .in_time = 1, .requests = 5.1},
                      Weather{.name = "HalfLost", .lost = 0.5, .in_time = 0.95, .requests = 10},
                      Weather{.name = "HalfLate", .late = 0.5, .in_time = 0.8, .requests = 18},
                      Weather{.name = "Slow", .latency = 0.08, .in_time = 0.95, .requests = 8},
                      Weather{.name = "SlowAndLost", .lost = 0.5, .latency = 0.08, .requests = 10},
                      Weather{.name = "Refused", .refused = 0.3, .in_time = 0.4, .requests = 12},
                      Weather{.name = "AllLost", .lost = 1, .requests = 12}),
    [](const auto& info) { return std::string(info.param.name); });

class LostBatchAnswersTest : public ::testing::TestWithParam<Weather> {};

// A write with its one writer is over soon, and told as written though no answer said so.
TEST_P(LostBatchAnswersTest, WritesAreKnownToBeDurableSoon) {
  ThreadRandom().seed(1);
  constexpr int kWrites = 200;
  Instant now{100};
  WeatherStore store(GetParam(), now);
  store.FakeStore::Commit({{}, {{records::kLeaderKey, Json("x"), std::nullopt}}});
  const Revision leader = store.current_revision();
  store.FakeStore::Commit({{}, {{records::kEpochKey, Json("x"), std::nullopt}}});
  const records::Leadership leadership{leader, store.current_revision()};
  for (int i = 0; i < 20; ++i) store.Get("warm");
  store.requests = 0;
  const Instant begin = now;
  for (int i = 0; i < kWrites; ++i) {
    WriteBatch plan;
    WriteBatch::Final& final = plan.finals.emplace_back();
    final.job = {"j-" + std::to_string(i)};
    final.tasks = 1;
    WriteBatchCommitter writer(store, {[] { return true; }, [&](Seconds s) { now = now + s; }});
    const WriteOutcome outcome = writer.Write(plan, leadership);
    ASSERT_EQ(outcome.status, WriteOutcome::Status::kWritten);
    EXPECT_EQ(store.FakeStore::Get(records::FinalKey({"j-" + std::to_string(i)})).entry->revision,
              outcome.revision);
  }
  EXPECT_LE((now - begin).value / kWrites, GetParam().in_time) << "seconds for each write";
  EXPECT_LE(store.requests, GetParam().requests * (now - begin).value);
}

// Here `in_time` is the most that a write may take on the average, in seconds.
INSTANTIATE_TEST_SUITE_P(
    Weathers, LostBatchAnswersTest,
    ::testing::Values(Weather{.name = "HalfLost", .lost = 0.5, .in_time = 0.3, .requests = 40},
                      Weather{.name = "HalfLate", .late = 0.5, .in_time = 0.6, .requests = 40},
                      Weather{.name = "Slow", .latency = 0.08, .in_time = 0.2, .requests = 13}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace magpie::testing
