// Service level objectives of classes of jobs.
#pragma once

#include <string>

#include "model/time.h"

namespace magpie {

// What is expected for a class of jobs: the share of them, from 0 to 1, that must meet a limit.
struct Objective {
  std::string kind;
  std::string job_class;
  Seconds limit;
  double share = 0;
  double deadline_factor = 1;  // the limit as a multiple of the deadline
};

}  // namespace magpie
