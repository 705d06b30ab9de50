// A worker with simulated tasks, and the interface through which it reports their starts and ends.
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

// Receives a call when a task starts on a machine, and one when it has certainly ended there.
class TaskObserver {
 public:
  virtual ~TaskObserver() = default;
  virtual void OnTaskStarted(const MachineId& machine, const TaskId& task, Attempt attempt,
                             Instant now) = 0;
  virtual void OnTaskEnded(const MachineId& machine, const TaskId& task, Attempt attempt,
                           bool completed, Instant now) = 0;
};

// A worker that simulates its tasks. It runs the state machine of src/agent, but instead of
// fetching images and starting processes it only computes the times at which they end. Nothing is
// stored, so a restarted task runs its whole run time again.
//
// No I/O: the caller passes the time and transports the messages. Not thread-safe.
class SimulatedWorker {
 public:
  struct Options {
    agent::Worker::Options agent;
    agent::Worker::DurableState durable_state;  // of the previous worker process on the machine
    double fetch_gb_per_s = 1;
    std::uint64_t seed = 0;
  };

  // `jobs` and `observer` must outlive the worker.
  SimulatedWorker(Options options, const JobLedger& jobs, TaskObserver& observer, Instant now);

  // The next heartbeat, if its time has come and no other is in flight.
  std::optional<agent::Worker::Outgoing> NextHeartbeat(Instant now);
  void OnAnswer(const agent::Answer& answer, Instant now);
  agent::DirectCommandReply OnDirectCommand(std::optional<FencingToken> token,
                                            std::optional<std::uint64_t> agent_epoch,
                                            const std::vector<Command>& commands, Instant now);
  Heartbeat Inspect(Instant now);
  void OnPreemptionNotice(std::optional<Seconds> left) { agent_.OnPreemptionNotice(left); }
  // Ends fetches and processes whose time has passed, and checks the lease.
  void Advance(Instant now);
  // The latest time for the next call of NextHeartbeat or Advance.
  Instant NextWakeup() const;
  // Ends all tasks and fetches, as a machine without power does.
  void PowerOff(Instant now);

  std::size_t running() const { return processes_.size(); }
  const MachineId& machine() const { return machine_; }

 private:
  using ProcessKey = std::pair<TaskId, Attempt>;
  struct Process {
    Instant ends;
    agent::Outcome outcome = agent::Outcome::kDone;
  };

  void ApplyEffects(Instant now);
  void ApplyEffects(const agent::Effect& effect, Instant now);
  void ReadDescription(const TaskId& task);
  void StartFetch(const agent::Effect& effect, Instant now);
  void StartProcess(const ProcessKey& key, Instant now);
  void SaveProcess(const ProcessKey& key, Instant now);
  void EndProcess(const ProcessKey& key, agent::Outcome outcome, Instant now);
  void EndFinishedFetches(Instant now);
  void EndFinishedProcesses(Instant now);

  MachineId machine_;
  double fetch_gb_per_s_;
  const JobLedger& jobs_;
  TaskObserver& observer_;
  std::minstd_rand random_;
  agent::Worker agent_;
  std::map<ProcessKey, Process> processes_;
  std::map<std::string, Instant> fetches_;     // end of each fetch, by image
  std::map<std::string, double> image_sizes_;  // in GB, by image
};

}  // namespace magpie::load_test
