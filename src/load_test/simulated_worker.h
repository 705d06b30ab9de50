// A worker without tasks' work: the protocol's state machine of src/agent, whose effects
// only take time here. Images are fetched and processes run until a deadline; nothing is
// stored, so a task that is started again runs its whole time again.
//
// Pure: the caller tells the time and carries the messages. Not safe for threads.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "agent/worker.h"
#include "load_test/job_ledger.h"
#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/time.h"
#include "model/worker_messages.h"

namespace magpie::load_test {

// Called when a task takes its place on the machine and when it has left it for certain.
class TaskObserver {
 public:
  virtual ~TaskObserver() = default;
  virtual void OnTaskBegan(const MachineId& machine, const TaskId& task, Attempt attempt,
                           Instant now) = 0;
  virtual void OnTaskLeft(const MachineId& machine, const TaskId& task, Attempt attempt,
                          bool completed, Instant now) = 0;
};

class SimulatedWorker {
 public:
  struct Options {
    agent::Worker::Options agent;
    agent::Worker::DurableState memory;  // of the worker that was there before
    double fetch_gb_per_s = 1;
    std::uint64_t seed = 0;
  };

  // `jobs` and `observer` must outlive the worker.
  SimulatedWorker(Options options, const JobLedger& jobs, TaskObserver& observer, Instant now);

  // The report that is due, if none is on its way.
  std::optional<agent::Worker::Outgoing> NextHeartbeat(Instant now);
  void OnAnswer(const agent::Answer& answer, Instant now);
  agent::DirectCommandReply OnDirectCommand(std::optional<FencingToken> token,
                                            std::optional<std::uint64_t> agent_epoch,
                                            const std::vector<Command>& commands, Instant now);
  Heartbeat Inspect(Instant now);
  void OnPreemptionNotice(std::optional<Seconds> left) { core_.OnPreemptionNotice(left); }
  // Carries out what is due: ends of fetches and processes, the lease.
  void Advance(Instant now);
  // When NextHeartbeat or Advance may have something to do, at the latest.
  Instant Wake() const;
  // The machine is lost: all that is on it is gone.
  void Perish(Instant now);

  std::size_t running() const { return processes_.size(); }
  const MachineId& machine() const { return machine_; }

 private:
  using ProcessKey = std::pair<TaskId, Attempt>;
  struct Process {
    Instant ends;
    agent::Outcome outcome = agent::Outcome::kDone;
  };

  void CarryOut(Instant now);
  void CarryOut(const agent::Effect& effect, Instant now);
  void Describe(const TaskId& task);
  void Fetch(const agent::Effect& effect, Instant now);
  void StartProcess(const ProcessKey& key, Instant now);
  void SaveProcess(const ProcessKey& key, Instant now);
  void EndProcess(const ProcessKey& key, agent::Outcome outcome, Instant now);
  void EndDueFetches(Instant now);
  void EndDueProcesses(Instant now);

  MachineId machine_;
  double fetch_gb_per_s_;
  const JobLedger& jobs_;
  TaskObserver& observer_;
  std::minstd_rand random_;
  agent::Worker core_;
  std::map<ProcessKey, Process> processes_;
  std::map<std::string, Instant> fetches_;     // when each will be there
  std::map<std::string, double> image_sizes_;  // of images asked for, in GB
};

}  // namespace magpie::load_test
