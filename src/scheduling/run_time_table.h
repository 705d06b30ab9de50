// Expected run times, learned from tasks that were completed (the paper's profiled table, section
// "Estimating DNN model execution time").
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model/job.h"
#include "model/time.h"

namespace magpie {

// The run times of one job's tasks, as ratios to its estimate. The error of the estimate is the
// same for all of them, so only a comparison with other machines shows whether a task that took
// long says something of its machine.
class JobPace {
 public:
  // `machine` is any number that tells machines apart. At most the latest few are kept.
  void Add(std::size_t machine, double ratio);
  // The median on other machines; none while too few are known.
  std::optional<double> MedianOnOtherMachines(std::size_t machine) const;

 private:
  std::vector<std::pair<std::size_t, double>> latest_;
};

// Users' estimates are often wrong, and on some days all in the same way. The table keeps the ratio
// of run time to estimate by machine type and size of task, and by class of job for sizes that are
// not known yet. It is a median, which single nonsense values cannot move far.
class RunTimeTable {
 public:
  // Expected run time of a task of this job on this machine type.
  Seconds ExpectedRunTime(const JobSpec& spec, const std::string& type) const;
  // A task completed after running for `took`.
  void Learn(const JobSpec& spec, const std::string& type, Seconds took);
  // Grows when an expected run time has changed.
  std::uint64_t version() const { return version_; }

 private:
  using Cell = std::pair<std::string, int>;  // machine type, size of task
  static int SizeOf(const JobSpec& spec);
  struct Ratios {
    std::deque<double> latest;
    double median = 1;  // kept, since it is read far more often than changed
  };
  void AddRatio(Ratios& ratios, double ratio);

  std::map<Cell, Ratios> cells_;
  std::map<std::string, Ratios> by_class_;
  std::uint64_t version_ = 1;
};

}  // namespace magpie
