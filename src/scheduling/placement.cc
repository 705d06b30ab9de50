#include "scheduling/placement.h"

#include <tuple>

namespace magpie {
namespace {

bool IsSmaller(const PlacementOption& a, const PlacementOption& b) {
  return std::tie(a.on_demand, a.machine_cpus, a.wait, a.free_cpus) <
         std::tie(b.on_demand, b.machine_cpus, b.wait, b.free_cpus);
}

bool FinishesEarlier(const PlacementOption& a, const PlacementOption& b) {
  const Seconds a_end = a.wait + a.run_time;
  const Seconds b_end = b.wait + b.run_time;
  return std::tie(a_end, a.on_demand, a.machine_cpus) <
         std::tie(b_end, b.on_demand, b.machine_cpus);
}

}  // namespace

Seconds Slack(Seconds target, const PlacementOption& option, const PlacementWeights& weights) {
  return target - weights.alpha * option.wait - weights.beta * option.run_time;
}

std::optional<std::size_t> ChooseOption(const std::vector<PlacementOption>& options, Seconds target,
                                        const PlacementWeights& weights) {
  std::optional<std::size_t> smallest;
  std::optional<std::size_t> earliest;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const PlacementOption& option = options[i];
    const bool in_time = Slack(target, option, weights).value >= 0;
    if (option.available_now && in_time && (!smallest || IsSmaller(option, options[*smallest])))
      smallest = i;
    if (!earliest || FinishesEarlier(option, options[*earliest])) earliest = i;
  }
  return smallest ? smallest : earliest;
}

}  // namespace magpie
