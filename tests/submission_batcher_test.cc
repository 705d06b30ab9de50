// Stories of many submissions at once: one transaction for many jobs, none lost
// and none accepted twice whatever becomes of the answers, none held back.
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

// The store as several threads use it; the first commit waits until the others
// have come, so that what is told does not hang on the threads' luck.
class MeetingStore : public FakeStore {
 public:
  explicit MeetingStore(std::function<void()> before_first) : before_(std::move(before_first)) {}
  TransactionResult Commit(const Transaction& txn) override {
    if (first_.exchange(false)) before_();
    sizes.push_back(txn.changes.size());
    return FakeStore::Commit(txn);
  }
  std::vector<std::size_t> sizes;  // of the transactions, in changes

 private:
  std::function<void()> before_;
  std::atomic<bool> first_ = true;
};

class SubmissionBatcherTest : public ::testing::Test {
 protected:
  SubmissionBatcher::Hooks Hooks() {
    return {[this] { return now; }, [this](Seconds s) { now = now + s; }};
  }
  SubmissionBatcher::Result One(SubmissionBatcher& submissions, const std::string& id) {
    return submissions.Submit(MakeJob(id));
  }

  Instant now{100};
  FakeStore store;
};

TEST_F(SubmissionBatcherTest, SubmissionsDuringAWriteShareTheNextTransaction) {
  constexpr int kThreads = 20;
  std::atomic<int> come = 0;
  MeetingStore meeting([&] {
    while (come < kThreads) std::this_thread::yield();
  });
  SubmissionBatcher submissions(meeting, {.max_jobs = 16},
                                {[] { return Instant{1}; }, [](Seconds) {}});
  std::atomic<int> accepted = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i)
    threads.emplace_back([&, i] {
      ++come;
      accepted +=
          One(submissions, "j-" + std::to_string(i)).status == SubmissionBatcher::Status::kAccepted
              ? 1
              : 0;
    });
  for (std::thread& t : threads) t.join();
  EXPECT_EQ(accepted, kThreads);
  EXPECT_EQ(meeting.Range(records::kJobPrefix, "", 100).entries.size(), std::size_t{kThreads});
  for (const std::size_t size : meeting.sizes) EXPECT_LE(size, 16U);
  EXPECT_LT(meeting.sizes.size(), std::size_t{kThreads}) << "some shared a transaction";
}

TEST_F(SubmissionBatcherTest, KnownJobIsNotAcceptedAgain) {
  SubmissionBatcher submissions(store, {}, Hooks());
  EXPECT_EQ(One(submissions, "j-1").status, SubmissionBatcher::Status::kAccepted);
  EXPECT_EQ(One(submissions, "j-1").status, SubmissionBatcher::Status::kAlreadyExists);
  EXPECT_EQ(One(submissions, "j-2").status, SubmissionBatcher::Status::kAccepted);
}

// A job that is over has no record among the live ones: its end must be asked for too.
TEST_F(SubmissionBatcherTest, FinishedJobIsKnown) {
  store.Commit({{}, {{records::FinalKey({"j-1"}), Json{{"mood", "done"}}, std::nullopt}}});
  SubmissionBatcher submissions(store, {}, Hooks());
  EXPECT_EQ(One(submissions, "j-1").status, SubmissionBatcher::Status::kAlreadyExists);
}

TEST_F(SubmissionBatcherTest, WriteWhoseAnswerIsLostIsFoundToBeDurable) {
  SubmissionBatcher submissions(store, {}, Hooks());
  store.next_commit = FakeStore::Fault::kLoseResponse;
  EXPECT_EQ(One(submissions, "j-1").status, SubmissionBatcher::Status::kAlreadyExists)
      << "the user is told its state";
  EXPECT_EQ(store.Range(records::kJobPrefix, "", 10).entries.size(), 1U);
}

// It lands minutes later, after the job has been accepted by another try.
TEST_F(SubmissionBatcherTest, LateTransactionChangesNothing) {
  SubmissionBatcher submissions(store, {}, Hooks());
  store.next_commit = FakeStore::Fault::kCommitLate;
  EXPECT_EQ(One(submissions, "j-1").status, SubmissionBatcher::Status::kAccepted);
  const Revision before = store.Get(records::JobKey({"j-1"})).entry->revision;
  store.DeliverDelayed();
  EXPECT_EQ(store.Get(records::JobKey({"j-1"})).entry->revision, before);
}

