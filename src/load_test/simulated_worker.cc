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
      core_(
          std::move(options.agent), std::move(options.memory),
          [this] { return std::uniform_real_distribution<double>(0, 1)(random_); }, now) {}

std::optional<agent::Worker::Outgoing> SimulatedWorker::NextHeartbeat(Instant now) {
  Advance(now);
  return core_.NextHeartbeat(now);
}

void SimulatedWorker::OnAnswer(const agent::Answer& answer, Instant now) {
  core_.OnAnswer(answer, now);
  CarryOut(now);
}

agent::DirectCommandReply SimulatedWorker::OnDirectCommand(std::optional<FencingToken> token,
                                                           std::optional<std::uint64_t> agent_epoch,
                                                           const std::vector<Command>& commands,
                                                           Instant now) {
  Advance(now);
  agent::DirectCommandReply answer = core_.OnDirectCommand(token, agent_epoch, commands, now);
  CarryOut(now);
  return answer;
}

Heartbeat SimulatedWorker::Inspect(Instant now) {
  Advance(now);
  return core_.Inspect();
}

void SimulatedWorker::Advance(Instant now) {
  core_.CheckLease(now);
  CarryOut(now);
  EndDueFetches(now);
  EndDueProcesses(now);
  CarryOut(now);
}

Instant SimulatedWorker::Wake() const {
  Instant wake = core_.NextWakeup();
  for (const auto& [image, at] : fetches_) wake = std::min(wake, at);
  for (const auto& [key, process] : processes_) wake = std::min(wake, process.ends);
  return wake;
}

void SimulatedWorker::Perish(Instant now) {
  for (const auto& [key, process] : processes_)
    observer_.OnTaskLeft(machine_, key.first, key.second, false, now);
  processes_.clear();
  fetches_.clear();
}

// Effects can cause further effects: a task whose image is cached starts immediately.
void SimulatedWorker::CarryOut(Instant now) {
  for (auto effects = core_.TakeEffects(); !effects.empty(); effects = core_.TakeEffects())
    for (const agent::Effect& effect : effects) CarryOut(effect, now);
}

void SimulatedWorker::CarryOut(const agent::Effect& effect, Instant now) {
  const ProcessKey key{effect.task, effect.attempt};
  switch (effect.kind) {
    case agent::Effect::Kind::kReadDescription:
      Describe(effect.task);
      break;
    case agent::Effect::Kind::kFetch:
      Fetch(effect, now);
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
      break;  // nothing is stored
  }
}

void SimulatedWorker::Describe(const TaskId& task) {
  const std::optional<SubmittedJob> job = jobs_.Find(task.job);
  if (!job || task.index >= job->spec.tasks) {
    core_.OnDescription(task.job, std::nullopt);
    return;
  }
  image_sizes_[job->spec.image] = job->spec.image_gb;
  core_.OnDescription(task.job, DescriptionOf(job->spec));
}

void SimulatedWorker::Fetch(const agent::Effect& effect, Instant now) {
  fetches_[effect.image] = now + Seconds{image_sizes_[effect.image] / fetch_gb_per_s_};
}

void SimulatedWorker::StartProcess(const ProcessKey& key, Instant now) {
  const std::optional<SubmittedJob> job = jobs_.Find(key.first.job);
  const bool ends = job && job->run_time.value > 0;
  processes_[key] = {ends ? now + RunTimeOf(*job, key.first.index) : kNever, agent::Outcome::kDone};
  observer_.OnTaskBegan(machine_, key.first, key.second, now);
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
    observer_.OnTaskLeft(machine_, key.first, key.second, completed, now);
  core_.OnExit(key.first, key.second, outcome);
}

void SimulatedWorker::EndDueFetches(Instant now) {
  std::vector<std::string> due;
  for (const auto& [image, at] : fetches_)
    if (at <= now) due.push_back(image);
  for (const std::string& image : due) {
    fetches_.erase(image);
    core_.OnImage(image, true);
  }
}

void SimulatedWorker::EndDueProcesses(Instant now) {
  std::vector<std::pair<ProcessKey, agent::Outcome>> due;
  for (const auto& [key, process] : processes_)
    if (process.ends <= now) due.emplace_back(key, process.outcome);
  for (const auto& [key, outcome] : due) EndProcess(key, outcome, now);
}

}  // namespace magpie::load_test
