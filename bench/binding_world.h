// Runs the scheduler core of a leader under a steady churn of tasks, in virtual time on one thread.
// Simulated workers send heartbeats, jobs arrive, the core plans and writes record pages; every
// message is encoded to JSON and parsed as in a controller. CPU time is measured for each kind of
// step. Store latency and the order of events are virtual, so counts are reproducible.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "decision_digest.h"
#include "load_test/job_ledger.h"
#include "load_test/simulated_worker.h"
#include "scheduling/scheduler.h"

namespace magpie::bench {

struct ChurnOptions {
  std::uint32_t machines = 850;
  std::uint32_t tasks_per_machine = 25;  // mean number of running tasks
  double starts_per_s = 100;
  std::uint32_t tasks_per_job = 50;
  Seconds heartbeat_interval{3};
  Seconds write_latency{0.01};
  double writes_per_s = 1e9;  // limit of page puts and deletions
  Seconds planning_interval{0.25};
  Seconds warm_up_time{60};
  Seconds measured_time{60};
  testing::DecisionDigest* decisions = nullptr;  // records the leader's decisions, if set
};

// Measurements of one kind of step.
struct StepCost {
  std::uint64_t calls = 0;
  double seconds = 0;      // CPU time
  double max_seconds = 0;  // of a single call
  std::uint64_t bytes = 0;
};

struct ChurnResult {
  std::map<std::string, StepCost> steps;
  std::uint64_t tasks_started = 0;
  std::uint64_t tasks_ended = 0;
  double tasks_running = 0;  // at the end of the run
  std::uint64_t transactions = 0;
  std::uint64_t written_keys = 0;  // put or deleted
  std::uint64_t page_puts = 0;
  std::uint64_t new_records = 0;
  std::uint64_t rewritten_records = 0;  // written unchanged, with their page
  std::uint64_t new_record_bytes = 0;
  std::uint64_t page_bytes = 0;       // written by all page puts
  std::size_t pages = 0;              // at the end of the run
  std::uint64_t stored_bytes = 0;     // record pages and job records at the end
  std::size_t jobs = 0;               // active at the end
  std::size_t waiting_machines = 0;   // with undelivered commands at the end
  double takeover_seconds = 0;        // CPU time to parse and load all records
  double median_start_latency_s = 0;  // virtual time from submission
  double p99_start_latency_s = 0;
};

class ChurnSimulation : public load_test::TaskObserver {
 public:
  explicit ChurnSimulation(const ChurnOptions& options);
  ChurnResult Run();

 private:
  struct WakeUp {
    Instant at;
    std::size_t worker = 0;
    bool operator>(const WakeUp& other) const { return at > other.at; }
  };
  struct PendingWrite {
    WriteBatch batch;
    Instant commits_at;
  };

  void OnTaskStarted(const MachineId&, const TaskId& task, Attempt, Instant now) override;
  void OnTaskEnded(const MachineId&, const TaskId&, Attempt, bool, Instant) override {
    ++result_.tasks_ended;
  }

  void StartCore();
  void SubmitDueJobs();
  void SendDueHeartbeats();
  void DeliverHeartbeat(std::size_t worker, const magpie::Heartbeat& heartbeat);
  void DeliverDirectCommandsAndProbes();
  void DeliverDirectCommand(const magpie::DirectCommand& direct_command);
  void RespondToCloudCalls();
  void CompleteDueWrite();
  void StartWrite();
  void CountWrite(const WriteBatch& batch);
  void Record(testing::DecisionKind kind, const std::string& receiver, std::string body);
  void ScheduleWakeUp(std::size_t worker);
  void MeasureTakeover();
  std::size_t WorkerIndex(const MachineId& machine) const;

  template <typename Step>
  auto Measure(const char* step, Step run);

  ChurnOptions options_;
  ChurnResult result_;
  std::unique_ptr<Scheduler> core_;
  load_test::JobLedger ledger_;
  std::vector<std::unique_ptr<load_test::SimulatedWorker>> workers_;
  std::vector<Instant> next_wake_up_;
  std::priority_queue<WakeUp, std::vector<WakeUp>, std::greater<>> wake_ups_;
  std::map<std::string, std::string> store_;  // JSON records by key
  std::optional<PendingWrite> pending_write_;
  std::map<JobId, Instant> submitted_at_;
  std::vector<double> start_latencies_;
  Instant now_{1000};
  std::uint64_t last_revision_ = 100;
  std::uint64_t submitted_jobs_ = 0;
  double due_tasks_ = 0;  // number of tasks to submit, with a fractional part
};

}  // namespace magpie::bench
