// Whole controllers around one key-value store, in virtual time, with injected faults: a store
// that refuses one controller or all or commits transactions late, partitions between controllers
// in either direction, controllers that crash, restart or pause, workers with leases that receive
// nothing, send nothing or whose messages are delayed.
//
// A scenario advances the time by whole seconds, StepOneSecond() and AdvanceSeconds(): all act once
// a second, in a fixed order. The sweep draws the order: after StartDrawnTime() each loop of each
// controller, each heartbeat and each user's request happens at its own drawn instant (Run()), and
// a controller's call can be in the middle of something while others act. The invariants are
// checked after each event.
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

// Defects of the cancellation broadcast that a test can choose, to show that the sweep finds them.
enum class BrokenBroadcast {
  kNone,
  kNotifiesNoPeer,              // users are answered as soon as the cancellation is durable
  kNotifiesOnePeer,         // one of the other controllers suffices
  kAcknowledgesWithoutRecording,  // a peer acknowledges without recording the cancellation
};

// Controllers, machines, users and the key-value store, with the faults injected into them and the
// invariants that must hold all the same. A violated invariant is added to `violations` by name:
// ran_twice, quota, wrong_place, ran_cancelled, went_back, forgotten, invented, not_done,
// rental_name_reused and endless (a loop that does not end).
class SimulatedCluster {
 public:
  explicit SimulatedCluster(BrokenBroadcast broken_broadcast = BrokenBroadcast::kNone,
                            int controller_count = 3, int worker_count = 4,
                            std::size_t page_bytes = 15UL * 1024);

  // A machine with its worker, and what is wrong with its network.
  struct Machine {
    Machine(const std::string& name, const std::string& type, const std::string& zone,
            bool spot = false)
        : worker(name, type, zone, spot) {}
    FakeWorker worker;
    std::size_t destination = 0;  // the controller that gets its next heartbeat
    Instant next_heartbeat;
    Instant lease_renewed;  // when the last answered heartbeat was sent
    Instant booted_at;
    bool receives_nothing = false;  // neither responses nor commands
    bool sends_nothing = false;     // its heartbeats are lost; commands arrive
    bool partitioned = false;       // both
    bool removed = false;           // died or was released
    bool lost_state = false;        // restarted without sequence numbers and token
    std::optional<Instant> died;    // it stays in the cloud's list
    bool slow_heartbeats = false;   // they take up to three seconds each way
    std::optional<std::pair<Instant, std::string>> in_flight_heartbeat;
    int leases_lost = 0;
    std::deque<std::string> sent_heartbeats;  // the latest ones
    bool awaiting_response = false;           // drawn time alone
    std::uint64_t generation = 0;             // of its agent epoch and its run
    std::string only_reachable_from;          // empty: from all controllers
    bool CanReceive() const { return !removed && !receives_nothing && !partitioned; }
    bool IsReachableFrom(const std::string& controller) const {
      return only_reachable_from.empty() || only_reachable_from == controller;
    }
  };

  // ---- Controllers
  // A new run of the controller's process, which knows nothing of its former runs.
  void StartController(const std::string& label);
  // Ends the process at once, also in the middle of a call.
  void StopController(const std::string& label);
  bool IsUp(const std::string& label) const {
    return controllers.contains(label) && !IsPaused(label);
  }
  bool IsPaused(const std::string& label) const;
  // The label of the controller that leads and has loaded its records; empty: none.
  std::string Leader() const;
  bool CanReach(const std::string& from, const std::string& to) const;

