// Which machine types a job accepts, and how many of its tasks fit on a machine.
#pragma once

#include <cstdint>
#include <string>

#include "model/job.h"
#include "model/resources.h"

namespace magpie {

// Whether the job allows this machine type. A job without a list of types allows all.
bool AllowsType(const JobSpec& spec, const std::string& type);

// The number of tasks of this size that fit on a machine with this capacity.
std::uint32_t TasksThatFit(const Resources& capacity, const Resources& per_task);

}  // namespace magpie
