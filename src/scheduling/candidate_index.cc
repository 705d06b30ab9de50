#include "scheduling/candidate_index.h"

#include <algorithm>
#include <tuple>

namespace magpie {
namespace {

// Planned machines are numbered by name, so machines with adjacent indexes were often provisioned
// together in one zone. Equal candidates are chosen in a scattered order, so that the failure of a
// zone or a spot market does not affect all tasks that were placed within the same hour. Fibonacci
// hashing maps every index to a distinct number.
std::uint32_t ScatteredOrder(std::uint32_t machine_index) {
  constexpr std::uint32_t kFibonacciMultiplier = 2654435769U;
  return machine_index * kFibonacciMultiplier;
}

// Heap order with the preferred candidate on top.
bool IsLessPreferred(const CandidateIndex::Candidate& a, const CandidateIndex::Candidate& b) {
  return b < a;
}

}  // namespace

bool CandidateIndex::Candidate::operator<(const Candidate& other) const {
  const std::uint32_t order = ScatteredOrder(machine_index);
  const std::uint32_t other_order = ScatteredOrder(other.machine_index);
  return std::tie(wait, free_cpus, order) < std::tie(other.wait, other.free_cpus, other_order);
}

void CandidateIndex::Heap::Add(const Candidate& candidate) {
  candidates_.push_back(candidate);
  std::push_heap(candidates_.begin(), candidates_.end(), IsLessPreferred);
}

std::optional<CandidateIndex::Candidate> CandidateIndex::Heap::Best(const Versions& versions) {
  while (!candidates_.empty()) {
    const Candidate& top = candidates_.front();
    if (top.version == versions[top.machine_index]) return top;
    std::pop_heap(candidates_.begin(), candidates_.end(), IsLessPreferred);
    candidates_.pop_back();
  }
  return std::nullopt;
}

bool CandidateIndex::Matches(const Resources& per_task, std::uint32_t image,
                             double image_gb) const {
  return image_ == image && image_gb_ == image_gb && per_task_.cpus == per_task.cpus &&
         per_task_.gpus == per_task.gpus && per_task_.memory_gb == per_task.memory_gb;
}

CandidateIndex::KindCandidates& CandidateIndex::CandidatesOfKind(std::size_t kind) {
  if (kinds_.size() <= kind) kinds_.resize(kind + 1);
  return kinds_[kind];
}

}  // namespace magpie
