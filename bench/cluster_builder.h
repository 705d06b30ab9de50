// A synthetic cluster for the benchmark of the scheduler core: machines that run tasks, as a new
// leader finds them at takeover, without sockets, key-value store or cloud.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "scheduling/scheduler.h"

namespace magpie::bench {

constexpr std::uint32_t kTasksPerMachine = 4;

class BenchmarkCluster {
 public:
  // Takes over a cluster of `machines` machines. Each runs kTasksPerMachine tasks and has free
  // capacity for one more.
  explicit BenchmarkCluster(std::uint32_t machines);

  void DropCore() { core_.reset(); }
  // Builds a scheduler from the records and the first heartbeats.
  void TakeOver();
  // Restores the initial state of the cluster and takes over again.
  void Restore();
  // Passes the machine's next heartbeat to the scheduler and applies the response.
  void SendHeartbeat(std::size_t machine);
  // Sends a heartbeat in which one more of the machine's tasks has ended.
  void ReportTaskEnd(std::size_t machine);
  void SubmitJob(std::uint32_t tasks);
  // Advances the clock; the machines that are not stopped send heartbeats in turn, each at the
  // heartbeat interval.
  void AdvanceTime(Seconds time);
  // Stops the first `machines` machines; the others send heartbeats for 12 s, until the stopped
  // ones are overdue.
  void StopMachines(std::size_t machines);
  // Runs until the scheduler has probed and released the stopped machines and placed their tasks
  // again, while the others send heartbeats. Returns the virtual time taken.
  Seconds RecoverFromLoss();
  void Tick();
  // Wall time that the functions above spent in the scheduler, without SubmitJob and AdvanceTime.
  Seconds scheduler_time() const { return scheduler_time_; }
  void ResetSchedulerTime() { scheduler_time_ = {}; }

  bool has_core() const { return core_ != nullptr; }
  Scheduler& core() { return *core_; }
  std::size_t size() const { return heartbeats_.size(); }

 private:
  void LoadRecords();
  void HandleHeartbeat(std::size_t machine);
  void RespondToProbes();
  void RespondToCloudCalls();
  JobSpec MakeSpec(const std::string& id, std::uint32_t tasks) const;

  template <typename Step>
  void MeasureStep(Step step);

  std::unique_ptr<Scheduler> core_;
  Seconds scheduler_time_;
  std::vector<magpie::Heartbeat> initial_heartbeats_;
  std::vector<magpie::Heartbeat> heartbeats_;
  Instant now_{1000};
  WallTime wall_time_{1000};
  std::uint64_t last_revision_ = 100;
  std::size_t stopped_machines_ = 0;  // all machines with an index below this are stopped
  std::size_t next_machine_ = 0;      // index of the machine that sends the next heartbeat
  double due_heartbeats_ = 0;         // number of heartbeats to send, with a fractional part
  std::uint32_t submitted_jobs_ = 0;
};

}  // namespace magpie::bench
