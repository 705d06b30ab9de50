#include "load_test/latency.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace magpie::load_test {
namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned kBins = 350;
constexpr double kLeast = 1e-4;  // with kBins bins each is 5 % wide
constexpr double kMost = 3e3;

}  // namespace

struct Latency::Bins {
  decltype(bh::make_histogram(Axis(kBins, kLeast, kMost))) all =
      bh::make_histogram(Axis(kBins, kLeast, kMost));
};

Latency::Latency() : bins_(std::make_unique<Bins>()) {}
Latency::~Latency() = default;
Latency::Latency(Latency&&) noexcept = default;
Latency& Latency::operator=(Latency&&) noexcept = default;

void Latency::Add(Seconds took) {
  bins_->all(std::clamp(took.value, kLeast, kMost * 0.99));
  ++count_;
  worst_ = std::max(worst_, took);
}

Seconds Latency::Quantile(double part) const {
  if (count_ == 0) return {};
  const double wanted = part * static_cast<double>(count_);
  double seen = 0;
  for (auto&& bin : bh::indexed(bins_->all)) {
    seen += *bin;
    if (seen >= wanted) return std::min(worst_, Seconds{bin.bin().upper()});
  }
  return worst_;
}

nlohmann::json Latency::ToJson() const {
  constexpr double kMedian = 0.5;
  constexpr double kLate = 0.99;
  return {{"count", count_},
          {"median_s", Quantile(kMedian).value},
          {"p99_s", Quantile(kLate).value},
          {"worst_s", worst_.value}};
}

}  // namespace magpie::load_test
