#include "load_test/checker.h"

#include <algorithm>
#include <cmath>

#include "protocol/codec.h"

namespace magpie::load_test {
namespace {

constexpr std::uint64_t kMaxReportedPerRule = 5;
constexpr double kRoundingTolerance = 1e-6;  // of summed floating-point resources

std::string TaskIdText(const TaskId& task) { return protocol::TaskIdToText(task); }

}  // namespace

const char* RuleName(Rule rule) {
  switch (rule) {
    case Rule::kRanTwice:
      return "ran_twice";
    case Rule::kQuota:
      return "quota";
    case Rule::kWrongPlace:
      return "wrong_place";
    case Rule::kRanCancelled:
      return "ran_cancelled";
    case Rule::kForgotten:
      return "forgotten";
    case Rule::kInvented:
      return "invented";
    case Rule::kNotDone:
      return "not_done";
    case Rule::kWentBack:
      return "went_back";
    case Rule::kNothingRan:
      return "nothing_ran";
  }
  return "";
}

Checker::Checker(Options options) : options_(std::move(options)) {
  for (const Team& team : options_.teams) teams_[team.name] = team;
}

void Checker::AddViolation(Rule rule, Instant at, std::string text) {
  if (++violation_counts_[rule] <= kMaxReportedPerRule)
    violations_.push_back({rule, at, std::move(text)});
}

void Checker::Observe(const Event& event) {
  std::visit([&](const auto& payload) { On(payload, event.at); }, event.payload);
}

void Checker::On(const MachineBooted& event, Instant) {
  machines_[event.machine.value] = {event.type, event.zone, event.spot};
}

void Checker::On(const JobSubmitted& event, Instant) {
  Job& job = jobs_[event.spec.id.value];
  job.spec = event.spec;
  job.completed.resize(event.spec.tasks);
}

void Checker::On(const CancelRequested& event, Instant at) {
  const auto found = jobs_.find(event.job.value);
  if (found != jobs_.end() && !found->second.cancel_requested) found->second.cancel_requested = at;
}

void Checker::On(const TaskStarted& event, Instant at) {
  ++starts_;
  const auto found = jobs_.find(event.task.job.value);
  if (found == jobs_.end()) {
    AddViolation(Rule::kInvented, at, TaskIdText(event.task) + " starts but was never submitted");
    return;
  }
  Job& job = found->second;
  const Machine& machine = machines_[event.machine.value];
  std::vector<Place>& places = job.places[event.task.index];
  if (!places.empty())
    AddViolation(Rule::kRanTwice, at,
                 TaskIdText(event.task) + " starts on " + event.machine.value + " and is on " +
                     places.front().machine.value);
  CheckPlacement(job, event.task, machine, at);
  CheckCancelled(job, event.task, "starts", at);
  places.push_back({event.machine, machine.zone});
  ++job.tasks_by_zone[machine.zone];
  usage_[job.spec.team] += job.spec.per_task;
  CheckQuota(job.spec, at);
}

void Checker::On(const TaskEnded& event, Instant at) {
  const auto found = jobs_.find(event.task.job.value);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  const auto places = job.places.find(event.task.index);
  if (places == job.places.end()) return;
  const auto place = std::find_if(places->second.begin(), places->second.end(),
                                  [&](const Place& p) { return p.machine == event.machine; });
  if (place == places->second.end()) return;
  CheckCancelled(job, event.task, "was on a machine", at);
  --job.tasks_by_zone[place->zone];
  usage_[job.spec.team] -= job.spec.per_task;
  places->second.erase(place);
  if (places->second.empty()) job.places.erase(places);
  if (event.completed && event.task.index < job.completed.size() &&
      !job.completed[event.task.index]) {
    job.completed[event.task.index] = true;
    ++job.completed_count;
  }
}

// Called before the task is counted in `job.tasks_by_zone`.
void Checker::CheckPlacement(const Job& job, const TaskId& task, const Machine& machine,
                             Instant at) {
  const JobSpec& spec = job.spec;
  const auto add_violation = [&](const std::string& problem) {
    AddViolation(Rule::kWrongPlace, at, TaskIdText(task) + " starts " + problem);
  };
  if (task.index >= spec.tasks) add_violation("but its job has fewer tasks");
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), machine.type) == spec.types->end())
    add_violation("on type " + machine.type);
  if (spec.zone && *spec.zone != machine.zone) add_violation("in zone " + machine.zone);
  if (!spec.spot && machine.spot) add_violation("on a spot machine");
  const auto zone_it = job.tasks_by_zone.find(machine.zone);
  const std::uint32_t tasks_in_zone = zone_it == job.tasks_by_zone.end() ? 0 : zone_it->second;
  std::uint32_t task_count = 0;
  for (const auto& [zone, count] : job.tasks_by_zone) task_count += count;
  if (spec.single_zone && task_count > tasks_in_zone)
    add_violation("in zone " + machine.zone + " while other tasks of its job run in another zone");
  if (spec.spread && tasks_in_zone >= (spec.tasks + 1) / 2)
    add_violation("in zone " + machine.zone + ", which already has half of the tasks of its job");
}

