#include "agent/worker.h"

#include <algorithm>
#include <utility>

namespace magpie::agent {
namespace {
constexpr Seconds kMinHeartbeatGap{0.5};    // minimum time between two heartbeats
constexpr Seconds kNextControllerDelay{1};  // wait before trying another controller
constexpr Seconds kMaxRedirectDelay{0.5};   // maximum wait before following a redirect
constexpr double kHeartbeatJitter = 0.25;   // maximum deviation, as a fraction of the interval
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
}  // namespace

Worker::Worker(Options options, DurableState state, std::function<double()> random, Instant now)
    : options_(std::move(options)),
      random_(std::move(random)),
      state_(std::move(state)),
      schedule_{.due = now, .not_before = now},
      lease_start_(now) {
  ++state_.agent_epoch;  // tasks started before a restart belong to an earlier agent epoch
}

// The state of a run as reported in heartbeats.
TaskState Worker::ReportedState(const TaskRun& run) {
  switch (run.state) {
    case RunState::kAwaitingDescription:
    case RunState::kFetching:
      return TaskState::kFetching;
    case RunState::kRunning:
      return TaskState::kRunning;
    case RunState::kSaving:
      return TaskState::kSaving;
    case RunState::kTerminating:
      return run.save_requested ? TaskState::kSaving : TaskState::kRunning;
    case RunState::kEnded:
      return TaskState::kEnded;
  }
  return TaskState::kFetching;
}

Heartbeat Worker::MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.machine = options_.machine;
  heartbeat.addr = options_.addr;
  heartbeat.type = options_.type;
  heartbeat.zone = options_.zone;
  heartbeat.spot = options_.spot;
  heartbeat.agent_epoch = state_.agent_epoch;
  heartbeat.sequence = ++state_.sequence;
  heartbeat.token = state_.token;
  heartbeat.preemption_notice = preemption_notice_;
  for (const auto& [key, run] : runs_)
    heartbeat.tasks.push_back({key.task, key.attempt, ReportedState(run), run.reason, run.saved});
  return heartbeat;
}

std::optional<Worker::Outgoing> Worker::NextHeartbeat(Instant now) {
  CheckLease(now);
  if (schedule_.in_flight || now < schedule_.not_before ||
      (now < schedule_.due && !schedule_.changed))
    return std::nullopt;
  schedule_.in_flight = true;
  schedule_.changed = false;
  schedule_.sent = now;
  schedule_.sent_agent_epoch = state_.agent_epoch;
  schedule_.not_before = now + kMinHeartbeatGap;
  schedule_.due =
      now + (1 - kHeartbeatJitter + 2 * kHeartbeatJitter * random_()) * options_.heartbeat_interval;
  return Outgoing{options_.nodes[schedule_.node], MakeHeartbeat()};
}

Instant Worker::NextWakeup() const {
  const Instant lease = lease_start_ + options_.lease;
  if (schedule_.in_flight) return lease;
  return std::min(lease, schedule_.changed ? schedule_.not_before
                                           : std::max(schedule_.not_before, schedule_.due));
}

void Worker::OnAnswer(const Answer& answer, Instant now) {
  CheckLease(now);
  schedule_.in_flight = false;
  if (answer.kind == Answer::Kind::kFailed) {
    TryNextController(now);
    return;
  }
  if (answer.kind == Answer::Kind::kRedirected) {
    FollowRedirect(answer.destination, now);
    return;
  }
  // A response is dropped if the heartbeat was of an earlier agent epoch, or if the response has no
  // token or one lower than the highest that the worker has seen. The worker keeps using this
  // controller, and its lease is not renewed.
  if (schedule_.sent_agent_epoch != state_.agent_epoch || !answer.token ||
      *answer.token < state_.token)
    return;
  ObserveToken(*answer.token, now);
  lease_start_ = schedule_.sent;
  Execute(answer.commands);
}

void Worker::FollowRedirect(const std::optional<std::string>& destination, Instant now) {
  const auto& nodes = options_.nodes;
  const auto found =
      destination ? std::find(nodes.begin(), nodes.end(), *destination) : nodes.end();
  const auto node = static_cast<std::size_t>(found - nodes.begin());
  if (node == nodes.size() || node == schedule_.node) {
    TryNextController(now);
    return;
  }
  schedule_.node = node;
  schedule_.due = now + random_() * kMaxRedirectDelay;
  schedule_.not_before = std::max(schedule_.not_before, schedule_.due);
}

void Worker::TryNextController(Instant now) {
  schedule_.node = (schedule_.node + 1) % options_.nodes.size();
  schedule_.due = now + kNextControllerDelay;
  schedule_.not_before = schedule_.due;
}

void Worker::ObserveToken(FencingToken token, Instant now) {
  if (token <= state_.token) return;
  state_.token = token;
  // A higher token triggers a heartbeat at most once per half lease: otherwise controllers that
  // compete for the leadership would make all workers send heartbeats continuously.
  if (schedule_.token_reported && now - *schedule_.token_reported < 0.5 * options_.lease) return;
  schedule_.token_reported = now;
  MarkChanged();
}

