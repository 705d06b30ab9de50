// Tests of the load test's checker on constructed histories. For each rule of PROTOCOL there are
// histories that violate it, and similar histories that just comply with it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "job_builder.h"
#include "load_test/checker.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kCancel{60};
const JobId kJob{"j-1"};

JobSpec Spec(std::uint32_t tasks = 2) {
  JobSpec spec = testing::MakeJob(kJob.value, tasks);
  spec.types = {"plain"};
  return spec;
}

// Builds a history of one job, with machines in the zones a and b.
class HistoryBuilder {
 public:
  HistoryBuilder() {
    At(0, MachineBooted{{"m-a1"}, "plain", "a", false});
    At(0, MachineBooted{{"m-a2"}, "plain", "a", false});
    At(0, MachineBooted{{"m-b"}, "plain", "b", false});
    At(0, MachineBooted{{"m-spot"}, "plain", "a", true});
    At(0, MachineBooted{{"m-great"}, "great", "a", false});
  }
  template <typename Payload>
  HistoryBuilder& At(double at, Payload payload) {
    events_.push_back({{at}, std::move(payload)});
    return *this;
  }
  HistoryBuilder& Accepted(const JobSpec& spec) {
    At(1, JobSubmitted{spec});
    return Answered(2, ReportedState::kActive, UserRequest::kSubmit);
  }
  HistoryBuilder& Answered(double at, ReportedState state, UserRequest request = UserRequest::kPoll,
                           double took = 0.1) {
    return At(at, UserRequestAnswered{kJob, request, state, {at - took}});
  }
  HistoryBuilder& Started(double at, std::uint32_t task, const std::string& machine) {
    return At(at, TaskStarted{{machine}, {kJob, task}});
  }
  HistoryBuilder& Ended(double at, std::uint32_t task, const std::string& machine,
                        bool completed = true) {
    return At(at, TaskEnded{{machine}, {kJob, task}, completed});
  }
  HistoryBuilder& Cancelled(double requested, double answered) {
    At(requested, CancelRequested{kJob});
    return Answered(answered, ReportedState::kCancelled, UserRequest::kCancel);
  }
  // All polls of the job fail. Polls of another job get the state `other_state`.
  HistoryBuilder& PollsFail(double from, double until, ReportedState other_state) {
    JobSpec other = testing::MakeJob("j-2", 1);
    At(from, JobSubmitted{other});
    for (double at = from; at <= until; at += 5) {
      Answered(at, ReportedState::kNoAnswer, UserRequest::kPoll, 2);
      for (int i = 0; i < 2; ++i)
        At(at, UserRequestAnswered{other.id, UserRequest::kPoll, other_state, {at - 0.1}});
    }
    return *this;
  }
  // The names of the violated rules, each once.
  std::string Violations(double end = 1000) const {
    Checker checker({{{"red", 0, 8, 0, 0}}, kCancel, Seconds{90}});
    for (const Event& event : events_) checker.Observe(event);
    checker.Finish({end});
    std::string names;
    for (const auto& [rule, times] : checker.violation_counts()) {
      if (!names.empty()) names += ' ';
      names += RuleName(rule);
    }
    return names;
  }

 private:
  std::vector<Event> events_;
};

JobSpec SpecWith(void (*change)(JobSpec&)) {
  JobSpec spec = Spec(4);
  change(spec);
  return spec;
}

// A history and the rule that it violates.
struct HistoryCase {
  const char* name;
  const char* violated;  // empty: none
  HistoryBuilder history;
};
using HistoryCases = std::vector<HistoryCase>;

HistoryCases HistoriesWithoutViolation() {
  return {
      {"job runs and is done", "",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .Started(3, 1, "m-b")
           .Ended(9, 0, "m-a1")
           .Ended(9, 1, "m-b")
           .Answered(10, ReportedState::kDone)
           .Answered(20, ReportedState::kDone)},
  };
}

HistoryCases RanTwiceCases() {
  return {
      {"task starts on second machine while running", "ran_twice",
       HistoryBuilder().Accepted(Spec()).Started(3, 0, "m-a1").Started(4, 0, "m-a2")},
      {"task restarts after it ended", "",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .Ended(4, 0, "m-a1", false)
           .Started(4, 0, "m-a2")},
      {"task starts twice on one machine", "ran_twice",
       HistoryBuilder().Accepted(Spec()).Started(3, 0, "m-a1").Started(4, 0, "m-a1")},
  };
}

