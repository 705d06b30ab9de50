// The worker's side of the protocol as a state machine (PROTOCOL, "Workers -> controller nodes"
// and "Controller nodes -> workers"). It does no I/O: it returns effects for the agent to carry
// out, and the agent reports their results through the On... functions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/resources.h"
#include "model/time.h"
#include "model/worker_messages.h"

namespace magpie::agent {

// The part of a job's specification that a worker needs to run its tasks.
struct JobDescription {
  Resources per_task;
  std::string image;
  double image_gb = 0;
  Seconds checkpoint_interval;  // 0: tasks never save their progress
  Seconds save_duration;        // time to save a task's progress
};

// How a task's process ended.
enum class Outcome : std::uint8_t { kDone, kSaved, kKilled, kFailed };

// An action that the agent carries out. Effects on the same task must be carried out in order.
struct Effect {
  enum class Kind : std::uint8_t {
    kReadDescription,  // read the job's description, then call OnDescription
    kFetch,            // fetch the image, then call OnImage
    kCancelFetch,      // cancel the fetch of the image: no task waits for it any more
    kEvictImage,       // delete the image from the cache
    kStart,            // start the process; call OnExit once the process has exited
    kSave,             // make the process save its progress and exit, then call OnExit
    kKill,             // kill the process, then call OnExit
    kDiscardTaskData,  // delete the data of an ended task, except its result
  } kind = Kind::kReadDescription;
  TaskId task;
  Attempt attempt;
  std::string image;
};

// The result of sending a heartbeat.
struct Answer {
  enum class Kind : std::uint8_t {
    kOk,          // status 200
    kRedirected,  // status 421
    kFailed,      // any other status, no response within kResponseTimeout, or no connection
  } kind = Kind::kFailed;
  std::optional<FencingToken> token;
  std::optional<std::string> destination;  // the controller named in the 421 response
  std::vector<Command> commands;
};

// The response to a direct command: status 200, 400 or 409, and the worker's heartbeat.
struct DirectCommandReply {
  int status = 200;
  Heartbeat heartbeat;
};

// Not thread-safe. `now` must come from a clock that also runs while the machine is suspended.
class Worker {
 public:
  struct Options {
    MachineId machine;
    std::string addr;
    std::string type;
    std::string zone;
    bool spot = false;
    Resources capacity;
    double cache_gb = 0;  // size of the image cache
    Seconds heartbeat_interval{3};
    Seconds lease{30};
    std::vector<std::string> nodes;  // names of the controllers; not empty
  };
  // State that the agent's journal keeps across restarts. The numbers never decrease.
  struct DurableState {
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    FencingToken token;
    std::set<TaskId> done;  // completed tasks; their results are kept
  };
  static constexpr Seconds kResponseTimeout{4};  // maximum wait for the response to a heartbeat

  // `random` returns numbers from 0 to 1, used for jitter.
  Worker(Options options, DurableState state, std::function<double()> random, Instant now);

  // --- heartbeats
  struct Outgoing {
    std::string node;
    Heartbeat heartbeat;
  };
  // The heartbeat to send now; nullopt: it is not yet time for one, or one is in flight.
  std::optional<Outgoing> NextHeartbeat(Instant now);
  void OnAnswer(const Answer& answer, Instant now);
  // The time by which NextHeartbeat or CheckLease must be called again.
  Instant NextWakeup() const;

  // --- direct commands
  DirectCommandReply OnDirectCommand(std::optional<FencingToken> token,
                                     std::optional<std::uint64_t> agent_epoch,
                                     const std::vector<Command>& commands, Instant now);
  Heartbeat Inspect();

  // --- the machine
  // Kills all tasks and starts a new agent epoch if the lease has expired.
  void CheckLease(Instant now);
  // `remaining`: time until the cloud preempts the machine; nullopt: there is no preemption notice.
  void OnPreemptionNotice(std::optional<Seconds> remaining);
  // `description` is nullopt if the job does not exist.
  void OnDescription(const JobId& job, const std::optional<JobDescription>& description);
  void OnImage(const std::string& image, bool fetched);
  void OnExit(const TaskId& task, Attempt attempt, Outcome outcome);
  // Returns the effects added since the last call.
  std::vector<Effect> TakeEffects() { return std::exchange(effects_, {}); }

  std::uint64_t agent_epoch() const { return state_.agent_epoch; }
  FencingToken token() const { return state_.token; }

 private:
  enum class RunState : std::uint8_t {
    kAwaitingDescription,
    kFetching,
    kRunning,
    kSaving,
    kTerminating,  // the process was killed, but its exit is not yet confirmed
    kEnded,
  };
  // One attempt of a task on this machine.
  struct TaskRun {
    RunState state = RunState::kAwaitingDescription;
    bool save_requested = false;  // a stop command requested a save
    ExitReason reason = ExitReason::kNone;
    bool saved = false;
    JobDescription description;
  };
  struct AttemptKey {
    TaskId task;
    Attempt attempt;
    auto operator<=>(const AttemptKey&) const = default;
  };
  using TaskRuns = std::map<AttemptKey, TaskRun>;
  struct Image {
    bool cached = false;
    double gb = 0;
    std::uint64_t last_use = 0;  // image_uses_ at the last request for the image
  };
  // Time and destination of the next heartbeat, and state of the last one.
  struct HeartbeatSchedule {
    std::size_t node = 0;  // index into Options::nodes
    bool changed = true;
    bool in_flight = false;
    std::uint64_t sent_agent_epoch = 0;
    Instant sent{};
    Instant due{};         // time of the next heartbeat if nothing changes
    Instant not_before{};  // earliest time of the next heartbeat, even after a change
    std::optional<Instant> token_reported{};  // when a higher token last triggered a heartbeat
  };

  static TaskState ReportedState(const TaskRun& run);
  Heartbeat MakeHeartbeat();
  void Execute(const std::vector<Command>& commands);
  void StartTask(const Command& command);
  void StopTask(const Command& command);
  void ForgetTask(const Command& command);
  void ObserveToken(FencingToken token, Instant now);
  void FollowRedirect(const std::optional<std::string>& destination, Instant now);
  void TryNextController(Instant now);
  void AddEffect(Effect::Kind kind, const AttemptKey& key);
  void AddImageEffect(Effect::Kind kind, const std::string& image);
  void EndTask(TaskRun& run, ExitReason reason, bool saved = false);
  void StartProcess(const AttemptKey& key, TaskRun& run);
  void RequestImage(const JobDescription& description);
  void CancelUnusedFetch(const std::string& image);
  void EvictImages();
  bool IsImageInUse(const std::string& image) const;
  bool HasCapacityFor(const Resources& per_task) const;
  void MarkChanged() { schedule_.changed = true; }
  void ExpireLease(Instant now);

  Options options_;
  std::function<double()> random_;
  DurableState state_;
  std::optional<Seconds> preemption_notice_;
  TaskRuns runs_;
  TaskRuns terminating_;  // runs of earlier agent epochs; their processes may still be alive
  std::map<std::string, Image> images_;
  std::uint64_t image_uses_ = 0;
  std::vector<Effect> effects_;
  HeartbeatSchedule schedule_;
  Instant lease_start_;
};

}  // namespace magpie::agent
