// The recorder of a load test's events and the statistics that it computes.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "load_test/checker.h"
#include "load_test/history.h"
#include "load_test/latency.h"
#include "load_test/simulated_worker.h"

namespace magpie::load_test {

// Records the events of users and workers, passes them to the checker, and computes statistics.
// Thread-safe.
class Recorder : public TaskObserver {
 public:
  explicit Recorder(Checker::Options options);

  template <typename Payload>
  void Record(Payload payload) {
    std::lock_guard lock(mutex_);
    ProcessEvent({CurrentTime(), std::move(payload)});
  }
  void OnTaskStarted(const MachineId& machine, const TaskId& task, Attempt attempt,
                     Instant now) override;
  void OnTaskEnded(const MachineId& machine, const TaskId& task, Attempt attempt, bool completed,
                   Instant now) override;
  // Adds the time from a user's first submission attempt to the acceptance of the job.
  void RecordAcceptance(Seconds took);
  // Drops the latencies recorded so far.
  void BeginMeasuring();
  // Makes first_start_since return the time of the first task start at or after `from`, once there
  // is one. Used to measure how soon tasks start under a new leader.
  void ResetFirstStart(Instant from);
  std::optional<Instant> first_start_since();

  std::uint64_t started();
  std::uint64_t completed();
  std::size_t on_machines();
  void Finish();

  struct Statistics {
    // Latencies from the first submission of a job to the first start of each of its tasks.
    nlohmann::json start_by_class;
    nlohmann::json start;
    nlohmann::json accept;
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::map<std::string, std::uint64_t> violation_counts;  // by rule
    std::vector<std::string> violations;
  };
  Statistics statistics();

 private:
  struct JobTimes {
    Instant submitted;
    std::string job_class;
    std::vector<bool> started;
  };

  static Instant CurrentTime();
  void ProcessEvent(const Event& event);
  void CountSubmission(const JobSubmitted& event, Instant at);
  void CountStart(const TaskStarted& event, Instant at);

  std::mutex mutex_;
  Checker checker_;
  std::unordered_map<std::string, JobTimes> jobs_;
  std::map<std::string, Latency> start_latency_by_class_;
  Latency start_latency_;
  Latency accept_latency_;
  std::uint64_t started_ = 0;
  std::uint64_t completed_ = 0;
  std::size_t tasks_on_machines_ = 0;
  bool measuring_ = true;
  std::optional<Instant> first_start_from_;
  std::optional<Instant> first_start_;
};

}  // namespace magpie::load_test
