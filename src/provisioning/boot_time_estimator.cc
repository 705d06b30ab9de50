#include "provisioning/boot_time_estimator.h"

#include <algorithm>
#include <vector>

namespace magpie {
namespace {

constexpr std::size_t kMaxSamples = 16;  // per machine type
constexpr std::size_t kMinSamples = 3;   // with fewer, the nominal time is used
constexpr Seconds kMaxSampleAge{150};
constexpr Seconds kDefaultBootTime{60};
// A sample is discarded if a machine waits this many times as long.
constexpr double kMaxWaitRatio = 2;
// Minimum age of a late machine, as a multiple of the nominal boot time.
constexpr double kMinLateRatio = 2.5;
// Age of a late machine, as a multiple of the boot time at kLateQuantile.
constexpr double kLateRatio = 1.6;
constexpr double kLateQuantile = 0.9;
constexpr double kMedian = 0.5;
// Age at which a machine is released, as a multiple of the age at which it is late.
constexpr double kGiveUpRatio = 1.5;

}  // namespace

Seconds BootTimeEstimator::NominalTime(const std::string& type) const {
  const auto nominal = nominal_times_.find(type);
  return nominal == nominal_times_.end() || nominal->second.value <= 0 ? kDefaultBootTime
                                                                       : nominal->second;
}

void BootTimeEstimator::RecordBoot(const std::string& type, Seconds boot, Instant now) {
  std::deque<BootSample>& samples = recent_boots_[type];
  samples.push_back({now, boot.value / NominalTime(type).value});
  if (samples.size() > kMaxSamples) samples.pop_front();
}

bool BootTimeEstimator::RecordWait(const std::string& type, Seconds age) {
  const auto samples = recent_boots_.find(type);
  if (samples == recent_boots_.end()) return false;
  const double min_ratio = age.value / (kMaxWaitRatio * NominalTime(type).value);
  // Only samples below the nominal time are discarded. Slow boots are recorded when they complete.
  return min_ratio < 1 &&
         std::erase_if(
             samples->second, [&](const BootSample& boot) { return boot.ratio < min_ratio; }) > 0;
}

double BootTimeEstimator::RatioAt(const std::string& type, double quantile, Instant now) const {
  const auto samples = recent_boots_.find(type);
  if (samples == recent_boots_.end()) return 1;
  std::vector<double> ratios;
  for (const BootSample& boot : samples->second)
    if (now - boot.at < kMaxSampleAge) ratios.push_back(boot.ratio);
  if (ratios.size() < kMinSamples) return 1;
  const auto position =
      ratios.begin() +
      static_cast<std::ptrdiff_t>(quantile * static_cast<double>(ratios.size() - 1) + 0.5);
  std::nth_element(ratios.begin(), position, ratios.end());
  return *position;
}

Seconds BootTimeEstimator::ExpectedTime(const std::string& type, Instant now) const {
  return RatioAt(type, kMedian, now) * NominalTime(type);
}

Seconds BootTimeEstimator::LateAfter(const std::string& type, Instant now) const {
  return std::max(kMinLateRatio, kLateRatio * RatioAt(type, kLateQuantile, now)) *
         NominalTime(type);
}

Seconds BootTimeEstimator::GiveUpAfter(const std::string& type, Seconds min_billed, Seconds maximum,
                                       Instant now) const {
  const Seconds late = LateAfter(type, now);
  return std::max(min_billed, std::min(kGiveUpRatio * late, std::max(maximum, late)));
}

}  // namespace magpie
