#include "load_test/recorder.h"

#include "load_test/event_loop.h"

namespace magpie::load_test {

Recorder::Recorder(Checker::Options options) : checker_(std::move(options)) {}

Instant Recorder::Clock() { return EventLoop::Now(); }

void Recorder::OnTaskBegan(const MachineId& machine, const TaskId& task, Attempt, Instant) {
  Record(TaskBegan{machine, task});
}

void Recorder::OnTaskLeft(const MachineId& machine, const TaskId& task, Attempt, bool completed,
                          Instant) {
  Record(TaskLeft{machine, task, completed});
}

void Recorder::Take(const Event& event) {
  if (const auto* submitted = std::get_if<JobSubmitted>(&event.what))
    CountSubmission(*submitted, event.at);
  if (const auto* began = std::get_if<TaskBegan>(&event.what)) CountStart(*began, event.at);
  if (const auto* left = std::get_if<TaskLeft>(&event.what)) {
    completed_ += left->completed ? 1 : 0;
    --on_machines_;
  }
  checker_.Observe(event);
}

void Recorder::CountSubmission(const JobSubmitted& event, Instant at) {
  jobs_[event.spec.id.value] = {at, event.spec.job_class, std::vector<bool>(event.spec.tasks)};
}

void Recorder::CountStart(const TaskBegan& event, Instant at) {
  ++on_machines_;
  ++started_;
  if (awaited_from_ && !awaited_ && at >= *awaited_from_) awaited_ = at;
  const auto job = jobs_.find(event.task.job.value);
  if (job == jobs_.end() || event.task.index >= job->second.started.size()) return;
  if (job->second.started[event.task.index]) return;  // a later attempt
  job->second.started[event.task.index] = true;
  if (!measuring_) return;
  const Seconds took = at - job->second.submitted;
  start_.Add(took);
  start_by_class_[job->second.job_class].Add(took);
}

void Recorder::NoteAccepted(Seconds took) {
  std::lock_guard lock(mutex_);
  if (measuring_) accept_.Add(took);
}

void Recorder::BeginMeasuring() {
  std::lock_guard lock(mutex_);
  start_ = {};
  start_by_class_.clear();
  accept_ = {};
}

void Recorder::AwaitStart(Instant from) {
  std::lock_guard lock(mutex_);
  awaited_from_ = from;
  awaited_.reset();
}

std::optional<Instant> Recorder::first_start_since() {
  std::lock_guard lock(mutex_);
  return awaited_;
}

std::uint64_t Recorder::started() {
  std::lock_guard lock(mutex_);
  return started_;
}

std::uint64_t Recorder::completed() {
  std::lock_guard lock(mutex_);
  return completed_;
}

std::size_t Recorder::on_machines() {
  std::lock_guard lock(mutex_);
  return on_machines_;
}

void Recorder::Finish() {
  std::lock_guard lock(mutex_);
  checker_.Finish(Clock());
}

Recorder::Figures Recorder::figures() {
  std::lock_guard lock(mutex_);
  Figures figures;
  figures.start_by_class = nlohmann::json::object();
  for (const auto& [name, latency] : start_by_class_)
    figures.start_by_class[name] = latency.ToJson();
  figures.start = start_.ToJson();
  figures.accept = accept_.ToJson();
  figures.started = started_;
  figures.completed = completed_;
  for (const auto& [rule, count] : checker_.violation_counts())
    figures.violation_counts[NameOf(rule)] = count;
  for (const Violation& violation : checker_.violations())
    figures.violations.push_back(std::string(NameOf(violation.rule)) + ": " + violation.text);
  return figures;
}

}  // namespace magpie::load_test
