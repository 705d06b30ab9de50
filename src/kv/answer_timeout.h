// The adaptive timeout after which the outcome of an unanswered transaction is read back.
#pragma once

#include <array>
#include <cstddef>

#include "model/time.h"

namespace magpie {

// A ring buffer of the latest latencies. Not thread-safe.
class LatencyWindow {
 public:
  void Add(Seconds latency);
  std::size_t size() const { return size_; }
  // The quantile (0 to 1) of the latencies in the window; 0 if the window is empty.
  Seconds Quantile(double quantile) const;

 private:
  static constexpr std::size_t kCapacity = 32;
  std::array<float, kCapacity> samples_{};
  std::size_t size_ = 0;
  std::size_t next_ = 0;
};

// The timeout of transactions, derived from measured response latencies: short, so that a lost
// response costs little time, and long enough for a slow key-value store. Not thread-safe.
class AnswerTimeout {
 public:
  struct Options {
    Seconds minimum{0.06};  // scheduling delays of this process reach tens of milliseconds
    Seconds maximum{1.5};   // also the timeout until enough latencies are measured
    double quantile = 0.9;  // excludes the few responses that take hundreds of milliseconds
    double factor = 3;      // the timeout as a multiple of that quantile
  };

  explicit AnswerTimeout(Options options) : options_(options) {}

  // The timeout of the next transaction.
  Seconds Current() const;
  // Reads always use the maximum timeout, so their latencies show that the store has become slow
  // even while all transactions time out.
  void OnReadAnswered(Seconds latency);
  void OnTransactionAnswered(Seconds latency);
  // Single responses may be lost. After several consecutive unanswered transactions, the store is
  // slower than measured or unreachable, and each further one doubles the timeout.
  void OnTransactionUnanswered();

 private:
  Options options_;
  LatencyWindow reads_;
  LatencyWindow transactions_;
  int consecutive_unanswered_ = 0;
};

}  // namespace magpie