  // ---- Drawn time
  // From now on everything happens at instants drawn from `seed`.
  void StartRandomizedSchedule(std::uint64_t seed);
  void ScheduleAt(Instant when, std::function<void()> action);
  void ScheduleAfter(Seconds wait, std::function<void()> action) {
    ScheduleAt(now + wait, std::move(action));
  }
  // Runs `act` on a fiber, so that it may wait.
  void Spawn(std::function<void()> action) { fibers_.AcquireIdle().Run(std::move(action)); }
  // Carries out what is scheduled within `length`.
  void Run(Seconds length);
  ~SimulatedCluster();
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // ---- Users
  // Changes to the specification of a job, by id: its team, its zone, its constraints.
  std::map<std::string, std::function<void(JobSpec&)>> job_overrides;
  JobSpec Spec(const std::string& job, std::uint32_t tasks) const;
  bool Submit(const std::string& job, std::uint32_t tasks, const std::string& via);
  // What users were told of a job by the time of a request: its answer may not be older.
  struct UserView {
    bool accepted = false;
    bool cancelled = false;
    bool done = false;
  };
  UserView CurrentUserView(const std::string& job) const;
  // The state in an answer to a user, checked against the users' view; empty: there is none.
  std::string CheckAnswer(const std::string& job, const HttpResponse& response);
  std::string CheckAnswer(const std::string& job, const UserView& known,
                          const HttpResponse& response);
  std::string Cancel(const std::string& job, const std::string& via);
  std::string Poll(const std::string& job, const std::string& via);

  // The same in drawn time: others act while the request is in progress.
  void SendUserRequest(const std::string& via, const std::function<HttpResponse(JobApi&)>& send,
               const std::function<void(const HttpResponse&)>& on_response);
  void PollConcurrently(const std::string& job, const std::string& via);
  void CancelConcurrently(const std::string& job, const std::string& via);
  void SubmitConcurrently(const std::string& job, std::uint32_t tasks, const std::string& via);
  // A job that is unknown, malformed or can never run (by `kind`, 0 to 4): it must be refused.
  void SubmitInvalidConcurrently(int kind, const std::string& via);

  // ---- Decisions of the controllers
  // Where everything that controllers send is recorded; null: nowhere.
  DecisionDigest* decisions = nullptr;
  static constexpr const char* kUser = "user";
  static constexpr const char* kKeyValueStore = "state";
  static constexpr const char* kCloud = "cloud";
  // `make_body` is called only if there is a digest.
  template <typename MakeBody>
  void Record(DecisionKind kind, const std::string& sender, const std::string& receiver,
              MakeBody make_body) {
    if (decisions == nullptr) return;
    decisions->Add({kind, now, sender, receiver, make_body()});
  }
  // Delivers a heartbeat to a controller; its answer.
  HttpResponse Heartbeat(const std::string& label, const std::string& body);

  // ---- Fixed order
  // Everybody acts once, then the invariants are checked.
  void StepOneSecond();
  void AdvanceSeconds(int seconds);

  Machine* Find(const MachineId& id);
  // A machine has something to report: in drawn time its next heartbeat comes soon.
  void OnWorkerChanged(Machine& machine);
  std::size_t MachineCount() const;  // without those that were removed
  // A direct command that was delayed. A worker that lost its fencing token takes none until it has
  // seen one again: nothing fences these, as design.md says ("Quick restarts").
  void DeliverCommand(const magpie::DirectCommand& direct_command);
  std::size_t LiveTasks(const std::string& job) const;
  int LeasesLost() const;

  // Checks the invariants by the tasks that run on the workers.
  void CheckInvariants();

