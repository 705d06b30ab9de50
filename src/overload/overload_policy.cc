#include "overload/overload_policy.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

namespace magpie {
namespace {

// A job to be planned for one of its targets.
struct Candidate {
  Seconds latest_start;  // of the job's last task
  std::size_t job = 0;
  std::size_t target = 0;
  bool operator>(const Candidate& other) const {
    return std::tie(latest_start, job) > std::tie(other.latest_start, other.job);
  }
};

// Runs the Moore-Hodgson algorithm once.
class TargetPlanner {
 public:
  TargetPlanner(const std::vector<WaitingWork>& jobs, Seconds work_ahead, double alpha)
      : jobs_(jobs), work_ahead_(work_ahead.value), alpha_(alpha), total_work_(work_ahead.value) {
    decision_.planned_target.resize(jobs.size());
  }

  OverloadDecision Plan() {
    for (std::size_t job = 0; job < jobs_.size(); ++job) AddCandidate(job, 0, Seconds{0});
    while (!candidates_.empty()) {
      const Candidate next = candidates_.top();
      candidates_.pop();
      decision_.planned_target[next.job] = next.target;
      planned_.push({jobs_[next.job].work, next.job});
      total_work_ += jobs_[next.job].work.value;
      while (IsLate(next) && !planned_.empty()) DropLargest(next.latest_start);
    }
    decision_.planned_work = {total_work_ - work_ahead_};
    return std::move(decision_);
  }

 private:
  // A job that is planned for a target, ordered by work for a max-heap.
  struct PlannedJob {
    Seconds work;
    std::size_t job = 0;
    auto operator<=>(const PlannedJob&) const = default;
  };

  // Adds a candidate for the job's first target from index `target` on that has a latest start not
  // before `from`. Candidates with an earlier latest start are not reconsidered.
  void AddCandidate(std::size_t job, std::size_t target, Seconds from) {
    const WaitingWork& waiting = jobs_[job];
    for (; target < waiting.targets.size(); ++target) {
      const Seconds latest_start = waiting.targets[target] - waiting.run_time;
      if (latest_start < std::max(from, Seconds{0})) continue;
      candidates_.push({latest_start, job, target});
      return;
    }
  }

  bool IsLate(const Candidate& candidate) const {
    // When the job's last task starts, its other running tasks are half done on average.
    const double in_progress = jobs_[candidate.job].run_time.value / 2;
    return alpha_ * (total_work_ - in_progress) > candidate.latest_start.value;
  }

  void DropLargest(Seconds from) {
    const std::size_t largest = planned_.top().job;
    planned_.pop();
    total_work_ -= jobs_[largest].work.value;
    const std::size_t missed = *decision_.planned_target[largest];
    decision_.planned_target[largest].reset();
    decision_.overloaded = true;
    AddCandidate(largest, missed + 1, from);
  }

  const std::vector<WaitingWork>& jobs_;
  const double work_ahead_;
  const double alpha_;
  double total_work_;  // of the planned jobs and the work ahead of them
  std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> candidates_;
  std::priority_queue<PlannedJob> planned_;
  OverloadDecision decision_;
};

}  // namespace

OverloadDecision PlanForTargets(const std::vector<WaitingWork>& jobs, Seconds work_ahead,
                                double alpha) {
  return TargetPlanner(jobs, work_ahead, alpha).Plan();
}

}  // namespace magpie
