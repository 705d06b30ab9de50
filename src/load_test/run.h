// The execution of a load test from its setup to its results.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "load_test/cloud_server.h"
#include "load_test/controller_group.h"
#include "load_test/event_loop.h"
#include "load_test/fault_schedule.h"
#include "load_test/leadership_log.h"
#include "load_test/recorder.h"
#include "load_test/results.h"
#include "load_test/scenario.h"
#include "load_test/state_server.h"
#include "load_test/users.h"
#include "load_test/worker_pool.h"

namespace magpie::load_test {

// Thrown if the run cannot start, with a one-line reason for the operator.
class RunSetupError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Called periodically with the finished fraction of the run, 0 to 1, and a status text.
using Progress = std::function<void(double, const std::string&)>;

// One load test: controller processes, and simulated services, workers and users in this process.
// Owns all of them and their threads. Not thread-safe; Execute may be called only once.
class Run {
 public:
  // Settings and logs are written to `folder`.
  Run(Scenario scenario, std::string scenario_file, std::filesystem::path folder,
      Progress progress);
  // Kills the controllers, then stops all threads.
  ~Run();
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  // Runs the scenario to its end and returns the content of the result file. Throws RunSetupError.
  nlohmann::json Execute();

 private:
  // ---- Setup (run_setup.cc)
  void SetUpServices();
  void SetUpControllers();
  ControllerPlan PlanController(std::uint32_t index);
  std::string PropertiesFile() const;
  void AddController(const std::vector<ControllerPlan>& plans, std::size_t index,
                     const std::string& properties);
  void SetUpWorkers();
  void SetUpUsers();
  void PlaceMachines();
  void StartThreads();
  void StartControllers();
  void AwaitHealth();
  bool IsHealthy(const ControllerPlan& controller);

  // ---- Execution and measurement (run.cc)
  void ExecuteUntil(Instant end, double progress_from, double progress_to);
  void MeasureControllers();
  Sample TakeSample();
  Measurements Measure(const Sample& begin, const Sample& end);

  Scenario scenario_;
  std::string scenario_file_;
  std::filesystem::path folder_;
  Progress progress_;

  JobLedger jobs_;
  Recorder recorder_;
  LeadershipLog leadership_;
  WorkerContext worker_context_;
  std::vector<std::unique_ptr<Traffic>> user_traffic_;
  EventLoop services_loop_;
  EventLoop users_loop_;
  std::unique_ptr<WorkerPool> workers_;
  std::unique_ptr<Cloud> cloud_;
  std::unique_ptr<CloudServer> cloud_server_;
  std::unique_ptr<StateServer> state_;
  std::unique_ptr<Users> users_;
  std::thread services_thread_;
  std::thread users_thread_;
  std::vector<std::unique_ptr<ReservedPort>> ports_;
  ControllerGroup controllers_;
  std::unique_ptr<FaultSchedule> faults_;
};

}  // namespace magpie::load_test
