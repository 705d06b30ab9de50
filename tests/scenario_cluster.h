// Extends SimulatedCluster for fault scenarios: users that poll all controllers, a partitioned zone
// with a controller that continues to serve its workers, and checks of each scenario's final state.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "simulated_cluster.h"

namespace magpie::testing {

class ScenarioCluster : public SimulatedCluster {
 public:
  using SimulatedCluster::SimulatedCluster;

  // The machine at `index` in the order of addition.
  Machine& MachineAt(int index) { return *std::next(machines.begin(), index); }
  std::string Follower() const {
    const std::string leader = Leader();
    return *std::find_if(labels.begin(), labels.end(),
                         [&](const std::string& label) { return label != leader && IsUp(label); });
  }
  void RestrictToZone(const std::string& job, const std::string& zone,
                      const std::string& team = "red") {
    job_overrides[job] = [zone, team](JobSpec& spec) {
      spec.zone = zone;
      spec.team = team;
    };
  }

  // ---- Users
  // Queries the job and submits it again at every controller. Each response is checked against all
  // earlier ones (CheckResponse), and the known job must not be accepted as new or rejected as
  // invalid.
  void PollAllControllers(const std::string& job) {
    for (const std::string& label : labels) {
      Poll(job, label);
      if (!IsUp(label)) continue;
      const HttpResponse resubmission =
          controllers.at(label)->api.Submit(protocol::JobToRecord(Spec(job, jobs.at(job))).dump());
      if (resubmission.status == 201) violations.insert("accepted twice");
      if (resubmission.status == 400 || resubmission.status == 422) violations.insert("forgotten");
      CheckResponse(job, resubmission);
    }
    for (const std::string& label : labels)
      if (IsUp(label) && controllers.at(label)->api.Query("j-999999").status == 200)
        violations.insert("invented");
  }
  void SubmitAndPoll(const std::string& job, std::uint32_t tasks, const std::string& via) {
    if (Submit(job, tasks, via)) PollAllControllers(job);
  }
  bool CancelAndPoll(const std::string& job, const std::string& via) {
    const bool cancelled = Cancel(job, via) == "withdrawn";
    if (jobs.contains(job)) PollAllControllers(job);
    return cancelled;
  }
  // Repeats the cancellation until a controller confirms it or `seconds` have passed.
  bool CancelWithin(const std::string& job, int seconds) {
    for (int i = 0; i < seconds; ++i) {
      if (CancelAndPoll(job, labels[static_cast<std::size_t>(i) % labels.size()])) return true;
      StepOneSecond();
    }
    return false;
  }

  // ---- Tasks
  void CompleteTask(const TaskId& task) {
    for (Machine& machine : machines)
      if (!machine.removed && machine.worker.HasLiveTask(task)) {
        machine.worker.End(task, ExitReason::kDone);
        completed.insert(task);
      }
  }
  void CompleteAllTasks(const std::string& job) {
    for (std::uint32_t i = 0; i < jobs.at(job); ++i) CompleteTask({{job}, i});
  }
  // Checks that tasks of jobs restricted to a zone run only there.
  void CheckZones() {
    for (const Machine& machine : machines)
      for (const TaskStatus& status : machine.worker.tasks()) {
        if (machine.removed || status.state == TaskState::kEnded ||
            !job_overrides.contains(status.task.job.value))
          continue;
        const JobSpec spec = Spec(status.task.job.value, 1);
        if (spec.zone && *spec.zone != machine.worker.zone()) violations.insert("wrong_place");
      }
  }
  void Run(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      ReplaceMachines();
      StepOneSecond();
      CheckZones();
    }
  }

  // Replaces lost machines in place of the cloud, so that each zone keeps its number of machines.
  std::map<std::string, int> machines_per_zone{{"a", 2}, {"b", 2}};
  void ReplaceMachines() {
    for (const auto& [zone, target] : machines_per_zone) {
      const auto present =
          std::count_if(machines.begin(), machines.end(), [&](const Machine& machine) {
            return !machine.removed && machine.worker.zone() == zone;
          });
      for (auto count = present; count < target; ++count)
        machines.emplace_back("m-" + std::to_string(++added_machines_), "small", zone)
            .lease_renewed = now;
    }
  }

