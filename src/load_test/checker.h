// The checker of a load test's history, its rules and the violations that it finds.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "load_test/history.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/resources.h"
#include "model/team.h"
#include "model/time.h"

namespace magpie::load_test {

// A rule of PROTOCOL that Checker verifies.
enum class Rule : std::uint8_t {
  kRanTwice,
  kQuota,
  kWrongPlace,
  kRanCancelled,
  kForgotten,
  kInvented,
  kNotDone,
  kWentBack,
  kNothingRan,
};
// The name of the rule in PROTOCOL.
const char* RuleName(Rule rule);

// A contradiction of a rule in the history, with the time at which it was found. `text` describes
// it in the results.
struct Violation {
  Rule rule = Rule::kNothingRan;
  Instant at;
  std::string text;
};

// Checks a history of events against the rules of PROTOCOL ("Rules"). The caller passes the events
// in order. The checker does not store them: it keeps only the state that later checks need, with
// one entry per submitted job. Not thread-safe.
class Checker {
 public:
  struct Options {
    std::vector<Team> teams;
    Seconds cancel_timeout{60};
    // An accepted job counts as lost if its polls fail for this long while most polls of all jobs
    // are answered.
    Seconds lost_timeout{90};
  };

  explicit Checker(Options options);

  void Observe(const Event& event);
  // Ends the run: reports tasks of cancelled jobs that are still on machines after the cancel
  // timeout, and reports if jobs were accepted but no task was started.
  void Finish(Instant at);

  // The first few violations of each rule.
  const std::vector<Violation>& violations() const { return violations_; }
  // The number of violations by rule, for rules that were violated.
  const std::map<Rule, std::uint64_t>& violation_counts() const { return violation_counts_; }
  std::uint64_t starts() const { return starts_; }

 private:
  struct Machine {
    std::string type;
    std::string zone;
    bool spot = false;
  };
  struct Place {
    MachineId machine;
    std::string zone;
  };
  struct Job {
    JobSpec spec;
    bool accepted = false;
    std::optional<Instant> cancel_requested;
    std::optional<Instant> final_since;  // when a user first received a final state
    ReportedState final = ReportedState::kActive;
    std::vector<bool> completed;  // by task index
    std::uint32_t completed_count = 0;
    std::map<std::uint32_t, std::vector<Place>> places;  // of tasks on machines, by task index
    std::map<std::string, std::uint32_t> tasks_by_zone;
    std::optional<Instant> failing_since;  // when the first of the latest failed polls was sent
    bool loss_reported = false;
  };
  // The polls of all jobs that were answered or failed within one second. Counts older than
  // `lost_timeout` are dropped.
  struct PollCounts {
    double second = 0;  // the time, rounded down to a whole second
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
  };

  void On(const MachineBooted& event, Instant at);
  void On(const TaskStarted& event, Instant at);
  void On(const TaskEnded& event, Instant at);
  void On(const JobSubmitted& event, Instant at);
  void On(const UserRequestAnswered& event, Instant at);
  void On(const CancelRequested& event, Instant at);

  void CheckPlacement(const Job& job, const TaskId& task, const Machine& machine, Instant at);
  void CheckQuota(const JobSpec& spec, Instant at);
  void CheckCancelled(const Job& job, const TaskId& task, const char* what, Instant at);
  void CheckPolls(Job& job, const UserRequestAnswered& event, Instant at);
  void CheckFinal(Job& job, const UserRequestAnswered& event, Instant at);
  void CountPoll(bool answered, Instant at);
  bool MostPollsWereAnswered(Instant at) const;
  void AddViolation(Rule rule, Instant at, std::string text);

  Options options_;
  std::map<std::string, Team> teams_;
  std::unordered_map<std::string, Machine> machines_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, Resources> usage_;  // of all tasks on machines, by team
  std::deque<PollCounts> polls_;
  std::uint64_t starts_ = 0;
  std::uint64_t accepted_ = 0;
  std::map<Rule, std::uint64_t> violation_counts_;
  std::vector<Violation> violations_;
};

}  // namespace magpie::load_test
