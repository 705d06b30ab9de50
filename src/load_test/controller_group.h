// The controller processes of a run and their resource usage.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "load_test/controller_process.h"

namespace magpie::load_test {

// Processor time and memory of the controllers since the start of the run.
struct ControllerUsage {
  double leader_cpu_s = 0;
  double follower_cpu_s = 0;
  double leader_s = 0;  // time during which there was a leader
  double leader_peak_mb = 0;
  double follower_peak_mb = 0;
};

// Starts, kills, restarts and measures the controller processes of a run, and owns them. Not
// thread-safe.
class ControllerGroup {
 public:
  void Add(ControllerPlan plan, std::unique_ptr<ControllerProcess> process);

  // Returns false if a controller could not be started.
  bool StartAll();
  void KillAll();
  // Kills the controller with the label `leader` or, without `kill_leader`, the first running
  // follower. Returns its index for Restart, or nothing if no controller was killed.
  std::optional<std::size_t> Kill(const std::string& leader, bool kill_leader);
  void Restart(std::size_t index);
  // Restarts controllers that exited without being killed, and counts them.
  void RestartUnexpectedlyEnded();

  // Sets the time from which Measure counts the time with a leader.
  void BeginMeasuring(Instant now) { last_measured_ = now; }
  // Adds the usage of each controller since the last call to the usage of the leader or of the
  // followers. `leader` is the label of the leader; empty if there is none.
  void Measure(const std::string& leader, Instant now);
  const ControllerUsage& usage() const { return usage_; }

  std::size_t size() const { return members_.size(); }
  const ControllerPlan& plan(std::size_t index) const { return members_[index].plan; }
  ControllerProcess& process(std::size_t index) { return *members_[index].process; }
  std::uint32_t unexpected_exits() const { return unexpected_exits_; }

 private:
  struct Member {
    ControllerPlan plan;
    std::unique_ptr<ControllerProcess> process;
    double cpu_s = 0;  // total at the last call of Measure
    bool expected_to_run = true;
  };

  std::vector<Member> members_;
  ControllerUsage usage_;
  Instant last_measured_;
  std::uint32_t unexpected_exits_ = 0;
};

}  // namespace magpie::load_test
