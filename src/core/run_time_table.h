// What tasks are expected to take, learned from reported finishes (the paper's
// profiled table, section "Estimating DNN model execution time").
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "core/types.h"

namespace magpie {

// The owners' estimates are often wrong, and on some days all wrong the same
// way. The table keeps, by machine type and task size, the ratio of real run
// time to estimate, as a median that single nonsense values cannot move far.
class RunTimeTable {
 public:
  // Expected run time of a task of this job on this machine type.
  Seconds Expect(const JobSpec& spec, const std::string& type) const;
  // A task completed after running for `took`.
  void Learn(const JobSpec& spec, const std::string& type, Seconds took);
  // Grows when what is expected has changed.
  std::uint64_t version() const { return version_; }

 private:
  using Cell = std::pair<std::string, int>;  // machine type, size of the task
  static int SizeOf(const JobSpec& spec);
  struct Ratios {
    std::deque<double> latest;
    double median = 1;  // looked up far more often than learned
  };
  void Push(Ratios& ratios, double ratio);

  std::map<Cell, Ratios> cells_;
  std::map<std::string, Ratios> by_class_;
  std::uint64_t version_ = 1;
};

}  // namespace magpie
