// Concurrent submissions: many jobs share a transaction, none is delayed, and none is lost or
// accepted twice, even if responses of the key-value store are late or lost.
#include "admission/submission_batcher.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "fake_key_value_store.h"
#include "job_builder.h"
#include "rate_limit/adaptive_rate_limiter.h"
#include "records/records.h"

namespace magpie::testing {
namespace {

// A store for several threads. The first commit waits until all submitting threads have started, so
// that the test does not depend on their scheduling.
class SynchronizedStore : public FakeStore {
 public:
  explicit SynchronizedStore(std::function<void()> before_first_commit)
      : before_first_commit_(std::move(before_first_commit)) {}
  TransactionResult Commit(const Transaction& txn) override {
    if (is_first_commit_.exchange(false)) before_first_commit_();
    transaction_sizes.push_back(txn.changes.size());
    return FakeStore::Commit(txn);
  }
  std::vector<std::size_t> transaction_sizes;  // number of changes per transaction

 private:
  std::function<void()> before_first_commit_;
  std::atomic<bool> is_first_commit_ = true;
};

class SubmissionBatcherTest : public ::testing::Test {
 protected:
  SubmissionBatcher::Hooks Hooks() {
    return {[this] { return now; }, [this](Seconds s) { now = now + s; }};
  }
  SubmissionBatcher::Result SubmitJob(SubmissionBatcher& submissions, const std::string& id) {
    return submissions.Submit(MakeJob(id));
  }