  BrokenBroadcast broken_broadcast;
  std::size_t page_bytes;  // that a page of records may take
  FakeStore store;
  Instant now{100};
  WallTime wall{1000};
  std::vector<std::string> labels;
  std::map<std::string, std::unique_ptr<SimulatedController>> controllers;
  std::map<std::string, Instant> paused_until;
  std::map<std::uint64_t, Instant> orphaned_leases;          // of runs that ended, when renewed
  std::set<std::pair<std::string, std::string>> partitions;  // from one controller to another
  std::list<Machine> machines;
  std::map<std::string, std::uint32_t> jobs;  // accepted ones, and their tasks
  std::set<std::string> requested_cancellations;
  std::set<std::string> reported_done;
  std::map<std::string, Instant> acknowledged_cancellations;
  std::set<TaskId> completed;
  std::set<std::string> violations;
  std::list<std::pair<Instant, magpie::DirectCommand>> delayed_commands;
  std::deque<Instant> late_writes;  // when transactions that were held back commit
  // Whether the next direct command is delayed, and until when.
  std::function<std::optional<Instant>()> delay_command = [] { return std::nullopt; };
  // Whether a copy of this heartbeat arrives once more, when and at which controller.
  std::function<std::optional<std::pair<Instant, std::string>>()> repeat_heartbeat = [] {
    return std::nullopt;
  };
  std::list<std::tuple<Instant, std::string, std::string>>
      repeated_heartbeats;  // when, at which controller, body
  // Which of so many earlier heartbeats of a machine a new leader receives first; none: the
  // machine's own next one.
  std::function<std::optional<std::size_t>(std::size_t)> stale_first_heartbeat = [](std::size_t) {
    return std::nullopt;
  };
  // ---- Drawn time
  std::optional<SeededRandom> random;  // none: the fixed order
  std::size_t event_count = 0;
  std::string violation_log;        // when a task first ran twice, for failure messages
  std::size_t max_events = 200000;  // of a whole run: more is "endless"
  std::function<InjectedFault(const std::string& label, bool write)> inject_fault;
  std::function<void(const std::string& job)> on_job_state_changed;  // accepted, cancelled or done
  std::function<void()> on_leader_loading;  // just before and after it reads the records
  // How long a direct command, or its answer, takes; less than the timeout.
  std::function<Seconds()> command_latency = [] { return Seconds{}; };
  std::map<std::string, std::uint32_t> submitted;  // whether or not it was answered
  bool grants_provisioning = false;                     // rentals are granted, and up within two seconds
  Seconds cancel_deadline = kTestCancelDeadline;
  double writes_per_s = 1e9;  // of a leader
  int last_nonce = 0;
  int stale_batches = 0;  // how often a leader's view of its pages was wrong

  // A copy of an earlier heartbeat arrives at a controller; its answer is lost.
  void RepeatHeartbeat(const std::string& body, const std::string& at);

  // Has a worker act in drawn time, again and again.
  void ScheduleWorker(Machine& machine);

  // Adds a machine that was rented in drawn time.
  MachineId AddProvisionedMachine(const std::string& name, const std::string& zone, bool spot);

 private:
  const JobSpec& SubmittedSpec(const std::string& job);

  void ScheduleLeaseExpiry();

  // In drawn time: ends the worker's lease or sends its heartbeat, whichever is due.
  void RunWorker(Machine& machine);

  void DeliverHeartbeat(Machine& machine, std::uint64_t generation, Instant sent,
                        const std::string& body);

  void OnHeartbeatAnswered(Machine& machine, std::uint64_t generation, Instant sent,
                           const std::optional<HttpResponse>& response);

  static constexpr Seconds kHeartbeatTimeout{4};
  std::multimap<Instant, std::function<void()>> scheduled_;
  FiberPool fibers_;
  bool invariants_stale_ = false;
  std::map<std::string, JobSpec> submitted_specs_;

  // A leader that just began receives earlier heartbeats (stale_first_heartbeat).
  void SendStaleHeartbeats();

  // The run that last led. Not its address: a later run may be allocated there.
  std::string last_leader_run_;

  void ExpireLeases();

  // The same in the fixed order, once a second.
  void StepWorker(Machine& machine);

  // Keeps a heartbeat for later copies.
  void RememberHeartbeat(Machine& machine, const std::string& body);

  void SendHeartbeat(Machine& machine, Instant sent, const std::string& body);

  void TryNextController(Machine& machine);

  void ApplyHeartbeatResponse(Machine& machine, Instant sent, const HttpResponse& response);
};

}  // namespace magpie::testing