HistoryCases QuotaCases() {
  const JobSpec five_tasks = Spec(5);
  return {
      {"five tasks of two CPUs exceed quota of eight", "quota",
       HistoryBuilder()
           .Accepted(five_tasks)
           .Started(3, 0, "m-a1")
           .Started(3, 1, "m-a1")
           .Started(3, 2, "m-a1")
           .Started(3, 3, "m-b")
           .Started(3, 4, "m-b")},
      {"fifth task starts after another ended", "",
       HistoryBuilder()
           .Accepted(five_tasks)
           .Started(3, 0, "m-a1")
           .Started(3, 1, "m-a1")
           .Started(3, 2, "m-a1")
           .Started(3, 3, "m-b")
           .Ended(4, 3, "m-b")
           .Started(5, 4, "m-b")},
  };
}

HistoryCases WrongPlaceCases() {
  const JobSpec zone_bound = SpecWith([](JobSpec& s) { s.zone = "a"; });
  const JobSpec single_zone = SpecWith([](JobSpec& s) { s.single_zone = true; });
  const JobSpec spread = SpecWith([](JobSpec& s) { s.spread = true; });
  const JobSpec spot = SpecWith([](JobSpec& s) { s.spot = true; });
  return {
      {"machine type not allowed", "wrong_place",
       HistoryBuilder().Accepted(Spec()).Started(3, 0, "m-great")},
      {"zone not allowed", "wrong_place",
       HistoryBuilder().Accepted(zone_bound).Started(3, 0, "m-b")},
      {"only allowed zone", "", HistoryBuilder().Accepted(zone_bound).Started(3, 0, "m-a1")},
      {"spot machine not allowed", "wrong_place",
       HistoryBuilder().Accepted(Spec()).Started(3, 0, "m-spot")},
      {"spot machine allowed", "", HistoryBuilder().Accepted(spot).Started(3, 0, "m-spot")},
      {"task index out of range", "wrong_place",
       HistoryBuilder().Accepted(Spec()).Started(3, 2, "m-a1")},
      {"single zone: tasks in two zones", "wrong_place",
       HistoryBuilder().Accepted(single_zone).Started(3, 0, "m-a1").Started(4, 1, "m-b")},
      {"single zone: another zone after all tasks ended", "",
       HistoryBuilder()
           .Accepted(single_zone)
           .Started(3, 0, "m-a1")
           .Ended(4, 0, "m-a1", false)
           .Started(4, 0, "m-b")},
      {"spread: three of four tasks in one zone", "wrong_place",
       HistoryBuilder()
           .Accepted(spread)
           .Started(3, 0, "m-a1")
           .Started(3, 1, "m-a2")
           .Started(4, 2, "m-a1")},
      {"spread: two of four tasks in one zone", "",
       HistoryBuilder()
           .Accepted(spread)
           .Started(3, 0, "m-a1")
           .Started(3, 1, "m-a2")
           .Started(4, 2, "m-b")},
  };
}

HistoryCases RanCancelledCases() {
  return {
      {"task starts after cancel timeout", "ran_cancelled",
       HistoryBuilder()
           .Accepted(Spec())
           .Cancelled(5, 6)
           .Started(66.1, 0, "m-a1")
           .Ended(66.1, 0, "m-a1")},
      {"task ends after cancel timeout", "ran_cancelled",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .Cancelled(5, 6)
           .Ended(66.1, 0, "m-a1", false)},
      {"task never ends after cancellation", "ran_cancelled",
       HistoryBuilder().Accepted(Spec()).Started(3, 0, "m-a1").Cancelled(5, 6)},
      {"task starts and ends within cancel timeout", "",
       HistoryBuilder()
           .Accepted(Spec())
           .Cancelled(5, 6)
           .Started(65, 0, "m-a1")
           .Ended(65.9, 0, "m-a1")},
  };
}

