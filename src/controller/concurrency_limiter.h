// Limits the number of user requests in progress.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace magpie {

// A user's request either polls the state of a job or changes it (submission, cancellation).
enum class RequestKind : std::uint8_t { kPoll, kChange };

// Polls have a lower limit than changes, so that they are rejected first under load. Thread safe.
class ConcurrencyLimiter {
 public:
  struct Limits {
    std::size_t max_requests = std::numeric_limits<std::size_t>::max();
    std::size_t max_requests_for_poll = max_requests;
  };
  explicit ConcurrencyLimiter(Limits limits) : limits_(limits) {}

 private:
  friend class RequestPermit;
  const Limits limits_;
  std::atomic<std::size_t> in_progress_{0};
};

// Counts one request during its lifetime, whether it is admitted or not.
class RequestPermit {
 public:
  explicit RequestPermit(ConcurrencyLimiter& limiter)
      : limiter_(limiter), in_progress_(++limiter.in_progress_) {}
  ~RequestPermit() { --limiter_.in_progress_; }
  RequestPermit(const RequestPermit&) = delete;
  RequestPermit& operator=(const RequestPermit&) = delete;

  bool Admits(RequestKind kind) const {
    const ConcurrencyLimiter::Limits& limits = limiter_.limits_;
    return in_progress_ <=
           (kind == RequestKind::kPoll ? limits.max_requests_for_poll : limits.max_requests);
  }

 private:
  ConcurrencyLimiter& limiter_;
  std::size_t in_progress_;  // when this request started, including itself
};

}  // namespace magpie