  // ---- Faults
  void ForEachMachine(const std::string& zone, const std::function<void(Machine&)>& action) {
    for (Machine& machine : machines)
      if (zone.empty() || machine.worker.zone() == zone) action(machine);
  }
  void KillMachine(Machine& machine) {
    machine.removed = true;
    machine.died = now;
  }
  void PartitionController(const std::string& label) {
    for (const std::string& other : labels) {
      partitions.insert({label, other});
      partitions.insert({other, label});
    }
  }
  void RestartLeader() {
    const std::string leader = Leader();
    if (leader.empty()) return;
    StopController(leader);
    StartController(leader);
  }
  // Isolates the zone's machines together with one controller.
  void PartitionZone(const std::string& zone, const std::string& inside_controller) {
    PartitionController(inside_controller);
    controllers.at(inside_controller)->store.refused = true;
    ForEachMachine(zone, [](Machine& machine) { machine.partitioned = true; });
  }
  void HealZone(const std::string& zone, const std::string& inside_controller) {
    partitions.clear();
    controllers.at(inside_controller)->store.refused = false;
    ForEachMachine(zone, [](Machine& machine) { machine.partitioned = false; });
  }
  // Advances one second, in which the zone's machines send heartbeats to `inside_controller`.
  void StepInsidePartition(const std::string& zone, const std::string& inside_controller) {
    ForEachMachine(zone, [&](Machine& machine) {
      const HttpResponse response =
          controllers.at(inside_controller)
              ->heartbeat_handler.Handle(
                  protocol::HeartbeatToJson(machine.worker.Snapshot()).dump(),
                  HeartbeatRoute::kDirect);
      if (response.status != 200) return;
      const protocol::Json body = protocol::Json::parse(response.body);
      const HeartbeatResponse parsed{true,
                                     false,
                                     {body.at("crest").get<std::uint64_t>()},
                                     protocol::CommandsFromJson(body.at("calls"))};
      if (machine.worker.Deliver(parsed)) machine.lease_renewed = now;
    });
    Run(1);
  }

  // ---- The end of a scenario
  // Ends all faults.
  void ClearFaults() {
    store.outage = false;
    store.next_commit = FakeStore::Fault::kNone;
    partitions.clear();
    paused_until.clear();
    delay_command = [] { return std::nullopt; };
    repeat_heartbeat = [] { return std::nullopt; };
    stale_first_heartbeat = [](std::size_t) { return std::nullopt; };
    for (const std::string& label : labels) {
      if (!controllers.contains(label)) StartController(label);
      controllers.at(label)->store.refused = false;
      controllers.at(label)->store.rate_limited = [] { return false; };
    }
    for (Machine& machine : machines)
      machine.receives_nothing = machine.slow_heartbeats = machine.sends_nothing =
          machine.partitioned = false;
  }
  // Describes accepted jobs that a controller does not report, or that are not final and do not run
  // all remaining tasks. Empty if there are none.
  std::string DescribeUnfinishedJobs() {
    std::string unfinished;
    for (const auto& [job, tasks] : jobs)
      for (const std::string& label : labels) {
        const std::string state = Poll(job, label);
        if (state.empty()) unfinished += job + " is not reported by " + label + "; ";
        if (state == "done" || state == "withdrawn") continue;
        std::size_t ended = 0;
        for (std::uint32_t i = 0; i < tasks; ++i) ended += completed.contains({{job}, i}) ? 1 : 0;
        if (LiveTasks(job) + ended < tasks)
          unfinished += job + " runs " + std::to_string(LiveTasks(job)) + " of " +
                        std::to_string(tasks - ended) + "; ";
      }
    return unfinished;
  }

 private:
  int added_machines_ = 100;
};

}  // namespace magpie::testing
