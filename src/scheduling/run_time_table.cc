#include "scheduling/run_time_table.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace magpie {
namespace {
constexpr std::size_t kMaxSamples = 32;
constexpr std::size_t kMinSamples = 3;  // needed before a median is used
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10;
constexpr double kMaxEstimateSeconds = 1e7;  // longer estimates are implausible
constexpr std::size_t kMaxSamplesPerJob = 15;

double MedianOf(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}
}  // namespace

int RunTimeTable::SizeOf(const JobSpec& spec) {
  return static_cast<int>(std::lround(std::log2(std::max(spec.per_task.cpus, 0.25))));
}

void RunTimeTable::AddRatio(Ratios& ratios, double ratio) {
  ratios.latest.push_back(ratio);
  if (ratios.latest.size() > kMaxSamples) ratios.latest.pop_front();
  const double median = MedianOf({ratios.latest.begin(), ratios.latest.end()});
  if (ratios.median != median || ratios.latest.size() == kMinSamples) ++version_;
  ratios.median = median;
}

void JobPace::Add(std::size_t machine, double ratio) {
  if (!std::isfinite(ratio) || ratio <= 0) return;
  latest_.emplace_back(machine, std::clamp(ratio, kMinRatio, kMaxRatio));
  if (latest_.size() > kMaxSamplesPerJob) latest_.erase(latest_.begin());
}

std::optional<double> JobPace::MedianOnOtherMachines(std::size_t machine) const {
  std::vector<double> ratios;
  for (const auto& [other_machine, ratio] : latest_)
    if (other_machine != machine) ratios.push_back(ratio);
  if (ratios.size() < kMinSamples) return std::nullopt;
  return MedianOf(std::move(ratios));
}

Seconds RunTimeTable::ExpectedRunTime(const JobSpec& spec, const std::string& type) const {
  const double estimate = std::min(spec.estimate.value, kMaxEstimateSeconds);
  auto cell = cells_.find({type, SizeOf(spec)});
  if (cell != cells_.end() && cell->second.latest.size() >= kMinSamples)
    return {estimate * cell->second.median};
  auto of_class = by_class_.find(spec.job_class);
  if (of_class != by_class_.end() && of_class->second.latest.size() >= kMinSamples)
    return {estimate * of_class->second.median};
  return {estimate};
}

void RunTimeTable::Learn(const JobSpec& spec, const std::string& type, Seconds run_time) {
  if (spec.estimate.value <= 0 || !std::isfinite(run_time.value) || run_time.value <= 0) return;
  const double ratio = std::clamp(run_time.value / spec.estimate.value, kMinRatio, kMaxRatio);
  AddRatio(cells_[{type, SizeOf(spec)}], ratio);
  AddRatio(by_class_[spec.job_class], ratio);
}

}  // namespace magpie