DirectCommandReply Worker::OnDirectCommand(std::optional<FencingToken> token,
                                           std::optional<std::uint64_t> agent_epoch,
                                           const std::vector<Command>& commands, Instant now) {
  CheckLease(now);
  if (!token || !agent_epoch) return {kBadRequest, MakeHeartbeat()};
  if (*token < state_.token || *agent_epoch != state_.agent_epoch)
    return {kConflict, MakeHeartbeat()};
  ObserveToken(*token, now);
  Execute(commands);
  return {kOk, MakeHeartbeat()};
}

Heartbeat Worker::Inspect() { return MakeHeartbeat(); }

void Worker::CheckLease(Instant now) {
  if (now - lease_start_ > options_.lease) ExpireLease(now);
}

// Kills all tasks and removes them from the heartbeats. Their resources and task ids remain in use
// until the processes have exited.
void Worker::ExpireLease(Instant now) {
  for (auto& [key, run] : runs_) {
    if (run.state == RunState::kRunning || run.state == RunState::kSaving)
      AddEffect(Effect::Kind::kKill, key);
    if (run.state == RunState::kRunning || run.state == RunState::kSaving ||
        run.state == RunState::kTerminating)
      terminating_.emplace(key, run);
  }
  const TaskRuns expired = std::exchange(runs_, {});
  for (const auto& [key, run] : expired)
    if (run.state == RunState::kFetching) CancelUnusedFetch(run.description.image);
  ++state_.agent_epoch;
  lease_start_ = now;
  MarkChanged();
}

void Worker::OnPreemptionNotice(std::optional<Seconds> remaining) {
  if (remaining.has_value() != preemption_notice_.has_value()) MarkChanged();
  preemption_notice_ = remaining;
}

void Worker::Execute(const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    if (command.kind == CommandKind::kRun) StartTask(command);
    if (command.kind == CommandKind::kStop) StopTask(command);
    if (command.kind == CommandKind::kForget) ForgetTask(command);
  }
}

void Worker::StartTask(const Command& command) {
  const AttemptKey key{command.task, command.attempt};
  if (runs_.contains(key)) return;  // a repeated command changes nothing, whatever the state
  const auto occupies_task = [&](const auto& entry) {
    const bool rejected = entry.second.reason == ExitReason::kInsufficientCapacity ||
                          entry.second.reason == ExitReason::kBusy ||
                          entry.second.reason == ExitReason::kUnknown;
    return entry.first.task == command.task && !rejected;
  };
  const bool busy = std::any_of(runs_.begin(), runs_.end(), occupies_task) ||
                    std::any_of(terminating_.begin(), terminating_.end(), occupies_task);
  TaskRun& run = runs_[key];
  MarkChanged();
  if (busy) {
    EndTask(run, ExitReason::kBusy);
    return;
  }
  AddEffect(Effect::Kind::kReadDescription, key);
}

void Worker::OnDescription(const JobId& job, const std::optional<JobDescription>& description) {
  for (auto& [key, run] : runs_) {
    if (key.task.job != job || run.state != RunState::kAwaitingDescription) continue;
    MarkChanged();
    if (!description) {
      EndTask(run, ExitReason::kUnknown);
    } else if (!HasCapacityFor(description->per_task)) {
      EndTask(run, ExitReason::kInsufficientCapacity);
    } else {
      run.description = *description;
      run.state = RunState::kFetching;
      RequestImage(run.description);
      if (images_[run.description.image].cached) StartProcess(key, run);
    }
  }
}

bool Worker::HasCapacityFor(const Resources& per_task) const {
  Resources available = options_.capacity;
  for (const auto* runs : {&runs_, &terminating_})
    for (const auto& [key, run] : *runs)
      if (run.state != RunState::kEnded) available -= run.description.per_task;
  return per_task.Fits(available);
}

// All tasks that wait for the same image share one fetch.
void Worker::RequestImage(const JobDescription& description) {
  const auto [it, inserted] = images_.try_emplace(description.image);
  it->second.last_use = ++image_uses_;
  if (!inserted) return;
  if (description.image.empty()) {  // the job needs no image
    it->second.cached = true;
    return;
  }
  it->second.gb = description.image_gb;
  EvictImages();
  AddImageEffect(Effect::Kind::kFetch, description.image);
}

bool Worker::IsImageInUse(const std::string& image) const {
  const auto uses_image = [&](const auto& entry) {
    return entry.second.description.image == image && entry.second.state != RunState::kEnded &&
           entry.second.state != RunState::kAwaitingDescription;
  };
  return std::any_of(runs_.begin(), runs_.end(), uses_image) ||
         std::any_of(terminating_.begin(), terminating_.end(), uses_image);
}

