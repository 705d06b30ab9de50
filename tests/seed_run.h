// The run of one seed of the fault sweep (fault_sweep.h): users, tasks and faults drawn by seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fault_sweep.h"
#include "random_draw.h"
#include "simulated_cluster.h"

namespace magpie::testing {

// The run of one seed: the workload, the faults and the checks at the end. Everything drawn comes
// from `draw_` and from the draws of the cluster.
class SeedRun {
 public:
  SeedRun(std::uint64_t seed, BrokenBroadcast broken_broadcast, DecisionDigest* decisions);

  SeedResult Run();

 private:
  using Machine = SimulatedCluster::Machine;
  // How a machine is cut off from the controllers.
  enum class Connection { kReceivesNothing, kSendsNothing, kPartitioned };
  static const char* Describe(Connection connection);

  std::uint32_t RandomBit();
  void ConfigureJobs();

  // ---- The workload: what users and tasks do each second (seed_run.cc)
  void RunWorkload();
  void ScheduleWithinOneSecond(std::function<void()> action);
  void Submit(const std::string& job);
  // Queries every controller within milliseconds, and may repeat the submission.
  void PollAllControllersConcurrently(const std::string& job);
  void EndRandomTasks(Machine& machine);
  void CompleteTask(Machine& machine, const TaskId& task);

  // ---- Single faults (seed_run_faults.cc)
  InjectedFault RandomStoreFault(const std::string& label, bool write);
  void InjectAfter(Seconds wait, const std::string& description, std::function<void()> action);
  void RecordFault(const char* kind);
  void RefuseStoreCalls(Seconds from, Seconds length, const std::string& label);
  void ScheduleOutage(Seconds from, Seconds length);
  void PartitionControllers(Seconds from, Seconds length, const std::string& a, const std::string& b);
  void RestartController(Seconds from, Seconds downtime, const std::string& label);
  void RestartLeader(Seconds from);
  void RefuseLeaderStoreCalls(Seconds from, Seconds length);
  void PauseController(Seconds from, Seconds length, const std::string& label);
  void DelayCommands(Seconds from, Seconds length, double max_delay);
  void RepeatHeartbeats(Seconds from, Seconds length);
  // A new leader first receives copies of old heartbeats, in their order or not.
  void SendStaleHeartbeats();
  Machine& RandomMachine();
  void Disconnect(Seconds from, Seconds length, Machine& machine, Connection connection);
  Seconds RandomDurationNearLease();
  void KillMachine(Seconds from, Machine& machine);
  void RestartWorker(Seconds from, Machine& machine, bool loses_state);
  void SubmitManySmallJobs(Seconds from);
  void RestartAllControllers(Seconds from);
  void SlowHeartbeats(Seconds from, Seconds length, Machine& machine);
  void PartitionMachinesOfAZone(Seconds from);
  void RateLimitStoreCalls(Seconds from, Seconds length);
  void SlowDownStore(Seconds from, Seconds length);
  void LoseWriteResponses(Seconds from, Seconds length);
  void CancelWhileMachinesUnreachable(Seconds from, Seconds length);
  // The cloud will take the machine, or withdraws its notice.
  void SendPreemptionNotice(Seconds from, Machine& machine);

  // ---- Combinations of faults (seed_run_combinations.cc)
  // Draws one combination, and up to five single faults beside it.
  void ScheduleRandomFaults();
  void ScheduleRandomFault();

  // The key-value store refuses the leader alone, then all, while users cancel.
  void RefuseLeaderThenStartOutage();

  // Machines lose their lease and get work again by delayed commands; the leader crashes, and the
  // next one receives copies of their heartbeats of before and after.
  void LoseLeasesThenSendStaleHeartbeats();

  // Tasks fail and workers forget them, as a leader that can't write the outcome tells them to; the
  // next one runs them again, and the one after that receives their former outcome.
  void ForgetOutcomesThenSendStaleHeartbeats();

  // Commands are delayed while leaders change and machines receive nothing.
  void DelayCommandsWhileLeadersChange();

  // Tasks fail as soon as they begin, while commands are delayed for a moment.
  void FailTasksQuickly();

  // Workers restart, some without their state, while earlier commands are delayed.
  void RestartWorkers();

  // The key-value store refuses the leader alone; its workers stay with it, bindings that it could
  // not yet start are on machines that get a preemption notice, and another leads.
  void DeposeLeaderKeepingWorkers();

  // Tasks move from machine to machine while responses take seconds.
  void SendPreemptionNoticesDuringSlowHeartbeats();

  // Every controller is refused for longer than the leader's lease; the leader may be served first.
  void RefuseAllControllers();

  // A controller and the machines of its zone are partitioned from all else, and some users cancel
  // just before; the controller renews the leases, also after it restarted.
  void PartitionZone(Seconds from, Seconds length);

  // ---- The end (seed_run.cc)
  void ClearFaults();

  // Every controller must know every job, and answer no less than users already know.
  void PollAllJobsAtAllControllers();

  SeededRandom random_;
  SimulatedCluster cluster_;
  const std::vector<std::string>& labels_;
  SeedResult result_;
  std::map<std::string, std::uint32_t> job_sizes_;
  std::map<std::string, Instant> cancel_at_;
  double task_failure_rate_ = 0.01;  // share of the tasks that may fail, per second
  double slow_call_rate_ = 0;        // share of the calls
  double lost_response_rate_ = 0;      // share of the writes
  bool workload_ended_ = false;
};

}  // namespace magpie::testing
