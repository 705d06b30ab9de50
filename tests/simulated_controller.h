// Runs a controller process in virtual time: uses the components of the real controller, but runs
// its loops as fibers or steps, without threads and sockets.
#pragma once

#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cancellation/cancellation_broadcaster.h"
#include "cancellation/cancellation_registry.h"
#include "controller/heartbeat_handler.h"
#include "controller/job_api.h"
#include "election/leader_election.h"
#include "faulty_store.h"
#include "fiber.h"
#include "records/records.h"
#include "records/write_batch_committer.h"

namespace magpie::testing {

inline constexpr Seconds kTestLease{20};
inline constexpr Seconds kTestCancelDeadline{45};
inline constexpr Seconds kTestHeartbeatInterval{3};
inline constexpr Seconds kTestLeaderLease{4};
inline constexpr std::size_t kMaxTestMachines = 9;
inline constexpr double kBlueTeamCpuLimit = 8;  // limit of team "blue"

class SimulatedCluster;

// One controller process: the counterpart of controller/controller.h, without threads.
class SimulatedController {
 public:
  SimulatedController(SimulatedCluster& cluster, std::string label, const std::string& nonce);

  // Thrown by waiting calls when the process ends.
  struct ProcessEnded {};

  // Runs all loops once, in a fixed order.
  void Step();
  // Starts the loops as fibers in the randomized schedule.
  void StartLoops();
  // Suspends the running fiber in the randomized schedule. Throws ProcessEnded if the process ended
  // meanwhile.
  void Wait(Seconds length);
  // Ends the process and all its waiting calls.
  void End();
  // Whether a request or a loop is reading the jobs.
  bool is_reading_jobs() const { return serving_request || loading_cancellations_; }

  std::string label;
  const std::string run_id;  // unique to this process
  FaultyStore store;
  std::mutex mutex;
  LeaderElection election;
  Scheduler core;
  LeaderHealth leader_health{kTestHeartbeatInterval};
  JobApi api;
  CancellationRegistry cancellations;
  CancellationBroadcaster broadcaster;
  HeartbeatHandler heartbeat_handler;
  bool serving_request = false;  // one user request at a time reads the jobs

 private:
  void ScheduleRepeatedly(void (SimulatedController::*step)(), double min_gap, double max_gap);
  void WaitForRetry();
  void StepElection();
  void LoadCancellations();
  void RunScheduler();
  bool LoadRecords();
  bool ReadRecords(const records::Leadership& expected);
  void StartCore();
  void WatchJobs();
  void WriteBatches();
  void SendDirectCommands();
  void SendProbes();
  void Send(magpie::DirectCommand direct_command);
  void CallCloud();

  SimulatedCluster& cluster_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
  std::list<Fiber*> waiting_fibers_;
  bool ended_ = false;
  bool loading_cancellations_ = false;
  WriteBatchCommitter writer_;
  std::optional<records::Leadership> leadership_;
  std::optional<records::Leadership> relinquished_leadership_;
  std::optional<records::Leadership> write_leadership_;
  std::string leader_;
  Revision epoch_;
  Revision watched_revision_;
  Instant last_store_contact_;
  bool store_unreachable_ = false;
};

// Settings and machine types of all simulated controllers.
Scheduler::Options SimulatedSchedulerOptions();
std::vector<MachineType> SimulatedMachineTypes();

}  // namespace magpie::testing
