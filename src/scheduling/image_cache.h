// Assigns numbers to container images, and estimates which images each machine has cached.
//
// Invariant: an image keeps its number until Clear(). Machine::images lists the latest image first
// and is limited by the size of the machine's cache. It is an estimate, since workers do not report
// their caches.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "provisioning/autoscaler.h"
#include "scheduling/job_state.h"
#include "scheduling/machine_state.h"

namespace magpie {

// Assigns numbers to images, so that machines can be compared without string comparisons.
class ImageRegistry {
 public:
  void Clear() { numbers_.clear(); }
  // Returns 0 for a job without an image.
  std::uint32_t NumberOf(const std::string& image);

 private:
  std::map<std::string, std::uint32_t> numbers_;
};

// Whether the machine is expected to run a task with the image without fetching it.
bool HasImage(const Machine& machine, std::uint32_t image);

// Records that the machine has the job's image, and removes the images that no longer fit in its
// cache. The cache size is known only if the cloud offers the machine type.
void RecordImage(Machine& machine, const Job& job, const Autoscaler& autoscaler);

}  // namespace magpie
