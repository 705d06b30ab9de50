// Fault injection during a load test.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "load_test/controller_group.h"
#include "load_test/event_loop.h"
#include "load_test/leadership_log.h"
#include "load_test/scenario.h"
#include "load_test/state_server.h"
#include "load_test/worker_pool.h"

namespace magpie::load_test {

// Injects the faults of a scenario at their times. After a fault's duration, restarts the killed
// controller or ends the outage or the unreachability. Not thread-safe, and must not be used on
// the threads of the services' loop and of the worker pool.
class FaultSchedule {
 public:
  // The objects in which faults are injected. All must outlive the schedule.
  struct Targets {
    ControllerGroup& controllers;
    LeadershipLog& leadership;
    WorkerPool& workers;
    EventLoop& services_loop;  // the loop of the key-value service
    StateServer& state;
  };

  explicit FaultSchedule(Targets targets) : targets_(targets) {}

  // Schedules each fault at its offset from the time `from`.
  void Schedule(const std::vector<Fault>& faults, Instant from);
  // Runs all actions whose time has passed.
  void RunDue(Instant now);
  bool empty() const { return actions_.empty(); }

 private:
  struct Action {
    Instant at;
    std::function<void()> act;
  };

  void Inject(const Fault& fault);
  void KillController(bool leader, Seconds downtime);
  void MakeMachinesUnreachable(const Fault& fault);
  void RestartMachines(const Fault& fault);
  void StartOutage(Seconds length);
  void SetOutage(bool outage);
  std::vector<MachineId> MachinesIn(const std::string& zone, std::size_t maximum) const;

  Targets targets_;
  std::vector<Action> actions_;
};

}  // namespace magpie::load_test
