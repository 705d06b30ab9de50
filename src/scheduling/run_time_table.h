// Expected run times, learned from completed tasks (the profiled table of the PARIS/ELSA paper,
// section "Estimating DNN model execution time").
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

// The run times of one job's tasks, as ratios to its estimate. All of them share the error of the
// estimate, so only a comparison with other machines shows whether a long run time is due to the
// machine.
class JobPace {
 public:
  // `machine` is any number that identifies the machine. Only the latest ratios are kept.
  void Add(std::size_t machine, double ratio);
  // The median ratio on machines other than `machine`; nullopt while too few are known.
  std::optional<double> MedianOnOtherMachines(std::size_t machine) const;

 private:
  std::vector<std::pair<std::size_t, double>> latest_;
};

// Users' estimates are often wrong, and sometimes all in the same direction. The table keeps the
// ratios of run time to estimate by machine type and task size, and by job class for sizes without
// enough data. It uses their median, which single implausible values hardly change.
class RunTimeTable {
 public:
  // The expected run time of a task of this job on this machine type.
  Seconds ExpectedRunTime(const JobSpec& spec, const std::string& type) const;
  // Adds the run time of a completed task.
  void Learn(const JobSpec& spec, const std::string& type, Seconds run_time);
  // Increases when an expected run time has changed.
  std::uint64_t version() const { return version_; }

 private:
  using Cell = std::pair<std::string, int>;  // machine type, task size
  static int SizeOf(const JobSpec& spec);
  struct Ratios {
    std::deque<double> latest;
    double median = 1;  // cached, since it is read far more often than changed
  };
  void AddRatio(Ratios& ratios, double ratio);

  std::map<Cell, Ratios> cells_;
  std::map<std::string, Ratios> by_class_;
  std::uint64_t version_ = 1;
};

}  // namespace magpie
