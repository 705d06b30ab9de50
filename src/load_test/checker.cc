#include "load_test/checker.h"

#include <algorithm>
#include <cmath>

#include "protocol/codec.h"

namespace magpie::load_test {
namespace {

constexpr std::uint64_t kKeptPerRule = 5;
constexpr double kRoundingTolerance = 1e-6;  // for sums of floating-point resources

std::string Text(const TaskId& task) { return protocol::TaskIdToText(task); }

}  // namespace

const char* NameOf(Rule rule) {
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
  if (++violation_counts_[rule] <= kKeptPerRule) violations_.push_back({rule, at, std::move(text)});
}

void Checker::Observe(const Event& event) {
  std::visit([&](const auto& what) { On(what, event.at); }, event.what);
}

void Checker::On(const MachineUp& event, Instant) {
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

void Checker::On(const TaskBegan& event, Instant at) {
  ++starts_;
  const auto found = jobs_.find(event.task.job.value);
  if (found == jobs_.end()) {
    AddViolation(Rule::kInvented, at, Text(event.task) + " starts but was never submitted");
    return;
  }
  Job& job = found->second;
  const Machine& machine = machines_[event.machine.value];
  std::vector<Place>& places = job.places[event.task.index];
  if (!places.empty())
    AddViolation(Rule::kRanTwice, at,
                 Text(event.task) + " starts on " + event.machine.value + " and is on " +
                     places.front().machine.value);
  CheckPlace(job, event.task, machine, at);
  CheckCancelled(job, event.task, "starts", at);
  places.push_back({event.machine, machine.zone});
  ++job.tasks_by_zone[machine.zone];
  use_[job.spec.team] += job.spec.per_task;
  CheckQuota(job.spec, at);
}

void Checker::On(const TaskLeft& event, Instant at) {
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
  use_[job.spec.team] -= job.spec.per_task;
  places->second.erase(place);
  if (places->second.empty()) job.places.erase(places);
  if (event.completed && event.task.index < job.completed.size() &&
      !job.completed[event.task.index]) {
    job.completed[event.task.index] = true;
    ++job.completed_count;
  }
}

// Called before the task is added to the tasks of its job.
void Checker::CheckPlace(const Job& job, const TaskId& task, const Machine& machine, Instant at) {
  const JobSpec& spec = job.spec;
  const auto wrong = [&](const std::string& what) {
    AddViolation(Rule::kWrongPlace, at, Text(task) + " starts " + what);
  };
  if (task.index >= spec.tasks) wrong("but its job has fewer tasks");
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), machine.type) == spec.types->end())
    wrong("on type " + machine.type);
  if (spec.zone && *spec.zone != machine.zone) wrong("in zone " + machine.zone);
  if (!spec.spot && machine.spot) wrong("on a spot machine");
  const auto here = job.tasks_by_zone.find(machine.zone);
  const std::uint32_t tasks_by_zone = here == job.tasks_by_zone.end() ? 0 : here->second;
  std::uint32_t all = 0;
  for (const auto& [zone, count] : job.tasks_by_zone) all += count;
  if (spec.single_zone && all > tasks_by_zone)
    wrong("in zone " + machine.zone + " while other tasks of its job run in another zone");
  if (spec.spread && tasks_by_zone >= (spec.tasks + 1) / 2)
    wrong("in zone " + machine.zone + ", which already has half of the tasks of its job");
}

void Checker::CheckQuota(const JobSpec& spec, Instant at) {
  const auto team = teams_.find(spec.team);
  if (team == teams_.end()) return;
  const Resources& use = use_[spec.team];
  const bool cpus =
      team->second.cpus_max > 0 && use.cpus > team->second.cpus_max + kRoundingTolerance;
  const bool gpus =
      team->second.gpus_max > 0 && use.gpus > team->second.gpus_max + kRoundingTolerance;
  if (cpus || gpus)
    AddViolation(Rule::kQuota, at,
                 spec.team + " uses " + std::to_string(use.cpus) + " CPUs and " +
                     std::to_string(use.gpus) + " GPUs");
}

void Checker::CheckCancelled(const Job& job, const TaskId& task, const char* what, Instant at) {
  if (job.final != AnsweredState::kCancelled || at <= *job.final_since + options_.cancel) return;
  AddViolation(Rule::kRanCancelled, at,
               Text(task) + " " + what + " " + std::to_string((at - *job.final_since).value) +
                   " s after its user received the cancellation");
}

void Checker::On(const UserAnswered& event, Instant at) {
  const auto found = jobs_.find(event.job.value);
  const bool says_it_is_known = event.state == AnsweredState::kLive ||
                                event.state == AnsweredState::kDone ||
                                event.state == AnsweredState::kCancelled;
  if (found == jobs_.end()) {
    if (says_it_is_known)
      AddViolation(Rule::kInvented, at, event.job.value + " is known but was never submitted");
    return;
  }
  Job& job = found->second;
  CheckPolls(job, event, at);
  if (event.state == AnsweredState::kNoAnswer) return;
  CheckFinal(job, event, at);
  if (says_it_is_known && !job.accepted) {
    job.accepted = true;
    ++accepted_;
  }
}

void Checker::CheckPolls(Job& job, const UserAnswered& event, Instant at) {
  if (event.request != UserRequest::kPoll) return;
  const bool answered = event.state != AnsweredState::kNoAnswer;
  CountPoll(answered, at);
  if (answered) {
    job.failing_since.reset();
    return;
  }
  if (!job.failing_since) job.failing_since = event.sent;
  if (!job.accepted || job.loss_reported || at - *job.failing_since < options_.lost) return;
  if (!MostWereAnswered(at)) return;
  job.loss_reported = true;
  AddViolation(Rule::kForgotten, at,
               "polls for " + event.job.value + " fail while others are answered");
}

// An answer must not contradict a final state that was received before its request was sent. A
// final state that was received while the request was in flight can be newer than the answer.
void Checker::CheckFinal(Job& job, const UserAnswered& event, Instant at) {
  const std::string& id = event.job.value;
  if (job.accepted && event.state == AnsweredState::kUnknown)
    AddViolation(Rule::kForgotten, at, id + " was accepted and is unknown");
  if (job.accepted && event.state == AnsweredState::kRefused)
    AddViolation(Rule::kForgotten, at, id + " was accepted and is rejected when submitted again");
  if (event.state == AnsweredState::kCancelled && !job.cancel_requested)
    AddViolation(Rule::kWentBack, at, id + " is cancelled but no cancellation was requested");
  if (event.state == AnsweredState::kDone && job.completed_count < job.spec.tasks)
    AddViolation(Rule::kNotDone, at,
                 id + " is done with " + std::to_string(job.completed_count) + " of " +
                     std::to_string(job.spec.tasks) + " tasks");
  if (job.final_since && event.state != job.final) {
    const bool overtaken = event.state == AnsweredState::kLive && event.sent <= *job.final_since;
    if (!overtaken) AddViolation(Rule::kWentBack, at, id + " had a final state and is reported in another state");
  }
  const bool final =
      event.state == AnsweredState::kDone || event.state == AnsweredState::kCancelled;
  if (!final || job.final_since) return;
  job.final_since = at;
  job.final = event.state;
}

void Checker::CountPoll(bool answered, Instant at) {
  const double second = std::floor(at.value);
  if (polls_.empty() || polls_.back().second < second) polls_.push_back({second, 0, 0});
  ++(answered ? polls_.back().answered : polls_.back().failed);
  while (polls_.front().second + options_.lost.value < at.value) polls_.pop_front();
}

bool Checker::MostWereAnswered(Instant) const {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  for (const PollSecond& second : polls_) {
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
