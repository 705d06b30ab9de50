#include "core/run_time_table.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace magpie {
namespace {
constexpr std::size_t kRemembered = 32;
constexpr std::size_t kEnough = 3;
constexpr double kLeastRatio = 0.1;
constexpr double kMostRatio = 10;
constexpr double kLongestEstimate = 1e7;  // more than this is nonsense
}  // namespace

int RunTimeTable::SizeOf(const JobSpec& spec) {
  return static_cast<int>(std::lround(std::log2(std::max(spec.each.cpus, 0.25))));
}

void RunTimeTable::Push(Ratios& ratios, double ratio) {
  ratios.latest.push_back(ratio);
  if (ratios.latest.size() > kRemembered) ratios.latest.pop_front();
  std::vector<double> sorted(ratios.latest.begin(), ratios.latest.end());
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  if (ratios.median != *middle || ratios.latest.size() == kEnough) ++version_;
  ratios.median = *middle;
}

Seconds RunTimeTable::Expect(const JobSpec& spec, const std::string& type) const {
  const double estimate = std::min(spec.estimate.v, kLongestEstimate);
  auto cell = cells_.find({type, SizeOf(spec)});
  if (cell != cells_.end() && cell->second.latest.size() >= kEnough)
    return {estimate * cell->second.median};
  auto of_class = by_class_.find(spec.job_class);
  if (of_class != by_class_.end() && of_class->second.latest.size() >= kEnough)
    return {estimate * of_class->second.median};
  return {estimate};
}

void RunTimeTable::Learn(const JobSpec& spec, const std::string& type, Seconds took) {
  if (spec.estimate.v <= 0 || !std::isfinite(took.v) || took.v <= 0) return;
  const double ratio = std::clamp(took.v / spec.estimate.v, kLeastRatio, kMostRatio);
  Push(cells_[{type, SizeOf(spec)}], ratio);
  Push(by_class_[spec.job_class], ratio);
}

}  // namespace magpie
