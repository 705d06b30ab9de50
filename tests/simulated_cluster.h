// Simulates complete controllers with one key-value store in virtual time and injects faults:
// - key-value store: refuses calls of one or all controllers, commits transactions late
// - controllers: one-way or two-way partitions, crashes, restarts, pauses
// - workers: receive nothing, send nothing, receive or send messages late
//
// Scenarios use the fixed order: StepOneSecond() and AdvanceSeconds() let every participant act
// once a second. The fault sweep uses the randomized schedule: after StartRandomizedSchedule(),
// Run() executes each controller loop, heartbeat and user request at its own random time, and calls
// of controllers interleave. The invariants are checked after each step or event.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decision_digest.h"
#include "fake_worker.h"
#include "job_builder.h"
#include "protocol/codec.h"
#include "random_draw.h"
#include "simulated_controller.h"

namespace magpie::testing {

// Defects of the cancellation broadcast, injected to show that the sweep detects them.
enum class BrokenBroadcast {
  kNone,
  kNotifiesNoPeer,                // acknowledges to the user once the cancellation is durable
  kNotifiesOnePeer,               // requires the acknowledgement of one peer only
  kAcknowledgesWithoutRecording,  // a peer acknowledges without recording the cancellation
};

// Controllers, machines, users and the key-value store. CheckInvariants() and CheckResponse() add
// the names of violated invariants to `violations`:
// - ran_twice: a task runs twice at the same time
// - quota: a team uses more than its limit
// - wrong_place: a task violates its job's zone constraints
// - ran_cancelled: a task still runs after the deadline of an acknowledged cancellation
// - went_back: a response is older than one that a user already received, or reports a cancellation
//   that was never requested
// - forgotten: an accepted job is reported as unknown or rejected as invalid
// - invented: a job that was never submitted, or must be rejected, is reported or accepted
// - not_done: a job is reported as done before all its tasks completed
// - rental_name_reused: a machine name is provisioned twice
// - endless: a loop does not terminate
class SimulatedCluster {
 public:
  explicit SimulatedCluster(BrokenBroadcast broken_broadcast = BrokenBroadcast::kNone,
                            int controller_count = 3, int worker_count = 4,
                            std::size_t page_bytes = 15UL * 1024);

  // A machine with its worker and network faults.
  struct Machine {
    Machine(const std::string& name, const std::string& type, const std::string& zone,
            bool spot = false)
        : worker(name, type, zone, spot) {}
    FakeWorker worker;
    std::size_t destination = 0;  // index of the controller that receives the next heartbeat
    Instant next_heartbeat;
    // Send time of the last accepted heartbeat, or the time of a later lease expiry or restart.
    Instant lease_renewed;
    Instant booted_at;
    bool receives_nothing = false;  // responses and commands are lost
    bool sends_nothing = false;     // heartbeats are lost; commands arrive
    bool partitioned = false;       // nothing is sent or received
    bool removed = false;           // failed or released
    bool lost_state = false;        // restarted without its sequence numbers and fencing token
    std::optional<Instant> died;    // time of failure; the cloud still lists the machine
    bool slow_heartbeats = false;   // delayed by up to three seconds in each direction
    std::optional<std::pair<Instant, std::string>> in_flight_heartbeat;
    int leases_lost = 0;
    std::deque<std::string> sent_heartbeats;  // most recent ones, oldest first
    bool awaiting_response = false;           // used in the randomized schedule only
    std::uint64_t generation = 0;     // increases with each heartbeat, lease expiry and restart
    std::string only_reachable_from;  // a controller label; empty: all
    bool CanReceive() const { return !removed && !receives_nothing && !partitioned; }
    bool IsReachableFrom(const std::string& controller) const {
      return only_reachable_from.empty() || only_reachable_from == controller;
    }
  };

  // ---- Controllers
  // Starts a new controller process without state of earlier ones.
  void StartController(const std::string& label);
  // Ends the process immediately, even during a call.
  void StopController(const std::string& label);
  bool IsUp(const std::string& label) const {
    return controllers.contains(label) && !IsPaused(label);
  }
  bool IsPaused(const std::string& label) const;
  // The label of the leader that has loaded its records; empty if there is none.
  std::string Leader() const;
  bool CanReach(const std::string& from, const std::string& to) const;