HistoryCases ForgottenCases() {
  return {
      {"accepted job gets 404", "forgotten",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .Answered(4, ReportedState::kUnknown)},
      {"job gets 404 before acceptance", "",
       HistoryBuilder().At(1, JobSubmitted{Spec()}).Answered(2, ReportedState::kUnknown)},
      {"accepted job is rejected when submitted again", "forgotten",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .Answered(4, ReportedState::kRejected, UserRequest::kSubmit)},
      {"polls fail for 95 s while others are answered", "forgotten",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .PollsFail(10, 105, ReportedState::kActive)},
      {"polls fail for 80 s", "",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .PollsFail(10, 90, ReportedState::kActive)},
      {"all polls fail for 95 s", "",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .PollsFail(10, 105, ReportedState::kNoAnswer)},
  };
}

HistoryCases InventedCases() {
  return {
      {"job that was not submitted is known", "invented",
       HistoryBuilder().Answered(4, ReportedState::kActive)},
      {"task of a job that was not submitted starts", "invented",
       HistoryBuilder().Started(4, 0, "m-a1")},
      {"job that was not submitted gets 404", "",
       HistoryBuilder().Answered(4, ReportedState::kUnknown)},
  };
}

HistoryCases NotDoneCases() {
  return {
      {"done with one task of two", "not_done",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .Ended(5, 0, "m-a1")
           .Answered(6, ReportedState::kDone)},
      {"done with a stopped task", "not_done",
       HistoryBuilder()
           .Accepted(Spec(1))
           .Started(3, 0, "m-a1")
           .Ended(5, 0, "m-a1", false)
           .Answered(6, ReportedState::kDone)},
  };
}

HistoryCases WentBackCases() {
  return {
      {"active after done", "went_back",
       HistoryBuilder()
           .Accepted(Spec(1))
           .Started(3, 0, "m-a1")
           .Ended(5, 0, "m-a1")
           .Answered(6, ReportedState::kDone)
           .Answered(7, ReportedState::kActive)},
      {"active in a response to a request sent before done", "",
       HistoryBuilder()
           .Accepted(Spec(1))
           .Started(3, 0, "m-a1")
           .Ended(5, 0, "m-a1")
           .Answered(6, ReportedState::kDone)
           .Answered(7, ReportedState::kActive, UserRequest::kPoll, 1.5)},
      {"cancelled after done", "went_back",
       HistoryBuilder()
           .Accepted(Spec(1))
           .Started(3, 0, "m-a1")
           .Ended(5, 0, "m-a1")
           .Answered(6, ReportedState::kDone)
           .Cancelled(7, 8)},
      {"active after cancelled", "went_back",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .Ended(4, 0, "m-a1", false)
           .Cancelled(5, 6)
           .Answered(7, ReportedState::kActive)},
      {"cancelled without a request", "went_back",
       HistoryBuilder()
           .Accepted(Spec())
           .Started(3, 0, "m-a1")
           .Ended(4, 0, "m-a1", false)
           .Answered(5, ReportedState::kCancelled)},
  };
}

HistoryCases NothingRanCases() {
  return {
      {"job accepted and no task runs", "nothing_ran", HistoryBuilder().Accepted(Spec())},
      {"no job accepted and no task runs", "", HistoryBuilder().At(1, JobSubmitted{Spec()})},
  };
}

HistoryCases AllCases() {
  HistoryCases all;
  for (const auto& cases : {HistoriesWithoutViolation(), RanTwiceCases(), QuotaCases(),
                            WrongPlaceCases(), RanCancelledCases(), ForgottenCases(),
                            InventedCases(), NotDoneCases(), WentBackCases(), NothingRanCases()})
    all.insert(all.end(), cases.begin(), cases.end());
  return all;
}

TEST(CheckerTest, ReportsExactlyTheViolatedRules) {
  for (const HistoryCase& test : AllCases())
    EXPECT_EQ(test.history.Violations(), test.violated) << test.name;
}

TEST(CheckerTest, CountsAllViolationsAndReportsFewPerRule) {
  Checker checker({{}, kCancel, Seconds{90}});
  constexpr std::uint64_t kTimes = 40;
  for (std::uint64_t i = 0; i < kTimes; ++i)
    checker.Observe(
        {{1.0}, UserRequestAnswered{{"j-9"}, UserRequest::kPoll, ReportedState::kDone, {0.5}}});
  EXPECT_EQ(checker.violation_counts().at(Rule::kInvented), kTimes);
  EXPECT_LT(checker.violations().size(), 10U);
}

}  // namespace
}  // namespace magpie::load_test
