#include "load_test/simulated_worker.h"

#include <algorithm>
#include <limits>

namespace magpie::load_test {
namespace {
constexpr Instant kNever{std::numeric_limits<double>::infinity()};
}

SimulatedWorker::SimulatedWorker(Options options, const JobLedger& jobs, TaskObserver& observer,
                                 Instant now)
    : machine_(options.agent.machine),
      fetch_gb_per_s_(options.fetch_gb_per_s),
      jobs_(jobs),
      observer_(observer),
      random_(static_cast<std::minstd_rand::result_type>(options.seed * 7919 + 1)),
      agent_(
          std::move(options.agent), std::move(options.durable_state),
          [this] { return std::uniform_real_distribution<double>(0, 1)(random_); }, now) {}

std::optional<agent::Worker::Outgoing> SimulatedWorker::NextHeartbeat(Instant now) {
  Advance(now);
  return agent_.NextHeartbeat(now);
}

void SimulatedWorker::OnAnswer(const agent::Answer& answer, Instant now) {
  agent_.OnAnswer(answer, now);
  ApplyEffects(now);
}

agent::DirectCommandReply SimulatedWorker::OnDirectCommand(std::optional<FencingToken> token,
                                                           std::optional<std::uint64_t> agent_epoch,
                                                           const std::vector<Command>& commands,
                                                           Instant now) {
  Advance(now);
  agent::DirectCommandReply answer = agent_.OnDirectCommand(token, agent_epoch, commands, now);
  ApplyEffects(now);
  return answer;
}

Heartbeat SimulatedWorker::Inspect(Instant now) {
  Advance(now);
  return agent_.Inspect();
}

void SimulatedWorker::Advance(Instant now) {
  agent_.CheckLease(now);
  ApplyEffects(now);
  EndFinishedFetches(now);
  EndFinishedProcesses(now);
  ApplyEffects(now);
}

Instant SimulatedWorker::NextWakeup() const {
  Instant wake = agent_.NextWakeup();
  for (const auto& [image, at] : fetches_) wake = std::min(wake, at);
  for (const auto& [key, process] : processes_) wake = std::min(wake, process.ends);
  return wake;
}

void SimulatedWorker::PowerOff(Instant now) {
  for (const auto& [key, process] : processes_)
    observer_.OnTaskEnded(machine_, key.first, key.second, false, now);
  processes_.clear();
  fetches_.clear();
}

// Applying an effect can create further effects: a task whose image is cached starts immediately.
void SimulatedWorker::ApplyEffects(Instant now) {
  for (auto effects = agent_.TakeEffects(); !effects.empty(); effects = agent_.TakeEffects())
    for (const agent::Effect& effect : effects) ApplyEffects(effect, now);
}

void SimulatedWorker::ApplyEffects(const agent::Effect& effect, Instant now) {
  const ProcessKey key{effect.task, effect.attempt};
  switch (effect.kind) {
    case agent::Effect::Kind::kReadDescription:
      ReadDescription(effect.task);
      break;
    case agent::Effect::Kind::kFetch:
      StartFetch(effect, now);
      break;
    case agent::Effect::Kind::kCancelFetch:
      fetches_.erase(effect.image);
      break;
    case agent::Effect::Kind::kStart:
      StartProcess(key, now);
      break;
    case agent::Effect::Kind::kSave:
      SaveProcess(key, now);
      break;
    case agent::Effect::Kind::kKill:
      EndProcess(key, agent::Outcome::kKilled, now);
      break;
    case agent::Effect::Kind::kEvictImage:
    case agent::Effect::Kind::kDiscardTaskData:
      break;  // images and task data are not stored
  }
}

void SimulatedWorker::ReadDescription(const TaskId& task) {
  const std::optional<SubmittedJob> job = jobs_.Find(task.job);
  if (!job || task.index >= job->spec.tasks) {
    agent_.OnDescription(task.job, std::nullopt);
    return;
  }
  image_sizes_[job->spec.image] = job->spec.image_gb;
  agent_.OnDescription(task.job, DescriptionOf(job->spec));
}

void SimulatedWorker::StartFetch(const agent::Effect& effect, Instant now) {
  fetches_[effect.image] = now + Seconds{image_sizes_[effect.image] / fetch_gb_per_s_};
}

void SimulatedWorker::StartProcess(const ProcessKey& key, Instant now) {
  const std::optional<SubmittedJob> job = jobs_.Find(key.first.job);
  const bool ends = job && job->run_time.value > 0;
  processes_[key] = {ends ? now + RunTimeOf(*job, key.first.index) : kNever, agent::Outcome::kDone};
  observer_.OnTaskStarted(machine_, key.first, key.second, now);
}

void SimulatedWorker::SaveProcess(const ProcessKey& key, Instant now) {
  const auto it = processes_.find(key);
  if (it == processes_.end()) return;
  const std::optional<SubmittedJob> job = jobs_.Find(key.first.job);
  const Instant saved = now + (job ? job->spec.save_duration : Seconds{});
  if (it->second.ends <= saved) return;  // the task completes before it is saved
  it->second = {saved, agent::Outcome::kSaved};
}

void SimulatedWorker::EndProcess(const ProcessKey& key, agent::Outcome outcome, Instant now) {
  const bool completed = outcome == agent::Outcome::kDone;
  if (processes_.erase(key) > 0)
    observer_.OnTaskEnded(machine_, key.first, key.second, completed, now);
  agent_.OnExit(key.first, key.second, outcome);
}

void SimulatedWorker::EndFinishedFetches(Instant now) {
  std::vector<std::string> finished;
  for (const auto& [image, at] : fetches_)
    if (at <= now) finished.push_back(image);
  for (const std::string& image : finished) {
    fetches_.erase(image);
    agent_.OnImage(image, true);
  }
}

void SimulatedWorker::EndFinishedProcesses(Instant now) {
  std::vector<std::pair<ProcessKey, agent::Outcome>> finished;
  for (const auto& [key, process] : processes_)
    if (process.ends <= now) finished.emplace_back(key, process.outcome);
  for (const auto& [key, outcome] : finished) EndProcess(key, outcome, now);
}

}  // namespace magpie::load_test
