#include "load_test/latency.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace magpie::load_test {
namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned kBinCount = 350;
constexpr double kMinSeconds = 1e-4;  // with kBinCount bins, each bin is 5 % wide
constexpr double kMaxSeconds = 3e3;

}  // namespace

struct Latency::Bins {
  decltype(bh::make_histogram(Axis(kBinCount, kMinSeconds, kMaxSeconds))) all =
      bh::make_histogram(Axis(kBinCount, kMinSeconds, kMaxSeconds));
};

Latency::Latency() : bins_(std::make_unique<Bins>()) {}
Latency::~Latency() = default;
Latency::Latency(Latency&&) noexcept = default;
Latency& Latency::operator=(Latency&&) noexcept = default;

void Latency::Add(Seconds latency) {
  bins_->all(std::clamp(latency.value, kMinSeconds, kMaxSeconds * 0.99));
  ++count_;
  worst_ = std::max(worst_, latency);
}

Seconds Latency::Quantile(double fraction) const {
  if (count_ == 0) return {};
  const double target_count = fraction * static_cast<double>(count_);
  double cumulative_count = 0;
  for (auto&& bin : bh::indexed(bins_->all)) {
    cumulative_count += *bin;
    if (cumulative_count >= target_count) return std::min(worst_, Seconds{bin.bin().upper()});
  }
  return worst_;
}

nlohmann::json Latency::ToJson() const {
  constexpr double kMedian = 0.5;
  constexpr double kP99 = 0.99;
  return {{"count", count_},
          {"median_s", Quantile(kMedian).value},
          {"p99_s", Quantile(kP99).value},
          {"worst_s", worst_.value}};
}

}  // namespace magpie::load_test
