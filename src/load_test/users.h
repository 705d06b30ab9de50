// The users of a load test and the classes of the jobs that they submit.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "load_test/event_loop.h"
#include "load_test/job_ledger.h"
#include "load_test/networked_worker.h"
#include "load_test/recorder.h"

namespace magpie::load_test {

// A class of similar jobs.
struct JobClass {
  JobSpec spec_template;           // without id, team and submission time
  std::vector<std::string> teams;  // drawn with equal probability
  Seconds run_time;                // mean of its tasks
  double run_time_spread = 0;      // maximum deviation of run times, as a fraction
  double share = 0;                // fraction of all task starts
  double cancel_fraction = 0;      // fraction of the jobs that are cancelled
};

// The simulated users of a run. They submit jobs of the configured classes, poll them and cancel
// some, by the rules of PROTOCOL for users. The class is used on the thread of its loop.
class Users {
 public:
  struct Options {
    std::vector<JobClass> classes;
    double starts_per_second = 1;  // tasks of all classes
    std::uint64_t max_jobs = 0;    // 0: no limit
    Seconds poll_interval{5};
    std::uint64_t seed = 1;
  };
  struct Counts {
    std::uint64_t submitted = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;   // rejected with 400 or 422
    std::uint64_t given_up = 0;  // not accepted within the minute that PROTOCOL allows
    std::uint64_t done = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t polls = 0;
    std::uint64_t unanswered = 0;  // requests without a valid response
  };

  // `nodes`, `jobs`, `recorder` and `traffic` (by node) must outlive this object.
  Users(EventLoop& loop, Options options, const std::vector<Node>& nodes, JobLedger& jobs,
        Recorder& recorder, std::vector<std::unique_ptr<Traffic>>& traffic);
  ~Users();

  void Begin();
  // Submits no further jobs.
  void StopArrivals() { arriving_ = false; }
  const Counts& counts() const { return counts_; }
  // Jobs that were accepted and are neither done nor cancelled.
  std::size_t open() const { return open_; }
  // Whether no further jobs will be submitted, no submission is pending, and no job is open.
  bool finished() const;

 private:
  struct Job;
  struct Route {
    std::vector<std::unique_ptr<EventLoop::ClientConnection>> connections;
    Instant skipped_until;
    int failures = 0;  // consecutive requests without a response
  };

  void CreateJob(std::size_t class_index);
  void ScheduleArrival(std::size_t class_index);
  JobSpec MakeSpec(const JobClass& job_class);
  void Submit(const std::shared_ptr<Job>& job);
  void OnSubmitted(const std::shared_ptr<Job>& job, ReportedState state);
  void SchedulePoll(const std::shared_ptr<Job>& job);
  void Poll(const std::shared_ptr<Job>& job);
  void Cancel(const std::shared_ptr<Job>& job);
  void OnAnswer(const std::shared_ptr<Job>& job, ReportedState state);
  void PollUnknownJob();
  // Sends a request to a controller. Passes the state in the response and the time of the request.
  void SendRequest(HttpCall call, Seconds timeout,
                   std::function<void(ReportedState, Instant)> on_answer);
  EventLoop::ClientConnection* ChooseConnection(std::size_t& node);
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  EventLoop& loop_;
  Options options_;
  const std::vector<Node>& nodes_;
  JobLedger& jobs_;
  Recorder& recorder_;
  std::vector<std::unique_ptr<Traffic>>& traffic_;
  std::vector<Route> routes_;
  std::minstd_rand random_;
  std::uint64_t last_job_ = 0;
  bool arriving_ = true;
  std::size_t open_ = 0;
  std::size_t unanswered_submissions_ = 0;  // submissions without a final response
  Counts counts_;
};

}  // namespace magpie::load_test
