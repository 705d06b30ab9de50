#include "load_test/recorder.h"

#include "load_test/event_loop.h"

namespace magpie::load_test {

Recorder::Recorder(Checker::Options options) : checker_(std::move(options)) {}

Instant Recorder::CurrentTime() { return EventLoop::Now(); }

void Recorder::OnTaskStarted(const MachineId& machine, const TaskId& task, Attempt, Instant) {
  Record(TaskStarted{machine, task});
}

void Recorder::OnTaskEnded(const MachineId& machine, const TaskId& task, Attempt, bool completed,
                           Instant) {
  Record(TaskEnded{machine, task, completed});
}

void Recorder::ProcessEvent(const Event& event) {
  if (const auto* submitted = std::get_if<JobSubmitted>(&event.payload))
    CountSubmission(*submitted, event.at);
  if (const auto* started = std::get_if<TaskStarted>(&event.payload))
    CountStart(*started, event.at);
  if (const auto* ended = std::get_if<TaskEnded>(&event.payload)) {
    completed_ += ended->completed ? 1 : 0;
    --tasks_on_machines_;
  }
  checker_.Observe(event);
}

void Recorder::CountSubmission(const JobSubmitted& event, Instant at) {
  jobs_[event.spec.id.value] = {at, event.spec.job_class, std::vector<bool>(event.spec.tasks)};
}

void Recorder::CountStart(const TaskStarted& event, Instant at) {
  ++tasks_on_machines_;
  ++started_;
  if (first_start_from_ && !first_start_ && at >= *first_start_from_) first_start_ = at;
  const auto job = jobs_.find(event.task.job.value);
  if (job == jobs_.end() || event.task.index >= job->second.started.size()) return;
  if (job->second.started[event.task.index]) return;  // only the first attempt counts
  job->second.started[event.task.index] = true;
  if (!measuring_) return;
  const Seconds took = at - job->second.submitted;
  start_latency_.Add(took);
  start_latency_by_class_[job->second.job_class].Add(took);
}

void Recorder::RecordAcceptance(Seconds took) {
  std::lock_guard lock(mutex_);
  if (measuring_) accept_latency_.Add(took);
}

void Recorder::BeginMeasuring() {
  std::lock_guard lock(mutex_);
  start_latency_ = {};
  start_latency_by_class_.clear();
  accept_latency_ = {};
}

void Recorder::ResetFirstStart(Instant from) {
  std::lock_guard lock(mutex_);
  first_start_from_ = from;
  first_start_.reset();
}

std::optional<Instant> Recorder::first_start_since() {
  std::lock_guard lock(mutex_);
  return first_start_;
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
  return tasks_on_machines_;
}

void Recorder::Finish() {
  std::lock_guard lock(mutex_);
  checker_.Finish(CurrentTime());
}

Recorder::Statistics Recorder::statistics() {
  std::lock_guard lock(mutex_);
  Statistics statistics;
  statistics.start_by_class = nlohmann::json::object();
  for (const auto& [name, latency] : start_latency_by_class_)
    statistics.start_by_class[name] = latency.ToJson();
  statistics.start = start_latency_.ToJson();
  statistics.accept = accept_latency_.ToJson();
  statistics.started = started_;
  statistics.completed = completed_;
  for (const auto& [rule, count] : checker_.violation_counts())
    statistics.violation_counts[RuleName(rule)] = count;
  for (const Violation& violation : checker_.violations())
    statistics.violations.push_back(std::string(RuleName(violation.rule)) + ": " + violation.text);
  return statistics;
}

}  // namespace magpie::load_test
