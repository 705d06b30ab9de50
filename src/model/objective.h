// Service level objectives of job classes.
#pragma once

#include <string>

#include "model/time.h"

namespace magpie {

// Requires that a share (from 0 to 1) of the jobs of a class meets a time limit.
struct Objective {
  std::string kind;
  std::string job_class;
  Seconds limit;
  double share = 0;
  double deadline_factor = 1;  // time limit as a multiple of the job's deadline
};

}  // namespace magpie
