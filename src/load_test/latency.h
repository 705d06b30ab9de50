// Latency statistics: quantiles from logarithmic bins, and the exact maximum.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>

#include "model/time.h"

namespace magpie::load_test {

// Not thread-safe.
class Latency {
 public:
  Latency();
  ~Latency();
  Latency(Latency&&) noexcept;
  Latency& operator=(Latency&&) noexcept;

  void Add(Seconds latency);
  std::uint64_t count() const { return count_; }
  Seconds worst() const { return worst_; }
  // The quantile, with an error of at most 5 % from 0.1 ms to 50 minutes; 0 without samples.
  Seconds Quantile(double fraction) const;
  // Count, median, 99th percentile and maximum, in seconds.
  nlohmann::json ToJson() const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins_;
  std::uint64_t count_ = 0;
  Seconds worst_;
};

}  // namespace magpie::load_test
