// Groups jobs by shape: tasks of the same shape can use the same machines.
#pragma once

#include <string>

#include "model/job.h"

namespace magpie {

// Returns a key made of the job's class, task size and restrictions on machines. Tasks of one shape
// can share a machine that was provisioned for any of them.
std::string ShapeOf(const JobSpec& spec);

}  // namespace magpie
