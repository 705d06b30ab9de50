#include "load_test/users.h"

#include <algorithm>

#include "load_test/codec.h"
#include "protocol/codec.h"

namespace magpie::load_test {
namespace {

// Rules for users from PROTOCOL, "Users -> controller nodes".
constexpr Seconds kSubmitTimeout{5};
constexpr Seconds kPollTimeout{2};
constexpr Seconds kRetryInterval{1};
constexpr Seconds kSubmitDeadline{60};
constexpr Seconds kSkipDuration{3};
constexpr int kFailuresToSkip = 3;

constexpr std::size_t kMaxConnectionsPerController = 64;
constexpr double kPollSpread = 0.2;
constexpr Seconds kFinalPollDelay{3};       // from the end of a job to its last poll
constexpr Seconds kUnknownJobInterval{10};  // between polls of jobs that do not exist
constexpr std::uint64_t kFirstUnknownJob = 90000000;

std::string JobIdText(std::uint64_t number) {
  constexpr std::size_t kDigits = 8;
  const std::string text = std::to_string(number);
  return "j-" + std::string(kDigits - std::min(kDigits, text.size()), '0') + text;
}

std::string JobPath(const JobId& id) { return std::string(protocol::kJobsPath) + "/" + id.value; }

}  // namespace

struct Users::Job {
  JobSpec spec;
  Instant first_submitted;
  bool accepted = false;
  bool ended = false;
  bool cancel_sent = false;
  Seconds cancel_after;  // from acceptance to cancellation; 0: the user does not cancel the job
};

Users::Users(EventLoop& loop, Options options, const std::vector<Node>& nodes, JobLedger& jobs,
             Recorder& recorder, std::vector<std::unique_ptr<Traffic>>& traffic)
    : loop_(loop),
      options_(std::move(options)),
      nodes_(nodes),
      jobs_(jobs),
      recorder_(recorder),
      traffic_(traffic),
      routes_(nodes.size()),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)) {}

Users::~Users() = default;

void Users::Begin() {
  for (std::size_t i = 0; i < options_.classes.size(); ++i) ScheduleArrival(i);
  PollUnknownJob();
}

bool Users::finished() const {
  const bool all_submitted = options_.max_jobs > 0 && counts_.submitted >= options_.max_jobs;
  return (all_submitted || !arriving_) && open_ == 0 && unanswered_submissions_ == 0;
}

void Users::ScheduleArrival(std::size_t class_index) {
  const JobClass& job_class = options_.classes[class_index];
  const double jobs_per_second =
      options_.starts_per_second * job_class.share / job_class.spec_template.tasks;
  if (jobs_per_second <= 0) return;
  const Seconds delay{std::exponential_distribution<double>(jobs_per_second)(random_)};
  loop_.After(delay, [this, class_index] { CreateJob(class_index); });
}

void Users::CreateJob(std::size_t class_index) {
  if (!arriving_) return;
  if (options_.max_jobs > 0 && counts_.submitted >= options_.max_jobs) return;
  const JobClass& job_class = options_.classes[class_index];
  const auto job = std::make_shared<Job>();
  job->spec = MakeSpec(job_class);
  job->first_submitted = EventLoop::Now();
  if (RandomFraction() < job_class.cancel_fraction)
    job->cancel_after = RandomFraction() * job_class.run_time;
  jobs_.Add({job->spec, job_class.run_time, job_class.run_time_spread});
  recorder_.Record(JobSubmitted{job->spec});
  ++counts_.submitted;
  ++unanswered_submissions_;
  Submit(job);
  ScheduleArrival(class_index);
}

JobSpec Users::MakeSpec(const JobClass& job_class) {
  JobSpec spec = job_class.spec_template;
  spec.id = {JobIdText(++last_job_)};
  if (!job_class.teams.empty()) {
    std::uniform_int_distribution<std::size_t> team_index(0, job_class.teams.size() - 1);
    spec.team = job_class.teams[team_index(random_)];
  }
  return spec;
}

void Users::Submit(const std::shared_ptr<Job>& job) {
  SendRequest(
      {"POST", protocol::kJobsPath, JobToRequest(job->spec).dump()}, kSubmitTimeout,
      [this, job](ReportedState state, Instant sent) {
        recorder_.Record(UserRequestAnswered{job->spec.id, UserRequest::kSubmit, state, sent});
        OnSubmitted(job, state);
      });
}

void Users::OnSubmitted(const std::shared_ptr<Job>& job, ReportedState state) {
  const bool answered = state == ReportedState::kActive || state == ReportedState::kDone;
  if (!answered && state != ReportedState::kRejected) {
    if (EventLoop::Now() - job->first_submitted + kRetryInterval < kSubmitDeadline) {
      loop_.After(kRetryInterval, [this, job] { Submit(job); });
      return;
    }
    ++counts_.given_up;
    --unanswered_submissions_;
    return;
  }
  --unanswered_submissions_;
  if (!answered) {
    ++counts_.refused;
    return;
  }
  ++counts_.accepted;
  ++open_;
  job->accepted = true;
  recorder_.RecordAcceptance(EventLoop::Now() - job->first_submitted);
  if (job->cancel_after.value > 0)
    loop_.After(job->cancel_after, [this, job] {
      if (job->ended) return;
      job->cancel_sent = true;
      recorder_.Record(CancelRequested{job->spec.id});
      Cancel(job);
    });
  SchedulePoll(job);
}