// Evicts the least recently used images that no task uses. If all images are in use, the cache
// exceeds its size: a task that fits the machine is not rejected because the cache is full.
void Worker::EvictImages() {
  double total_gb = 0;
  for (const auto& [name, image] : images_) total_gb += image.gb;
  while (total_gb > options_.cache_gb) {
    auto oldest = images_.end();
    for (auto it = images_.begin(); it != images_.end(); ++it)
      if (it->second.cached && !IsImageInUse(it->first) &&
          (oldest == images_.end() || it->second.last_use < oldest->second.last_use))
        oldest = it;
    if (oldest == images_.end()) return;
    total_gb -= oldest->second.gb;
    AddImageEffect(Effect::Kind::kEvictImage, oldest->first);
    images_.erase(oldest);
  }
}

void Worker::CancelUnusedFetch(const std::string& image) {
  const auto it = images_.find(image);
  if (it == images_.end() || it->second.cached || IsImageInUse(image)) return;
  AddImageEffect(Effect::Kind::kCancelFetch, image);
  images_.erase(it);
}

void Worker::OnImage(const std::string& image, bool fetched) {
  const auto it = images_.find(image);
  if (it == images_.end() || it->second.cached) return;  // the fetch was cancelled
  if (fetched)
    it->second.cached = true;
  else
    images_.erase(it);
  for (auto& [key, run] : runs_) {
    if (run.state != RunState::kFetching || run.description.image != image) continue;
    if (fetched)
      StartProcess(key, run);
    else
      EndTask(run, ExitReason::kError);
  }
}

void Worker::StartProcess(const AttemptKey& key, TaskRun& run) {
  if (state_.done.contains(key.task)) {  // the task has already completed
    EndTask(run, ExitReason::kDone);
    return;
  }
  run.state = RunState::kRunning;
  AddEffect(Effect::Kind::kStart, key);
  MarkChanged();
}

void Worker::StopTask(const Command& command) {
  const auto it = runs_.find({command.task, command.attempt});
  if (it == runs_.end()) return;
  TaskRun& run = it->second;
  switch (run.state) {
    case RunState::kAwaitingDescription:
      EndTask(run, ExitReason::kStopped);
      break;
    case RunState::kFetching:
      EndTask(run, ExitReason::kStopped);
      CancelUnusedFetch(run.description.image);
      break;
    case RunState::kRunning:
      if (run.description.checkpoint_interval.value > 0 &&
          command.termination_grace_period >= run.description.save_duration) {
        run.state = RunState::kSaving;
        run.save_requested = true;
        AddEffect(Effect::Kind::kSave, it->first);
        MarkChanged();
        break;
      }
      run.state = RunState::kTerminating;
      AddEffect(Effect::Kind::kKill, it->first);
      break;
    case RunState::kSaving:
      if (command.termination_grace_period.value > 0) break;
      run.state = RunState::kTerminating;
      AddEffect(Effect::Kind::kKill, it->first);
      break;
    case RunState::kTerminating:
    case RunState::kEnded:
      break;
  }
}

void Worker::ForgetTask(const Command& command) {
  const auto it = runs_.find({command.task, command.attempt});
  if (it == runs_.end() || it->second.state != RunState::kEnded) return;
  AddEffect(Effect::Kind::kDiscardTaskData, it->first);
  runs_.erase(it);
  MarkChanged();
}

// Must be called only once the process has exited, because the task may then start on another
// machine.
void Worker::OnExit(const TaskId& task, Attempt attempt, Outcome outcome) {
  if (outcome == Outcome::kDone) state_.done.insert(task);
  const AttemptKey key{task, attempt};
  if (terminating_.erase(key) > 0) return;
  const auto it = runs_.find(key);
  if (it == runs_.end()) return;
  TaskRun& run = it->second;
  if (run.state != RunState::kRunning && run.state != RunState::kSaving &&
      run.state != RunState::kTerminating)
    return;
  const bool stop_commanded = run.state != RunState::kRunning;
  switch (outcome) {
    case Outcome::kDone:  // the result exists, even after a stop command
      EndTask(run, ExitReason::kDone);
      break;
    case Outcome::kSaved:
      EndTask(run, stop_commanded ? ExitReason::kStopped : ExitReason::kError, stop_commanded);
      break;
    case Outcome::kKilled:
    case Outcome::kFailed:
      EndTask(run, stop_commanded ? ExitReason::kStopped : ExitReason::kError);
      break;
  }
}

void Worker::EndTask(TaskRun& run, ExitReason reason, bool saved) {
  run.state = RunState::kEnded;
  run.reason = reason;
  run.saved = saved;
  MarkChanged();
}

void Worker::AddEffect(Effect::Kind kind, const AttemptKey& key) {
  effects_.push_back({kind, key.task, key.attempt, {}});
}

// The effect is filled in place because g++ 12 warns that a braced temporary may be uninitialized.
void Worker::AddImageEffect(Effect::Kind kind, const std::string& image) {
  Effect& effect = effects_.emplace_back();
  effect.kind = kind;
  effect.image = image;
}

}  // namespace magpie::agent
