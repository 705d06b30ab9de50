#include "scheduling/image_cache.h"

#include <algorithm>

namespace magpie {

std::uint32_t ImageRegistry::NumberOf(const std::string& image) {
  if (image.empty()) return 0;
  return numbers_.try_emplace(image, numbers_.size() + 1).first->second;
}

bool HasImage(const Machine& machine, std::uint32_t image) {
  return image == 0 || std::any_of(machine.images.begin(), machine.images.end(),
                                   [&](const auto& cached) { return cached.number == image; });
}

void RecordImage(Machine& machine, const Job& job, const Autoscaler& autoscaler) {
  if (job.image == 0) return;
  auto& images = machine.images;
  const auto it = std::find_if(images.begin(), images.end(),
                               [&](const auto& cached) { return cached.number == job.image; });
  if (it == images.begin() && it != images.end()) return;
  if (it != images.end()) images.erase(it);
  images.push_front({job.image, job.spec.image_gb});
  const MachineType* type = autoscaler.Find(machine.type);
  double total_gb = 0;
  for (std::size_t i = 0; i < images.size(); ++i) {
    total_gb += images[i].size_gb;
    if (type != nullptr && total_gb > type->cache_gb && i > 0) {
      images.resize(i);
      break;
    }
  }
}

}  // namespace magpie
