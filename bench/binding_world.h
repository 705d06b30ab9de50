// A leader's core under a steady churn of tasks, in virtual time and in one thread: hollow
// workers report, jobs arrive, plans are made and pages written, each with the wire's JSON
// as controllers make it. Processor time is measured for each kind of step; latencies of
// the state service and the order of events are virtual, so counts repeat.
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
  std::uint32_t tasks_each = 25;  // that a machine runs in the mean
  double starts = 100;            // tasks a second
  std::uint32_t array = 50;       // tasks of a job
  Seconds heartbeat_interval{3};
  Seconds write_latency{0.01};
  double writes_per_s = 1e9;  // puts and drops that the leader may use
  Seconds tick{0.25};         // between two plans
  Seconds warm_up{60};
  Seconds measured{60};
  testing::DecisionDigest* decisions = nullptr;  // records what the leader sends
};

// What one kind of step took.
struct StepCost {
  std::uint64_t calls = 0;
  double seconds = 0;
  double worst = 0;  // of one call
  std::uint64_t bytes = 0;
};

struct ChurnResult {
  std::map<std::string, StepCost> steps;
  std::uint64_t started = 0;
  std::uint64_t ended = 0;
  double running = 0;  // at the end
  std::uint64_t transactions = 0;
  std::uint64_t changes = 0;  // puts and drops
  std::uint64_t page_puts = 0;
  std::uint64_t records = 0;         // that were new
  std::uint64_t rewritten = 0;       // written again though nothing had changed
  std::uint64_t record_bytes = 0;    // of the new records alone
  std::uint64_t page_bytes = 0;      // written
  std::size_t pages = 0;             // at the end
  std::uint64_t stored_bytes = 0;    // pages and jobs at the end
  std::size_t jobs = 0;              // that live at the end
  std::size_t waiting_machines = 0;  // for commands, at the end
  double takeover_seconds = 0;       // to parse and load all that
  double start_median = 0;           // from submission, virtual
  double start_99 = 0;
};

class ChurnWorld : public load_test::TaskObserver {
 public:
  explicit ChurnWorld(const ChurnOptions& options);
  ChurnResult Run();

 private:
  struct Wake {
    Instant at;
    std::size_t worker = 0;
    bool operator>(const Wake& other) const { return at > other.at; }
  };
  struct OpenWrite {
    WriteBatch plan;
    Instant done;
  };

  void OnTaskStarted(const MachineId&, const TaskId& task, Attempt, Instant now) override;
  void OnTaskEnded(const MachineId&, const TaskId&, Attempt, bool, Instant) override {
    ++result_.ended;
  }

  void Lead();
  void SubmitDue();
  void ReportDue();
  void Heartbeat(std::size_t worker, const magpie::Heartbeat& heartbeat);
  void PushAll();
  void DirectCommand(const magpie::DirectCommand& direct_command);
  void CallCloud();
  void WriteDue();
  void SendWrite();
  void Count(const WriteBatch& plan);
  void Record(testing::DecisionKind kind, const std::string& receiver, std::string body);
  void Schedule(std::size_t worker);
  void TakeOver();
  std::size_t IndexOf(const MachineId& machine) const;

  template <typename Step>
  auto Measure(const char* step, Step run);

  ChurnOptions options_;
  ChurnResult result_;
  std::unique_ptr<Scheduler> core_;
  load_test::JobLedger ledger_;
  std::vector<std::unique_ptr<load_test::SimulatedWorker>> workers_;
  std::vector<Instant> wake_at_;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes_;
  std::map<std::string, std::string> store_;  // the records: key and JSON
  std::optional<OpenWrite> write_;
  std::map<JobId, Instant> submitted_;
  std::vector<double> waits_;
  Instant now_{1000};
  std::uint64_t stamp_ = 100;
  std::uint64_t jobs_ = 0;
  double due_ = 0;  // tasks that are due to be submitted
};

}  // namespace magpie::bench
