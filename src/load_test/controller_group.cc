#include "load_test/controller_group.h"

#include <algorithm>
#include <utility>

namespace magpie::load_test {

void ControllerGroup::Add(ControllerPlan plan, std::unique_ptr<ControllerProcess> process) {
  Member member;
  member.plan = std::move(plan);
  member.process = std::move(process);
  members_.push_back(std::move(member));
}

bool ControllerGroup::StartAll() {
  return std::all_of(members_.begin(), members_.end(),
                     [](Member& member) { return member.process->Start(); });
}

void ControllerGroup::KillAll() {
  for (Member& member : members_)
    if (member.process) member.process->Kill();
}

std::optional<std::size_t> ControllerGroup::Kill(const std::string& leader, bool kill_leader) {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Member& member = members_[i];
    if ((member.plan.label == leader) != kill_leader || !member.expected_to_run) continue;
    member.expected_to_run = false;
    member.process->Kill();
    return i;
  }
  return std::nullopt;
}

void ControllerGroup::Restart(std::size_t index) {
  members_[index].process->Start();
  members_[index].expected_to_run = true;
}

void ControllerGroup::RestartUnexpectedlyEnded() {
  for (Member& member : members_) {
    if (!member.expected_to_run || member.process->running()) continue;
    ++unexpected_exits_;
    member.process->Start();
  }
}

void ControllerGroup::Measure(const std::string& leader, Instant now) {
  for (Member& member : members_) {
    const double cpu_s = member.process->cpu_s();
    const double used_s = std::max(0.0, cpu_s - member.cpu_s);
    member.cpu_s = cpu_s;
    const bool is_leader = member.plan.label == leader;
    (is_leader ? usage_.leader_cpu_s : usage_.follower_cpu_s) += used_s;
    const auto process = UsageOf(member.process->pid());
    double& peak_mb = is_leader ? usage_.leader_peak_mb : usage_.follower_peak_mb;
    if (process) peak_mb = std::max(peak_mb, process->resident_mb);
  }
  if (!leader.empty()) usage_.leader_s += (now - last_measured_).value;
  last_measured_ = now;
}

}  // namespace magpie::load_test