  Instant now{100};
  FakeStore store;
};

TEST_F(SubmissionBatcherTest, SubmissionsDuringWriteShareNextTransaction) {
  constexpr int kThreads = 20;
  std::atomic<int> started_threads = 0;
  SynchronizedStore synchronized_store([&] {
    while (started_threads < kThreads) std::this_thread::yield();
  });
  SubmissionBatcher submissions(synchronized_store, {.max_jobs = 16},
                                {[] { return Instant{1}; }, [](Seconds) {}});
  std::atomic<int> accepted = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i)
    threads.emplace_back([&, i] {
      ++started_threads;
      accepted += SubmitJob(submissions, "j-" + std::to_string(i)).status ==
                          SubmissionBatcher::Status::kAccepted
                      ? 1
                      : 0;
    });
  for (std::thread& thread : threads) thread.join();
  EXPECT_EQ(accepted, kThreads);
  EXPECT_EQ(synchronized_store.Range(records::kJobPrefix, "", 100).entries.size(),
            std::size_t{kThreads});
  for (const std::size_t size : synchronized_store.transaction_sizes) EXPECT_LE(size, 16U);
  EXPECT_LT(synchronized_store.transaction_sizes.size(), std::size_t{kThreads})
      << "no submissions shared a transaction";
}

TEST_F(SubmissionBatcherTest, ExistingJobIsNotAcceptedAgain) {
  SubmissionBatcher submissions(store, {}, Hooks());
  EXPECT_EQ(SubmitJob(submissions, "j-1").status, SubmissionBatcher::Status::kAccepted);
  EXPECT_EQ(SubmitJob(submissions, "j-1").status, SubmissionBatcher::Status::kAlreadyExists);
  EXPECT_EQ(SubmitJob(submissions, "j-2").status, SubmissionBatcher::Status::kAccepted);
}

// A finished job has no job record, so its final record must be a condition too.
TEST_F(SubmissionBatcherTest, FinishedJobAlreadyExists) {
  store.Commit({{}, {{records::FinalKey({"j-1"}), Json{{"mood", "done"}}, std::nullopt}}});
  SubmissionBatcher submissions(store, {}, Hooks());
  EXPECT_EQ(SubmitJob(submissions, "j-1").status, SubmissionBatcher::Status::kAlreadyExists);
}

TEST_F(SubmissionBatcherTest, UnansweredWriteIsFoundDurable) {
  SubmissionBatcher submissions(store, {}, Hooks());
  store.next_commit = FakeStore::Fault::kLoseResponse;
  EXPECT_EQ(SubmitJob(submissions, "j-1").status, SubmissionBatcher::Status::kAlreadyExists)
      << "the user gets the state of the existing job";
  EXPECT_EQ(store.Range(records::kJobPrefix, "", 10).entries.size(), 1U);
}

// The transaction commits minutes later, after another attempt has submitted the job.
TEST_F(SubmissionBatcherTest, LateTransactionChangesNothing) {
  SubmissionBatcher submissions(store, {}, Hooks());
  store.next_commit = FakeStore::Fault::kCommitLate;
  EXPECT_EQ(SubmitJob(submissions, "j-1").status, SubmissionBatcher::Status::kAccepted);
  const Revision before = store.Get(records::JobKey({"j-1"})).entry->revision;
  store.DeliverDelayed();
  EXPECT_EQ(store.Get(records::JobKey({"j-1"})).entry->revision, before);
}

TEST_F(SubmissionBatcherTest, OutageReturnsRetryTime) {
  SubmissionBatcher submissions(store, {}, Hooks());
  store.outage = true;
  const Instant begin = now;
  const SubmissionBatcher::Result result = SubmitJob(submissions, "j-1");
  EXPECT_EQ(result.status, SubmissionBatcher::Status::kUnavailable);
  EXPECT_GE(result.retry_after, Seconds{1});
  EXPECT_LT((now - begin).value, 2.5) << "the refusal took too long";
  store.outage = false;
  EXPECT_EQ(SubmitJob(submissions, "j-1").status, SubmissionBatcher::Status::kAccepted)
      << "an outage must not lower the rate";
}

TEST_F(SubmissionBatcherTest, OverloadIsRefusedAtOnceWithRetryTime) {
  SubmissionBatcher submissions(store, {.rate_limit = {.maximum = 10, .initial = 0.2}}, Hooks());
  EXPECT_EQ(SubmitJob(submissions, "j-1").status, SubmissionBatcher::Status::kAccepted);
  EXPECT_EQ(SubmitJob(submissions, "j-2").status, SubmissionBatcher::Status::kAccepted);
  for (int i = 0; i < 5; ++i) submissions.Charge();  // as for cancellations, which are not delayed
  const Instant begin = now;
  const SubmissionBatcher::Result result = SubmitJob(submissions, "j-3");
  EXPECT_EQ(result.status, SubmissionBatcher::Status::kUnavailable);
  EXPECT_EQ(now, begin) << "a refusal must not wait";
  EXPECT_GE(result.retry_after, Seconds{2});
  now = now + Seconds{5};
  EXPECT_EQ(SubmitJob(submissions, "j-3").status, SubmissionBatcher::Status::kAccepted);
}

TEST(AdaptiveRateLimiterTest, RefusalsHalveRateOnceAndDemandRaisesIt) {
  AdaptiveRateLimiter limiter(
      {.maximum = 100, .initial = 0.2, .minimum = 0.05, .growth = 0.1, .refusal_window = {0.5}});
  Instant now{1};
  EXPECT_EQ(limiter.rate(), 20);
  limiter.OnRefused(now);
  limiter.OnRefused(now + Seconds{0.1});  // within the refusal window
  EXPECT_NEAR(limiter.rate(), 10, 1) << "halved once, then grown slightly";
  for (int i = 0; i < 20; ++i) limiter.OnRefused(now = now + Seconds{1});
  EXPECT_GE(limiter.rate(), 5) << "below the minimum rate";
  // Constant demand raises the rate to the maximum and no further.
  for (int i = 0; i < 4000; ++i) {
    now = now + Seconds{0.01};
    while (limiter.TryAcquire(1, now).value == 0) {
    }
  }
  EXPECT_NEAR(limiter.rate(), 100, 1);
  // When idle, the rate returns to its initial value, since other controllers may need it.
  for (int i = 0; i < 200; ++i) EXPECT_EQ(limiter.TryAcquire(0, now = now + Seconds{1}).value, 0);
  EXPECT_NEAR(limiter.rate(), 20, 1);
}

TEST(AdaptiveRateLimiterTest, NeverExceedsRateAndOneBurst) {
  AdaptiveRateLimiter limiter({.maximum = 50, .initial = 0.5, .growth = 0});
  int acquired = 0;
  for (Instant now{1}; now < Instant{11}; now = now + Seconds{0.01})
    while (limiter.TryAcquire(1, now).value == 0) ++acquired;
  EXPECT_LE(acquired, 25 * 11 + 1);
  EXPECT_GE(acquired, 25 * 10);
}

// Two controllers without contact to each other share a service that accepts 30 calls per second.
TEST(AdaptiveRateLimiterTest, IndependentLimitersShareRate) {
  AdaptiveRateLimiter::Options options{
      .maximum = 30, .initial = 0.25, .minimum = 0.02, .growth = 0.03};
  std::vector<AdaptiveRateLimiter> limiters(2, AdaptiveRateLimiter(options));
  double tokens = 30;
  int served[2] = {0, 0};
  int refused = 0;
  for (Instant now{1}; now < Instant{201}; now = now + Seconds{0.01}) {
    tokens = std::min(30.0, tokens + 0.3);
    for (int i = 0; i < 2; ++i)
      while (limiters[i].TryAcquire(1, now).value == 0) {
        if (tokens < 1) {
          ++refused;
          limiters[i].OnRefused(now);
          break;
        }
        tokens -= 1;
        ++served[i];
      }
  }
  EXPECT_GT(served[0] + served[1], 200 * 30 * 0.8);
  EXPECT_GT(std::min(served[0], served[1]), 200 * 30 * 0.25);
  EXPECT_LT(refused, 0.02 * (served[0] + served[1]));
}

TEST(BackoffTest, DelaysGrowVaryAndAreBounded) {
  std::minstd_rand random(7);
  Backoff a({0.1}, {2});
  Backoff b({0.1}, {2});
  bool delays_differ = false;
  double longest_delay = 0;
  for (int i = 0; i < 50; ++i) {
    const double pause = a.Next(random).value;
    delays_differ |= pause != b.Next(random).value;
    EXPECT_GE(pause, 0.1);
    EXPECT_LE(pause, 2);
    longest_delay = std::max(longest_delay, pause);
  }
  EXPECT_TRUE(delays_differ);
  EXPECT_GT(longest_delay, 1);
  a.Reset();
  EXPECT_LE(a.Next(random).value, 0.3);
}

}  // namespace
}  // namespace magpie::testing
