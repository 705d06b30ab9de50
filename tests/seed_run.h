// Runs one seed of the fault sweep (fault_sweep.h), which determines users, tasks and faults.
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

// One seed: the workload, the faults and the final checks. All randomness comes from `random_`, the
// cluster's own generator and ThreadRandom(), which are seeded, so that a seed is reproducible.
class SeedRun {
 public:
  SeedRun(std::uint64_t seed, BrokenBroadcast broken_broadcast, DecisionDigest* decisions);

  SeedResult Run();

 private:
  using Machine = SimulatedCluster::Machine;
  // How a machine is disconnected from the controllers.
  enum class Disconnection { kReceivesNothing, kSendsNothing, kPartitioned };
  static const char* Describe(Disconnection disconnection);

  std::uint32_t RandomBit();
  void ConfigureJobs();

  // ---- Workload: actions of users and tasks each second (seed_run.cc)
  void RunWorkload();
  void ScheduleWithinOneSecond(std::function<void()> action);
  void Submit(const std::string& job);
  // Queries all controllers within 10 ms and may repeat the submission.
  void PollAllControllersConcurrently(const std::string& job);
  void EndRandomTasks(Machine& machine);
  void CompleteTask(Machine& machine, const TaskId& task);

  // ---- Single faults (seed_run_faults.cc)
  InjectedFault RandomStoreFault(const std::string& label, bool write);
  void InjectAfter(Seconds wait, const std::string& description, std::function<void()> action);
  void RecordFault(const char* kind);
  void RefuseStoreCalls(Seconds from, Seconds length, const std::string& label);
  void ScheduleOutage(Seconds from, Seconds length);
  void PartitionControllers(Seconds from, Seconds length, const std::string& a,
                            const std::string& b);
  void RestartController(Seconds from, Seconds downtime, const std::string& label);
  void RestartLeader(Seconds from);
  void RestartLeader(Seconds from, std::function<Seconds()> draw_downtime);
  void RefuseLeaderStoreCalls(Seconds from, Seconds length);
  void PauseController(Seconds from, Seconds length, const std::string& label);
  void DelayCommands(Seconds from, Seconds length, double max_delay);
  // Copies of direct commands arrive after the worker has executed and answered them, from half a
  // second to twice a lease later.
  void RepeatCommands(Seconds from, Seconds length, double share);
  void RepeatHeartbeats(Seconds from, Seconds length);
  // When a new leader reads its records, all controllers receive copies of old heartbeats, possibly
  // out of order.
  void SendStaleHeartbeats();
  Machine& RandomMachine();
  void Disconnect(Seconds from, Seconds length, Machine& machine, Disconnection disconnection);
  Seconds RandomDurationNearLease();
  void KillMachine(Seconds from, Machine& machine);
  void RestartWorker(Seconds from, Machine& machine, bool loses_state);
  void SubmitManySmallJobs(Seconds from);
  void RestartAllControllers(Seconds from);
  void SlowHeartbeats(Seconds from, Seconds length, Machine& machine);
  void PartitionZoneMachines(Seconds from);
  void RateLimitStoreCalls(Seconds from, Seconds length);
  void SlowDownStore(Seconds from, Seconds length);
  void LoseWriteResponses(Seconds from, Seconds length);
  void CancelWhileMachinesUnreachable(Seconds from, Seconds length);
  // Sends a preemption notice. The cloud then reclaims the machine or withdraws the notice.
  void SendPreemptionNotice(Seconds from, Machine& machine);

  // ---- Combinations of faults (seed_run_combinations.cc)
  // Schedules at most one combination and one to five single faults.
  void ScheduleRandomFaults();
  void ScheduleRandomFault();

  // The key-value store refuses only the leader, then all controllers, while users cancel jobs.
  void RefuseLeaderThenStartOutage();

  // Machines lose their leases and receive tasks again by delayed commands. The leader crashes, and
  // the next leader receives copies of heartbeats sent before and after the loss of the leases.
  void LoseLeasesThenSendStaleHeartbeats();

  // Tasks often fail while leaders crash or the key-value store refuses them. If a leader that
  // cannot write the outcome of a task sent a forget command for it, the next leader would start
  // the task again, and the leader after that would receive the earlier outcome in a copy of a
  // heartbeat.
  void ForgetOutcomesThenSendStaleHeartbeats();

  // Commands are delayed while the leader changes and machines receive nothing.
  void DelayCommandsWhileLeadersChange();

  // Answered commands arrive once more while tasks fail, leaders end and return, and machines
  // restart, with or without their state.
  void RepeatCommandsWhileProcessesRestart();

  // Machines lose their state while nobody leads, and answered commands arrive there once more.
  void RestartWorkersDuringElection();

  // Copies of heartbeats arrive while preemption notices move tasks between machines.
  void RepeatHeartbeatsDuringPreemptionNotices();

  // Writes commit late, some of them after the leader has changed.
  void DelayWritesWhileLeadersChange();

  // Tasks fail shortly after their start, while commands are delayed for up to 5 s.
  void FailTasksQuickly();

  // Workers restart, some without their state, while commands are delayed.
  void RestartWorkers();

  // The key-value store refuses only the leader, and workers continue to send it heartbeats.
  // Machines, some with bound tasks that it has not started yet, receive preemption notices, and
  // another controller becomes the leader.
  void DeposeLeaderKeepingWorkers();

  // Preemption notices move tasks between machines while heartbeats take seconds.
  void SendPreemptionNoticesDuringSlowHeartbeats();

  // The key-value store refuses all controllers for at least the duration of the leader's lease. It
  // may serve the leader again before the others.
  void RefuseAllControllers();

  // A zone's machines and one controller are partitioned from the rest, and users cancel jobs
  // around that time. The controller renews the workers' leases, also after its own restart.
  void PartitionZone(Seconds from, Seconds length);

  // ---- Recovery and final checks (seed_run.cc)
  void ClearFaults();

  // All controllers must report all jobs, with states not older than those that users received.
  void PollAllJobsAtAllControllers();

  SeededRandom random_;
  SimulatedCluster cluster_;
  const std::vector<std::string>& labels_;
  SeedResult result_;
  std::map<std::string, std::uint32_t> job_sizes_;
  std::map<std::string, Instant> cancel_at_;
  double task_failure_rate_ = 0.01;  // probability per task and second
  double slow_call_rate_ = 0;        // fraction of key-value store calls
  double lost_response_rate_ = 0;    // fraction of writes
  bool workload_ended_ = false;
};

}  // namespace magpie::testing
