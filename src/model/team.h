// Teams and their quotas.
#pragma once

#include <string>

namespace magpie {

// A team's guarantee (`cpus`, `gpus`) and limit (`cpus_max`, `gpus_max`).
struct Team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;  // 0: no limit
  double gpus = 0;
  double gpus_max = 0;  // 0: no limit
};

}  // namespace magpie
