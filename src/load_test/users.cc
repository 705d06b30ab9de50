#include "load_test/users.h"

#include <algorithm>

#include "load_test/codec.h"
#include "protocol/codec.h"

namespace magpie::load_test {
namespace {

// From PROTOCOL, "Users -> controller nodes".
constexpr Seconds kSubmitWait{5};
constexpr Seconds kPollWait{2};
constexpr Seconds kRetry{1};
constexpr Seconds kSubmitTimeout{60};
constexpr Seconds kSkipTime{3};
constexpr int kFailuresToSkip = 3;

constexpr std::size_t kMaxCallers = 64;  // per controller
constexpr double kPollSpread = 0.2;
constexpr Seconds kFinalPollDelay{3};       // one more poll after a job has ended
constexpr Seconds kUnknownJobInterval{10};  // between polls of jobs that do not exist
constexpr std::uint64_t kNeverSubmitted = 90000000;

std::string IdOf(std::uint64_t number) {
  constexpr std::size_t kDigits = 8;
  const std::string text = std::to_string(number);
  return "j-" + std::string(kDigits - std::min(kDigits, text.size()), '0') + text;
}

std::string PathOf(const JobId& id) { return std::string(protocol::kJobsPath) + "/" + id.value; }

}  // namespace

struct Users::Job {
  JobSpec spec;
  Instant begun;
  bool accepted = false;
  bool over = false;
  bool cancelling = false;
  Seconds cancel_after;  // 0: not cancelled
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
  const bool all_came = options_.max_jobs > 0 && counts_.submitted >= options_.max_jobs;
  return (all_came || !arriving_) && open_ == 0 && awaited_ == 0;
}

void Users::ScheduleArrival(std::size_t number_of_class) {
  const JobClass& job_class = options_.classes[number_of_class];
  const double a_second = options_.starts * job_class.share / job_class.like.tasks;
  if (a_second <= 0) return;
  const Seconds gap{std::exponential_distribution<double>(a_second)(random_)};
  loop_.After(gap, [this, number_of_class] { Arrive(number_of_class); });
}

void Users::Arrive(std::size_t number_of_class) {
  if (!arriving_) return;
  if (options_.max_jobs > 0 && counts_.submitted >= options_.max_jobs) return;
  const JobClass& job_class = options_.classes[number_of_class];
  const auto job = std::make_shared<Job>();
  job->spec = SpecOf(job_class);
  job->begun = EventLoop::Now();
  if (Draw() < job_class.cancelled) job->cancel_after = Draw() * job_class.run_time;
  jobs_.Add({job->spec, job_class.run_time, job_class.spread});
  recorder_.Record(JobSubmitted{job->spec});
  ++counts_.submitted;
  ++awaited_;
  Submit(job);
  ScheduleArrival(number_of_class);
}

JobSpec Users::SpecOf(const JobClass& job_class) {
  JobSpec spec = job_class.like;
  spec.id = {IdOf(++last_job_)};
  if (!job_class.teams.empty()) {
    std::uniform_int_distribution<std::size_t> any(0, job_class.teams.size() - 1);
    spec.team = job_class.teams[any(random_)];
  }
  return spec;
}

void Users::Submit(const std::shared_ptr<Job>& job) {
  Ask({"POST", protocol::kJobsPath, JobToUser(job->spec).dump()}, kSubmitWait,
      [this, job](AnsweredState state, Instant sent) {
        recorder_.Record(UserAnswered{job->spec.id, UserRequest::kSubmit, state, sent});
        OnSubmitted(job, state);
      });
}

void Users::OnSubmitted(const std::shared_ptr<Job>& job, AnsweredState state) {
  const bool answered = state == AnsweredState::kLive || state == AnsweredState::kDone;
  if (!answered && state != AnsweredState::kRefused) {
    if (EventLoop::Now() - job->begun + kRetry < kSubmitTimeout) {
      loop_.After(kRetry, [this, job] { Submit(job); });
      return;
    }
    ++counts_.given_up;
    --awaited_;
    return;
  }
  --awaited_;
  if (!answered) {
    ++counts_.refused;
    return;
  }
  ++counts_.accepted;
  ++open_;
  job->accepted = true;
  recorder_.NoteAccepted(EventLoop::Now() - job->begun);
  if (job->cancel_after.value > 0)
    loop_.After(job->cancel_after, [this, job] {
      if (job->over) return;
      job->cancelling = true;
      recorder_.Record(CancelRequested{job->spec.id});
      Cancel(job);
    });
  SchedulePoll(job);
}

void Users::SchedulePoll(const std::shared_ptr<Job>& job) {
  const double spread = 1 - kPollSpread + 2 * kPollSpread * Draw();
  loop_.After(spread * options_.poll, [this, job] { Poll(job); });
}

void Users::Poll(const std::shared_ptr<Job>& job) {
  if (job->over) return;
  ++counts_.polls;
  Ask({"GET", PathOf(job->spec.id), ""}, kPollWait, [this, job](AnsweredState state, Instant sent) {
    recorder_.Record(UserAnswered{job->spec.id, UserRequest::kPoll, state, sent});
    OnAnswer(job, state);
    if (!job->over) SchedulePoll(job);
  });
}

void Users::Cancel(const std::shared_ptr<Job>& job) {
  Ask({"POST", PathOf(job->spec.id) + "/" + protocol::kCancelSuffix, "{}"}, kSubmitWait,
      [this, job](AnsweredState state, Instant sent) {
        recorder_.Record(UserAnswered{job->spec.id, UserRequest::kCancel, state, sent});
        OnAnswer(job, state);
        if (!job->over) loop_.After(kRetry, [this, job] { Cancel(job); });
      });
}

void Users::OnAnswer(const std::shared_ptr<Job>& job, AnsweredState state) {
  if (job->over || (state != AnsweredState::kDone && state != AnsweredState::kCancelled)) return;
  job->over = true;
  --open_;
  ++(state == AnsweredState::kDone ? counts_.done : counts_.cancelled);
  loop_.After(kFinalPollDelay, [this, job] {
    Ask({"GET", PathOf(job->spec.id), ""}, kPollWait,
        [this, job](AnsweredState again, Instant sent) {
          recorder_.Record(UserAnswered{job->spec.id, UserRequest::kPoll, again, sent});
        });
  });
}

void Users::PollUnknownJob() {
  loop_.After(kUnknownJobInterval, [this] { PollUnknownJob(); });
  const JobId id{IdOf(kNeverSubmitted + static_cast<std::uint64_t>(1000 * Draw()))};
  Ask({"GET", PathOf(id), ""}, kPollWait, [this, id](AnsweredState state, Instant sent) {
    recorder_.Record(UserAnswered{id, UserRequest::kPoll, state, sent});
  });
}

// Chooses a controller as the load balancer does; null if all are busy or skipped as unhealthy.
EventLoop::Caller* Users::Choose(std::size_t& node) {
  const Instant now = EventLoop::Now();
  const auto first = static_cast<std::size_t>(Draw() * static_cast<double>(nodes_.size()));
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    node = (first + i) % nodes_.size();
    Route& route = routes_[node];
    if (now < route.skipped_until) continue;
    for (const auto& caller : route.callers)
      if (!caller->busy()) return caller.get();
    if (route.callers.size() == kMaxCallers) continue;
    route.callers.push_back(loop_.MakeCaller(nodes_[node].address, *traffic_[node]));
    return route.callers.back().get();
  }
  return nullptr;
}

void Users::Ask(HttpCall call, Seconds timeout,
                std::function<void(AnsweredState, Instant)> on_answer) {
  const Instant sent = EventLoop::Now();
  std::size_t node = 0;
  EventLoop::Caller* caller = Choose(node);
  if (caller == nullptr) {
    ++counts_.unanswered;
    on_answer(AnsweredState::kNoAnswer, sent);
    return;
  }
  caller->Call(std::move(call), timeout,
               [this, node, sent, on_answer = std::move(on_answer)](const HttpOutcome& outcome) {
                 Route& route = routes_[node];
                 route.failures = outcome.answered ? 0 : route.failures + 1;
                 if (route.failures >= kFailuresToSkip) {
                   route.failures = 0;
                   route.skipped_until = EventLoop::Now() + kSkipTime;
                 }
                 const AnsweredState state = outcome.answered
                                                 ? StateFromAnswer(outcome.status, outcome.body)
                                                 : AnsweredState::kNoAnswer;
                 if (state == AnsweredState::kNoAnswer) ++counts_.unanswered;
                 on_answer(state, sent);
               });
}

}  // namespace magpie::load_test
