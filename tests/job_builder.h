// Builds a job of two-CPU tasks, for tests and benchmarks.
#pragma once

#include <string>

#include "model/job.h"

namespace magpie::testing {

inline JobSpec MakeJob(const std::string& id, std::uint32_t tasks = 1) {
  JobSpec spec;
  spec.id = {id};
  spec.job_class = "sums";
  spec.team = "red";
  spec.tasks = tasks;
  spec.per_task = {2, 0, 4};
  spec.image = "img-1";
  spec.image_gb = 1;
  spec.estimate = {30};
  return spec;
}

}  // namespace magpie::testing