  // ---- Randomized schedule
  // Switches to the randomized schedule determined by `seed`.
  void StartRandomizedSchedule(std::uint64_t seed);
  void ScheduleAt(Instant when, std::function<void()> action);
  void ScheduleAfter(Seconds wait, std::function<void()> action) {
    ScheduleAt(now + wait, std::move(action));
  }
  // Runs `action` on a fiber so that it can wait.
  void Spawn(std::function<void()> action) { fibers_.AcquireIdle().Run(std::move(action)); }
  // Executes the actions scheduled within `length`.
  void Run(Seconds length);
  ~SimulatedCluster();
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // ---- Users
  // Functions that change job specifications (team, zone, constraints), by job ID.
  std::map<std::string, std::function<void(JobSpec&)>> job_overrides;
  JobSpec Spec(const std::string& job, std::uint32_t tasks) const;
  bool Submit(const std::string& job, std::uint32_t tasks, const std::string& via);
  // Latest state that users had received before a request; the response must not be older.
  struct UserView {
    bool accepted = false;
    bool cancelled = false;
    bool done = false;
  };
  UserView CurrentUserView(const std::string& job) const;
  // Checks a response against the users' view and returns its job state; empty if it has none.
  std::string CheckResponse(const std::string& job, const HttpResponse& response);
  std::string CheckResponse(const std::string& job, const UserView& known,
                            const HttpResponse& response);
  std::string Cancel(const std::string& job, const std::string& via);
  std::string Poll(const std::string& job, const std::string& via);

  // Requests in the randomized schedule, where other actions run while a request is in progress.
  void SendUserRequest(const std::string& via, const std::function<HttpResponse(JobApi&)>& send,
                       const std::function<void(const HttpResponse&)>& on_response);
  void PollConcurrently(const std::string& job, const std::string& via);
  void CancelConcurrently(const std::string& job, const std::string& via);
  void SubmitConcurrently(const std::string& job, std::uint32_t tasks, const std::string& via);
  // Queries an unknown job (`kind` 0) or submits an invalid one (1 to 4); must be rejected.
  void SubmitInvalidConcurrently(int kind, const std::string& via);

  // ---- Decisions of the controllers
  // Records the controllers' decisions unless null.
  DecisionDigest* decisions = nullptr;
  static constexpr const char* kUser = "user";
  static constexpr const char* kKeyValueStore = "state";
  static constexpr const char* kCloud = "cloud";
  // Calls `make_body` only if decisions are recorded.
  template <typename MakeBody>
  void Record(DecisionKind kind, const std::string& sender, const std::string& receiver,
              MakeBody make_body) {
    if (decisions == nullptr) return;
    decisions->Add({kind, now, sender, receiver, make_body()});
  }
  // Delivers a heartbeat to a controller and returns the response.
  HttpResponse Heartbeat(const std::string& label, const std::string& body);

  // ---- Fixed order
  // Every participant acts once, then the invariants are checked.
  void StepOneSecond();
  void AdvanceSeconds(int seconds);

  Machine* Find(const MachineId& id);
  // Called when a task state or the preemption notice of a machine changed. In the randomized
  // schedule, the machine then sends its next heartbeat within about a second, unless it awaits a
  // response.
  void OnWorkerChanged(Machine& machine);
  std::size_t MachineCount() const;  // machines that are not removed
  // Delivers the direct command at `arrival`, whether or not its sender still exists. Nobody
  // receives its answer.
  void DeliverCommandAt(Instant arrival, const magpie::DirectCommand& direct_command);
  // Delivers a delayed direct command, also to a worker that has lost its token.
  void DeliverCommand(const magpie::DirectCommand& direct_command);
  std::size_t LiveTasks(const std::string& job) const;
  int LeasesLost() const;

  // Checks the invariants that concern tasks running on workers.
  void CheckInvariants();