void Checker::CheckQuota(const JobSpec& spec, Instant at) {
  const auto team = teams_.find(spec.team);
  if (team == teams_.end()) return;
  const Resources& usage = usage_[spec.team];
  const bool cpus =
      team->second.cpus_max > 0 && usage.cpus > team->second.cpus_max + kRoundingTolerance;
  const bool gpus =
      team->second.gpus_max > 0 && usage.gpus > team->second.gpus_max + kRoundingTolerance;
  if (cpus || gpus)
    AddViolation(Rule::kQuota, at,
                 spec.team + " uses " + std::to_string(usage.cpus) + " CPUs and " +
                     std::to_string(usage.gpus) + " GPUs");
}

void Checker::CheckCancelled(const Job& job, const TaskId& task, const char* what, Instant at) {
  if (job.final != ReportedState::kCancelled || at <= *job.final_since + options_.cancel_timeout)
    return;
  AddViolation(Rule::kRanCancelled, at,
               TaskIdText(task) + " " + what + " " + std::to_string((at - *job.final_since).value) +
                   " s after its user received the cancellation");
}

void Checker::On(const UserRequestAnswered& event, Instant at) {
  const auto found = jobs_.find(event.job.value);
  const bool reports_job_as_known = event.state == ReportedState::kActive ||
                                    event.state == ReportedState::kDone ||
                                    event.state == ReportedState::kCancelled;
  if (found == jobs_.end()) {
    if (reports_job_as_known)
      AddViolation(Rule::kInvented, at, event.job.value + " is known but was never submitted");
    return;
  }
  Job& job = found->second;
  CheckPolls(job, event, at);
  if (event.state == ReportedState::kNoAnswer) return;
  CheckFinal(job, event, at);
  if (reports_job_as_known && !job.accepted) {
    job.accepted = true;
    ++accepted_;
  }
}

void Checker::CheckPolls(Job& job, const UserRequestAnswered& event, Instant at) {
  if (event.request != UserRequest::kPoll) return;
  const bool answered = event.state != ReportedState::kNoAnswer;
  CountPoll(answered, at);
  if (answered) {
    job.failing_since.reset();
    return;
  }
  if (!job.failing_since) job.failing_since = event.sent;
  if (!job.accepted || job.loss_reported || at - *job.failing_since < options_.lost_timeout) return;
  if (!MostPollsWereAnswered(at)) return;
  job.loss_reported = true;
  AddViolation(Rule::kForgotten, at,
               "polls for " + event.job.value + " fail while others are answered");
}

// A response must not contradict a final state that a user received earlier. An exception is a
// response that reports the job as active, if the final state was received while the request was in
// flight: that state can be newer than the response.
void Checker::CheckFinal(Job& job, const UserRequestAnswered& event, Instant at) {
  const std::string& id = event.job.value;
  if (job.accepted && event.state == ReportedState::kUnknown)
    AddViolation(Rule::kForgotten, at, id + " was accepted and is unknown");
  if (job.accepted && event.state == ReportedState::kRejected)
    AddViolation(Rule::kForgotten, at, id + " was accepted and is rejected when submitted again");
  if (event.state == ReportedState::kCancelled && !job.cancel_requested)
    AddViolation(Rule::kWentBack, at, id + " is cancelled but no cancellation was requested");
  if (event.state == ReportedState::kDone && job.completed_count < job.spec.tasks)
    AddViolation(Rule::kNotDone, at,
                 id + " is done with " + std::to_string(job.completed_count) + " of " +
                     std::to_string(job.spec.tasks) + " tasks");
  if (job.final_since && event.state != job.final) {
    const bool sent_before_final =
        event.state == ReportedState::kActive && event.sent <= *job.final_since;
    if (!sent_before_final)
      AddViolation(Rule::kWentBack, at, id + " had a final state and is reported in another state");
  }
  const bool final =
      event.state == ReportedState::kDone || event.state == ReportedState::kCancelled;
  if (!final || job.final_since) return;
  job.final_since = at;
  job.final = event.state;
}

void Checker::CountPoll(bool answered, Instant at) {
  const double second = std::floor(at.value);
  if (polls_.empty() || polls_.back().second < second) polls_.push_back({second, 0, 0});
  ++(answered ? polls_.back().answered : polls_.back().failed);
  while (polls_.front().second + options_.lost_timeout.value < at.value) polls_.pop_front();
}

bool Checker::MostPollsWereAnswered(Instant) const {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  for (const PollCounts& second : polls_) {
    answered += second.answered;
    failed += second.failed;
  }
  return answered > failed;
}

void Checker::Finish(Instant at) {
  for (const auto& [id, job] : jobs_)
    for (const auto& [index, places] : job.places)
      if (!places.empty()) CheckCancelled(job, {job.spec.id, index}, "is on a machine", at);
  if (accepted_ > 0 && starts_ == 0)
    AddViolation(Rule::kNothingRan, at, "jobs were accepted but no task was started");
}

}  // namespace magpie::load_test