TEST_F(SubmissionBatcherTest, OutageAsksTheUserToRetry) {
  SubmissionBatcher submissions(store, {}, Hooks());
  store.outage = true;
  const Instant begin = now;
  const SubmissionBatcher::Result answer = One(submissions, "j-1");
  EXPECT_EQ(answer.status, SubmissionBatcher::Status::kUnavailable);
  EXPECT_GE(answer.retry_after, Seconds{1});
  EXPECT_LT((now - begin).value, 2.5) << "answered soon";
  store.outage = false;
  EXPECT_EQ(One(submissions, "j-1").status, SubmissionBatcher::Status::kAccepted)
      << "an outage slows nothing down";
}

TEST_F(SubmissionBatcherTest, OverloadIsRefusedAtOnceWithARetryTime) {
  SubmissionBatcher submissions(store, {.rate_limit = {.maximum = 10, .initial = 0.2}}, Hooks());
  EXPECT_EQ(One(submissions, "j-1").status, SubmissionBatcher::Status::kAccepted);
  EXPECT_EQ(One(submissions, "j-2").status, SubmissionBatcher::Status::kAccepted);
  for (int i = 0; i < 5; ++i) submissions.Charge();  // cancellations go first
  const Instant begin = now;
  const SubmissionBatcher::Result answer = One(submissions, "j-3");
  EXPECT_EQ(answer.status, SubmissionBatcher::Status::kUnavailable);
  EXPECT_EQ(now, begin) << "not held back";
  EXPECT_GE(answer.retry_after, Seconds{2});
  now = now + Seconds{5};
  EXPECT_EQ(One(submissions, "j-3").status, SubmissionBatcher::Status::kAccepted);
}

TEST(AdaptiveRateLimiterTest, RefusalsHalveTheRateOnceAndDemandRaisesIt) {
  AdaptiveRateLimiter governor(
      {.maximum = 100, .initial = 0.2, .minimum = 0.05, .growth = 0.1, .refusal_window = {0.5}});
  Instant now{1};
  EXPECT_EQ(governor.rate(), 20);
  governor.OnRefused(now);
  governor.OnRefused(now + Seconds{0.1});  // of the same flood
  EXPECT_NEAR(governor.rate(), 10, 1) << "halved once; it has begun to grow again";
  for (int i = 0; i < 20; ++i) governor.OnRefused(now = now + Seconds{1});
  EXPECT_GE(governor.rate(), 5) << "something is always tried";
  // Work that waits all the time raises it to the most, and no further.
  for (int i = 0; i < 4000; ++i) {
    now = now + Seconds{0.01};
    while (governor.TryAcquire(1, now).value == 0) {
    }
  }
  EXPECT_NEAR(governor.rate(), 100, 1);
  // Idle, it goes back to where it began: others may need the rate now.
  for (int i = 0; i < 200; ++i) EXPECT_EQ(governor.TryAcquire(0, now = now + Seconds{1}).value, 0);
  EXPECT_NEAR(governor.rate(), 20, 1);
}

TEST(AdaptiveRateLimiterTest, NeverExceedsTheRateAndOneBurstInASecond) {
  AdaptiveRateLimiter governor({.maximum = 50, .initial = 0.5, .growth = 0});
  int went = 0;
  for (Instant now{1}; now < Instant{11}; now = now + Seconds{0.01})
    while (governor.TryAcquire(1, now).value == 0) ++went;
  EXPECT_LE(went, 25 * 11 + 1);
  EXPECT_GE(went, 25 * 10);
}

// Two controllers and a service that takes 30 a second: nobody tells them of each other.
TEST(AdaptiveRateLimiterTest, IndependentLimitersShareARate) {
  AdaptiveRateLimiter::Options options{
      .maximum = 30, .initial = 0.25, .minimum = 0.02, .growth = 0.03};
  std::vector<AdaptiveRateLimiter> governors(2, AdaptiveRateLimiter(options));
  double left = 30;
  int served[2] = {0, 0};
  int refused = 0;
  for (Instant now{1}; now < Instant{201}; now = now + Seconds{0.01}) {
    left = std::min(30.0, left + 0.3);
    for (int i = 0; i < 2; ++i)
      while (governors[i].TryAcquire(1, now).value == 0) {
        if (left < 1) {
          ++refused;
          governors[i].OnRefused(now);
          break;
        }
        left -= 1;
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
  bool differ = false;
  double longest = 0;
  for (int i = 0; i < 50; ++i) {
    const double pause = a.Next(random).value;
    differ |= pause != b.Next(random).value;
    EXPECT_GE(pause, 0.1);
    EXPECT_LE(pause, 2);
    longest = std::max(longest, pause);
  }
  EXPECT_TRUE(differ);
  EXPECT_GT(longest, 1);
  a.Reset();
  EXPECT_LE(a.Next(random).value, 0.3);
}

}  // namespace
}  // namespace magpie::testing
