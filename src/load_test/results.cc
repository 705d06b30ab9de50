#include "load_test/results.h"

#include <algorithm>

namespace magpie::load_test {
namespace {

// Rates per second between two samples.
class Rates {
 public:
  Rates(const Sample& begin, const Sample& end) : seconds_((end.at - begin.at).value) {}

  double seconds() const { return seconds_; }
  double PerSecond(std::uint64_t begin, std::uint64_t end) const {
    return static_cast<double>(end - begin) / seconds_;
  }
  nlohmann::json PerSecond(const TrafficTotals& begin, const TrafficTotals& end,
                           double participants = 1) const {
    const auto rate = [&](std::uint64_t from, std::uint64_t to) {
      return PerSecond(from, to) / participants;
    };
    return {{"messages_in", rate(begin.messages_in, end.messages_in)},
            {"bytes_in", rate(begin.bytes_in, end.bytes_in)},
            {"messages_out", rate(begin.messages_out, end.messages_out)},
            {"bytes_out", rate(begin.bytes_out, end.bytes_out)}};
  }

 private:
  double seconds_;
};

// The reasons for which the run failed, one line each.
nlohmann::json FailuresOf(const Scenario& scenario, const Measurements& measured) {
  nlohmann::json failures = nlohmann::json::array();
  for (const auto& [rule, count] : measured.statistics.violation_counts)
    failures.push_back(rule + " broken " + std::to_string(count) + " times");
  const bool all_jobs_ended =
      scenario.max_jobs == 0 ||
      (measured.open_jobs == 0 && measured.users.given_up == 0 && measured.users.refused == 0);
  if (!all_jobs_ended) failures.push_back("some jobs did not end");
  if (measured.statistics.started < scenario.min_starts)
    failures.push_back("fewer starts than least_starts");
  if (measured.unexpected_exits > 0) failures.push_back("controllers exited unexpectedly");
  return failures;
}

nlohmann::json TasksToJson(const Measurements& measured, const Rates& rates) {
  return {{"started", measured.statistics.started},
          {"completed", measured.statistics.completed},
          {"starts_a_second", rates.PerSecond(measured.begin.started, measured.end.started)},
          {"ends_a_second", rates.PerSecond(measured.begin.completed, measured.end.completed)},
          {"on_machines", measured.tasks_on_machines}};
}

nlohmann::json LeaderToJson(const Measurements& measured) {
  const ControllerUsage& begin = measured.begin.controllers;
  const ControllerUsage& end = measured.end.controllers;
  const double leader_s = std::max(1e-9, end.leader_s - begin.leader_s);
  return {{"cores", (end.leader_cpu_s - begin.leader_cpu_s) / leader_s},
          {"peak_mb", measured.controllers.leader_peak_mb}};
}

nlohmann::json FollowersToJson(const Measurements& measured, const Rates& rates) {
  const double used =
      measured.end.controllers.follower_cpu_s - measured.begin.controllers.follower_cpu_s;
  const double follower_s = rates.seconds() * static_cast<double>(measured.controller_count - 1);
  return {{"cores", follower_s > 0 ? used / follower_s : 0},
          {"peak_mb", measured.controllers.follower_peak_mb}};
}

nlohmann::json WorkersToJson(const Scenario& scenario, const Measurements& measured,
                             const Rates& rates) {
  const double workers = std::max<std::uint32_t>(1, scenario.workers);
  return {{"reports", rates.PerSecond(measured.begin.heartbeats, measured.end.heartbeats, workers)},
          {"commands", rates.PerSecond(measured.begin.commands, measured.end.commands, workers)},
          {"redirects", measured.redirects},
          {"refused_commands", measured.refused_commands},
          {"failed_reports", measured.failed_heartbeats},
          {"accepted_copies", measured.accepted_copies}};
}

nlohmann::json UsersToJson(const Measurements& measured, const Rates& rates) {
  const Users::Counts& users = measured.users;
  return {{"traffic", rates.PerSecond(measured.begin.user_requests, measured.end.user_requests)},
          {"submitted", users.submitted},
          {"accepted", users.accepted},
          {"refused", users.refused},
          {"given_up", users.given_up},
          {"done", users.done},
          {"cancelled", users.cancelled},
          {"open", measured.open_jobs},
          {"polls_a_second", rates.PerSecond(measured.begin.users.polls, measured.end.users.polls)},
          {"unanswered", users.unanswered}};
}

nlohmann::json StateToJson(const Measurements& measured, const Rates& rates) {
  const StateServer::Counts& begin = measured.begin.state;
  const StateServer::Counts& end = measured.end.state;
  return {{"traffic", rates.PerSecond(measured.begin.state_requests, measured.end.state_requests)},
          {"requests_a_second", rates.PerSecond(begin.requests, end.requests)},
          {"transactions_a_second", rates.PerSecond(begin.commits, end.commits)},
          {"changes_a_second", rates.PerSecond(begin.operations, end.operations)},
          {"transaction_bytes_a_second", rates.PerSecond(begin.value_bytes, end.value_bytes)},
          {"conflicts", end.conflicts},
          {"over_rate", end.rate_limited},
          {"keys", measured.keys}};
}

nlohmann::json CloudToJson(const Measurements& measured, const Rates& rates) {
  const CloudServer::Counts& end = measured.end.cloud;
  return {{"requests_a_second", rates.PerSecond(measured.begin.cloud.requests, end.requests)},
          {"over_rate", end.rate_limited},
          {"rented", end.rented},
          {"released", end.released}};
}

}  // namespace

TrafficTotals SumOf(const std::vector<const Traffic*>& all) {
  TrafficTotals sum;
  for (const Traffic* traffic : all) {
    sum.messages_in += traffic->messages_in;
    sum.bytes_in += traffic->bytes_in;
    sum.messages_out += traffic->messages_out;
    sum.bytes_out += traffic->bytes_out;
  }
  return sum;
}

nlohmann::json ResultsToJson(const Scenario& scenario, const Measurements& measured) {
  const Rates rates(measured.begin, measured.end);
  nlohmann::json result;
  result["why"] = FailuresOf(scenario, measured);
  result["ok"] = result["why"].empty();
  result["run"] = {{"scenario", measured.scenario_file},          {"workers", scenario.workers},
                   {"starts_wanted", scenario.starts_per_second}, {"seconds", rates.seconds()},
                   {"controllers", measured.controller_count},    {"load", measured.load_average}};
  result["tasks"] = TasksToJson(measured, rates);
  result["start_s"] = measured.statistics.start;
  result["start_s_by_class"] = measured.statistics.start_by_class;
  result["accept_s"] = measured.statistics.accept;
  result["leader"] = LeaderToJson(measured);
  result["follower"] = FollowersToJson(measured, rates);
  result["worker"] = WorkersToJson(scenario, measured, rates);
  result["users"] = UsersToJson(measured, rates);
  result["state"] = StateToJson(measured, rates);
  result["cloud"] = CloudToJson(measured, rates);
  result["takeovers"] = measured.takeovers;
  result["rules_broken"] = measured.statistics.violation_counts;
  result["violations"] = measured.statistics.violations;
  result["this_program"] = {
      {"cores", (measured.end.own_cpu_s - measured.begin.own_cpu_s) / rates.seconds()},
      {"peak_mb", measured.own_peak_mb}};
  return result;
}

}  // namespace magpie::load_test