void Users::SchedulePoll(const std::shared_ptr<Job>& job) {
  const double spread = 1 - kPollSpread + 2 * kPollSpread * RandomFraction();
  loop_.After(spread * options_.poll_interval, [this, job] { Poll(job); });
}

void Users::Poll(const std::shared_ptr<Job>& job) {
  if (job->ended) return;
  ++counts_.polls;
  SendRequest(
      {"GET", JobPath(job->spec.id), ""}, kPollTimeout,
      [this, job](ReportedState state, Instant sent) {
        recorder_.Record(UserRequestAnswered{job->spec.id, UserRequest::kPoll, state, sent});
        OnAnswer(job, state);
        if (!job->ended) SchedulePoll(job);
      });
}

void Users::Cancel(const std::shared_ptr<Job>& job) {
  SendRequest(
      {"POST", JobPath(job->spec.id) + "/" + protocol::kCancelSuffix, "{}"}, kSubmitTimeout,
      [this, job](ReportedState state, Instant sent) {
        recorder_.Record(UserRequestAnswered{job->spec.id, UserRequest::kCancel, state, sent});
        OnAnswer(job, state);
        if (!job->ended) loop_.After(kRetryInterval, [this, job] { Cancel(job); });
      });
}

void Users::OnAnswer(const std::shared_ptr<Job>& job, ReportedState state) {
  if (job->ended || (state != ReportedState::kDone && state != ReportedState::kCancelled)) return;
  job->ended = true;
  --open_;
  ++(state == ReportedState::kDone ? counts_.done : counts_.cancelled);
  loop_.After(kFinalPollDelay, [this, job] {
    SendRequest({"GET", JobPath(job->spec.id), ""}, kPollTimeout,
                [this, job](ReportedState final_state, Instant sent) {
                  recorder_.Record(
                      UserRequestAnswered{job->spec.id, UserRequest::kPoll, final_state, sent});
                });
  });
}

void Users::PollUnknownJob() {
  loop_.After(kUnknownJobInterval, [this] { PollUnknownJob(); });
  const JobId id{JobIdText(kFirstUnknownJob + static_cast<std::uint64_t>(1000 * RandomFraction()))};
  SendRequest({"GET", JobPath(id), ""}, kPollTimeout,
              [this, id](ReportedState state, Instant sent) {
                recorder_.Record(UserRequestAnswered{id, UserRequest::kPoll, state, sent});
              });
}

// Chooses a controller as the load balancer does, and sets `node` to its index. Returns an idle
// connection to it; null if all connections are busy or all controllers are skipped as unhealthy.
EventLoop::ClientConnection* Users::ChooseConnection(std::size_t& node) {
  const Instant now = EventLoop::Now();
  const auto first =
      static_cast<std::size_t>(RandomFraction() * static_cast<double>(nodes_.size()));
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    node = (first + i) % nodes_.size();
    Route& route = routes_[node];
    if (now < route.skipped_until) continue;
    for (const auto& connection : route.connections)
      if (!connection->busy()) return connection.get();
    if (route.connections.size() == kMaxConnectionsPerController) continue;
    route.connections.push_back(loop_.MakeClientConnection(nodes_[node].address, *traffic_[node]));
    return route.connections.back().get();
  }
  return nullptr;
}

void Users::SendRequest(HttpCall call, Seconds timeout,
                        std::function<void(ReportedState, Instant)> on_answer) {
  const Instant sent = EventLoop::Now();
  std::size_t node = 0;
  EventLoop::ClientConnection* connection = ChooseConnection(node);
  if (connection == nullptr) {
    ++counts_.unanswered;
    on_answer(ReportedState::kNoAnswer, sent);
    return;
  }
  connection->Call(
      std::move(call), timeout,
      [this, node, sent, on_answer = std::move(on_answer)](const HttpOutcome& outcome) {
        Route& route = routes_[node];
        route.failures = outcome.answered ? 0 : route.failures + 1;
        if (route.failures >= kFailuresToSkip) {
          route.failures = 0;
          route.skipped_until = EventLoop::Now() + kSkipDuration;
        }
        const ReportedState state = outcome.answered
                                        ? JobStateFromResponse(outcome.status, outcome.body)
                                        : ReportedState::kNoAnswer;
        if (state == ReportedState::kNoAnswer) ++counts_.unanswered;
        on_answer(state, sent);
      });
}

}  // namespace magpie::load_test
