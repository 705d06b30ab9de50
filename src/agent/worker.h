// The worker's side of the protocol as a state machine (PROTOCOL, "Workers -> controller nodes"
// and "Controller nodes -> workers"). It does no input or output: it asks for effects and is told
// how they ended.
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

// What a worker must know of a job to run its tasks.
struct JobDescription {
  Resources per_task;
  std::string image;
  double image_gb = 0;
  Seconds checkpoint;  // 0: none
  Seconds save;        // what saving takes
};

// How a task's process ended.
enum class Outcome : std::uint8_t { kDone, kSaved, kKilled, kFailed };

// Something for the agent to do. Effects on the same task must be carried out in order.
struct Effect {
  enum class Kind : std::uint8_t {
    kReadDescription,  // read the job's description; OnDescription
    kFetch,            // fetch the image; OnImage
    kCancelFetch,      // stop fetching the image: no task waits for it
    kEvictImage,       // the cache has no room for it
    kStart,            // start the process; OnExit when it is certainly dead
    kSave,             // have it save and exit; OnExit
    kKill,             // end it at once; OnExit
    kDiscardTaskData,  // what is kept of an exited task may go, but for its result
  } kind = Kind::kReadDescription;
  TaskId task;
  Attempt attempt;
  std::string image;
};

// How a heartbeat was answered.
struct Answer {
  enum class Kind : std::uint8_t {
    kOk,
    kRedirected,  // 421
    kFailed,      // any other status, nothing within kAnswerTimeout, no connection
  } kind = Kind::kFailed;
  std::optional<FencingToken> token;
  std::optional<std::string> destination;  // the node that a 421 named
  std::vector<Command> commands;
};

// The answer to a direct command: 200, 409 or 400, and the worker's heartbeat.
struct DirectCommandReply {
  int status = 200;
  Heartbeat heartbeat;
};

// Not thread-safe. Times are those of a clock that also runs while the machine is suspended.
class Worker {
 public:
  struct Options {
    MachineId machine;
    std::string addr;
    std::string type;
    std::string zone;
    bool spot = false;
    Resources capacity;   // what the machine has
    double cache_gb = 0;  // for images
    Seconds heartbeat_interval{3};
    Seconds lease{30};
    std::vector<std::string> nodes;  // names of the controllers; at least one
  };
  // What must survive a restart, as the agent's journal keeps it. The numbers never decrease.
  struct DurableState {
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    FencingToken token;
    std::set<TaskId> done;  // tasks whose results are kept
  };
  static constexpr Seconds kAnswerTimeout{4};  // of a heartbeat

  // `random` returns numbers from 0 to 1, for the jitter.
  Worker(Options options, DurableState state, std::function<double()> random, Instant now);

  // --- heartbeats
  struct Outgoing {
    std::string node;
    Heartbeat heartbeat;
  };
  // The heartbeat that is due; nullopt: none is, or one is in flight.
  std::optional<Outgoing> NextHeartbeat(Instant now);
  void OnAnswer(const Answer& answer, Instant now);
  // When NextHeartbeat or CheckLease should be called next, at the latest.
  Instant NextWakeup() const;

  // --- direct commands
  DirectCommandReply OnDirectCommand(std::optional<FencingToken> token,
                                     std::optional<std::uint64_t> agent_epoch,
                                     const std::vector<Command>& commands, Instant now);
  Heartbeat Inspect();

  // --- the machine
  // Kills all tasks and starts a new session if the lease has expired.
  void CheckLease(Instant now);
  // `remaining`: until the cloud takes the machine back; nullopt: there is no notice.
  void OnPreemptionNotice(std::optional<Seconds> remaining);
  // `description` is nullopt if there is no such job.
  void OnDescription(const JobId& job, const std::optional<JobDescription>& description);
  void OnImage(const std::string& image, bool fetched);
  void OnExit(const TaskId& task, Attempt attempt, Outcome outcome);
  // The effects asked for since the last call.
  std::vector<Effect> TakeEffects() { return std::exchange(effects_, {}); }

  std::uint64_t agent_epoch() const { return state_.agent_epoch; }
  FencingToken token() const { return state_.token; }

 private:
  enum class RunState : std::uint8_t {
    kAwaitingDescription,
    kFetching,
    kRunning,
    kSaving,
    kEnding,  // killed, but not yet known to be dead
    kEnded,
  };
  // An attempt of a task on this machine.
  struct TaskRun {
    RunState state = RunState::kAwaitingDescription;
    bool save_requested = false;  // before it was killed
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
    std::uint64_t last_use = 0;  // value of image_uses_ when it was last requested
  };
  // When the next heartbeat goes out and where to, and what the last one was.
  struct Reporting {
    std::size_t node = 0;  // index into Options::nodes
    bool changed = true;
    bool in_flight = false;
    std::uint64_t sent_agent_epoch = 0;
    Instant sent{};
    Instant due{};                            // of the next heartbeat if nothing changes
    Instant not_before{};                     // even if something does
    std::optional<Instant> token_reported{};  // when a higher token last counted as a change
  };

  static TaskState ReportedState(const TaskRun& run);
  Heartbeat MakeHeartbeat();
  void Execute(const std::vector<Command>& commands);
  void StartTask(const Command& command);
  void StopTask(const Command& command);
  void ForgetTask(const Command& command);
  void ObserveToken(FencingToken token, Instant now);
  void FollowRedirect(const std::optional<std::string>& destination, Instant now);
  void TryNextNode(Instant now);
  void AddEffect(Effect::Kind kind, const AttemptKey& key);
  void AddImageEffect(Effect::Kind kind, const std::string& image);
  void EndTask(TaskRun& run, ExitReason reason, bool saved = false);
  void StartProcess(const AttemptKey& key, TaskRun& run);
  void RequestImage(const JobDescription& description);
  void CancelUnusedFetch(const std::string& image);
  void EvictImages();
  bool IsImageInUse(const std::string& image) const;
  bool HasCapacityFor(const Resources& per_task) const;
  void MarkChanged() { reporting_.changed = true; }
  void ExpireLease(Instant now);

  Options options_;
  std::function<double()> random_;
  DurableState state_;
  std::optional<Seconds> preemption_notice_;
  TaskRuns runs_;
  TaskRuns dying_;  // of earlier sessions, until they are certainly dead
  std::map<std::string, Image> images_;
  std::uint64_t image_uses_ = 0;
  std::vector<Effect> effects_;
  Reporting reporting_;
  Instant lease_start_;
};

}  // namespace magpie::agent