  BrokenBroadcast broken_broadcast;
  std::size_t page_bytes;  // maximum size of a record page
  FakeStore store;
  Instant now{100};
  WallTime wall{1000};
  std::vector<std::string> labels;
  std::map<std::string, std::unique_ptr<SimulatedController>> controllers;
  std::map<std::string, Instant> paused_until;
  std::map<std::uint64_t, Instant> orphaned_leases;  // last renewal of leases of ended processes
  std::set<std::pair<std::string, std::string>> partitions;  // blocked (sender, receiver) pairs
  std::list<Machine> machines;
  std::map<std::string, std::uint32_t> jobs;  // accepted jobs with their task counts
  std::set<std::string> requested_cancellations;
  std::set<std::string> reported_done;
  std::map<std::string, Instant> acknowledged_cancellations;
  std::set<TaskId> completed;
  std::set<std::string> violations;
  std::list<std::pair<Instant, magpie::DirectCommand>> delayed_commands;
  std::deque<Instant> late_writes;  // commit times of delayed transactions
  // The time until which the next direct command is delayed; none: no delay.
  std::function<std::optional<Instant>()> delay_command = [] { return std::nullopt; };
  // The arrival time of a copy of the direct command that was just answered; none: no copy.
  std::function<std::optional<Instant>()> repeat_command = [] { return std::nullopt; };
  // The arrival time and controller of a duplicate of the current heartbeat; none: no duplicate.
  std::function<std::optional<std::pair<Instant, std::string>>()> repeat_heartbeat = [] {
    return std::nullopt;
  };
  // Arrival time, controller and body of each duplicate heartbeat.
  std::list<std::tuple<Instant, std::string, std::string>> repeated_heartbeats;
  // Given the number of stored heartbeats of a machine, returns the index of the one that a new
  // leader receives first; none: no stale heartbeat.
  std::function<std::optional<std::size_t>(std::size_t)> stale_first_heartbeat = [](std::size_t) {
    return std::nullopt;
  };
  // ---- Randomized schedule
  std::optional<SeededRandom> random;  // none: fixed order
  std::size_t event_count = 0;
  std::string violation_log;        // first task that ran twice at once, for failure messages
  std::size_t max_events = 200000;  // exceeding this violates "endless"
  std::function<InjectedFault(const std::string& label, bool write)> inject_fault;
  // Called when users first receive the response that a job is accepted, cancelled or done.
  std::function<void(const std::string& job)> on_job_state_changed;
  // Called before and after a new leader reads the records.
  std::function<void()> on_leader_loading;
  // Latency of a direct command or its response; less than the timeout.
  std::function<Seconds()> command_latency = [] { return Seconds{}; };
  // Jobs with their task counts, including submissions without a response.
  std::map<std::string, std::uint32_t> submitted;
  bool grants_provisioning = false;  // provisioned machines start within two seconds
  Seconds cancel_deadline = kTestCancelDeadline;
  double writes_per_s = 1e9;  // write rate limit of a leader
  int last_nonce = 0;
  int stale_batches = 0;  // write batches rejected due to stale record pages of the leader

  // Delivers a copy of an earlier heartbeat to a controller and discards the response.
  void RepeatHeartbeat(const std::string& body, const std::string& destination);

  // Schedules the worker's recurring actions in the randomized schedule.
  void ScheduleWorker(Machine& machine);

  // Adds a machine provisioned in the randomized schedule.
  MachineId AddProvisionedMachine(const std::string& name, const std::string& zone, bool spot);

 private:
  const JobSpec& SubmittedSpec(const std::string& job);

  void ScheduleLeaseExpiry();

  // In the randomized schedule: expires the worker's lease if it was not renewed in time, and sends
  // a heartbeat if the time of the next one is reached.
  void RunWorker(Machine& machine);

  void DeliverHeartbeat(Machine& machine, std::uint64_t generation, Instant sent,
                        const std::string& body);

  void OnHeartbeatResponse(Machine& machine, std::uint64_t generation, Instant sent,
                           const std::optional<HttpResponse>& response);

  static constexpr Seconds kHeartbeatTimeout{4};
  std::multimap<Instant, std::function<void()>> scheduled_;
  FiberPool fibers_;
  bool invariant_check_pending_ = false;
  std::map<std::string, JobSpec> submitted_specs_;

  // Delivers earlier heartbeats to a new leader (stale_first_heartbeat).
  void SendStaleHeartbeats();

  // Run ID of the last leader. The address of its object does not identify it, because a later
  // process may reuse the address.
  std::string last_leader_run_;

  void ExpireLeases();

  // The counterpart of RunWorker() in the fixed order, once a second.
  void StepWorker(Machine& machine);

  // Stores a heartbeat so that it can be sent again later, and may schedule a duplicate of it.
  void StoreSentHeartbeat(Machine& machine, const std::string& body);

  void SendHeartbeat(Machine& machine, Instant sent, const std::string& body);

  void TryNextController(Machine& machine);

  void ApplyHeartbeatResponse(Machine& machine, Instant sent, const HttpResponse& response);
};

}  // namespace magpie::testing
