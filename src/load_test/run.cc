#include "load_test/run.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "load_test/call_on_loop.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kCheckInterval{0.1};  // between two checks of faults and controllers
constexpr Seconds kDrainTimeout{180};   // for open jobs at the end of a run
constexpr double kWarmUpProgress = 0.2;

void Sleep(Seconds duration) {
  std::this_thread::sleep_for(std::chrono::duration<double>(duration.value));
}

double OwnCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kSecondsPerUs = 1e-6;
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + kSecondsPerUs * static_cast<double>(time.tv_usec);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double LoadAverage() {
  double load = 0;
  getloadavg(&load, 1);
  return load;
}

Checker::Options CheckerOptions(const Scenario& scenario) {
  Checker::Options options;
  options.teams = scenario.teams;
  options.cancel_timeout = scenario.cancel_timeout;
  return options;
}

std::vector<const Traffic*> TrafficPointers(const std::vector<std::unique_ptr<Traffic>>& all) {
  std::vector<const Traffic*> pointers;
  for (const auto& traffic : all) pointers.push_back(traffic.get());
  return pointers;
}

}  // namespace

Run::Run(Scenario scenario, std::string scenario_file, std::filesystem::path folder,
         Progress progress)
    : scenario_(std::move(scenario)),
      scenario_file_(std::move(scenario_file)),
      folder_(std::move(folder)),
      progress_(std::move(progress)),
      recorder_(CheckerOptions(scenario_)),
      leadership_(recorder_) {}

// Callers stop before the objects that they call.
Run::~Run() {
  controllers_.KillAll();
  users_loop_.Stop();
  if (users_thread_.joinable()) users_thread_.join();
  services_loop_.Stop();
  if (services_thread_.joinable()) services_thread_.join();
  workers_.reset();
}

nlohmann::json Run::Execute() {
  SetUpServices();
  SetUpControllers();
  SetUpWorkers();
  SetUpUsers();
  PlaceMachines();
  StartThreads();
  StartControllers();
  AwaitHealth();
  CallOnLoop(users_loop_, [this] {
    users_->Begin();
    return true;
  });
  ExecuteUntil(EventLoop::Now() + scenario_.warm_up, 0, kWarmUpProgress);
  recorder_.BeginMeasuring();
  const Sample begin = TakeSample();
  faults_->Schedule(scenario_.faults, EventLoop::Now());
  ExecuteUntil(EventLoop::Now() + scenario_.measured_duration, kWarmUpProgress, 1);
  const Sample end = TakeSample();
  CallOnLoop(users_loop_, [this] {
    users_->StopArrivals();
    return true;
  });
  if (scenario_.max_jobs > 0) ExecuteUntil(EventLoop::Now() + kDrainTimeout, 1, 1);
  recorder_.Finish();
  return ResultsToJson(scenario_, Measure(begin, end));
}

void Run::ExecuteUntil(Instant end, double progress_from, double progress_to) {
  const Instant begin = EventLoop::Now();
  while (EventLoop::Now() < end) {
    Sleep(kCheckInterval);
    MeasureControllers();
    controllers_.RestartUnexpectedlyEnded();
    const Instant now = EventLoop::Now();
    faults_->RunDue(now);
    const double fraction =
        (now - begin).value / std::max(kCheckInterval.value, (end - begin).value);
    progress_(progress_from + (progress_to - progress_from) * std::min(1.0, fraction),
              std::to_string(recorder_.on_machines()) + " tasks running, " +
                  std::to_string(recorder_.started()) + " started");
    const bool jobs_finished = CallOnLoop(users_loop_, [this] { return users_->finished(); });
    if (scenario_.max_jobs > 0 && jobs_finished && faults_->empty()) return;
  }
}

void Run::MeasureControllers() {
  const std::string leader = leadership_.Leader();
  controllers_.Measure(leader, EventLoop::Now());
}

Sample Run::TakeSample() {
  Sample sample;
  std::vector<const Traffic*> state_requests;
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    state_requests.push_back(&state_->traffic(controllers_.plan(i).label));
  MeasureControllers();
  sample.at = EventLoop::Now();
  sample.started = recorder_.started();
  sample.completed = recorder_.completed();
  sample.state = CallOnLoop(services_loop_, [this] { return state_->counts(); });
  sample.cloud = CallOnLoop(services_loop_, [this] { return cloud_server_->counts(); });
  sample.users = CallOnLoop(users_loop_, [this] { return users_->counts(); });
  sample.controllers = controllers_.usage();
  sample.own_cpu_s = OwnCpuSeconds();
  sample.heartbeats = SumOf(TrafficPointers(worker_context_.heartbeats));
  sample.commands = SumOf({&worker_context_.commands});
  sample.user_requests = SumOf(TrafficPointers(user_traffic_));
  sample.state_requests = SumOf(state_requests);
  return sample;
}

Measurements Run::Measure(const Sample& begin, const Sample& end) {
  Measurements measured;
  measured.scenario_file = scenario_file_;
  measured.begin = begin;
  measured.end = end;
  measured.statistics = recorder_.statistics();
  measured.users = CallOnLoop(users_loop_, [this] { return users_->counts(); });
  measured.open_jobs = CallOnLoop(users_loop_, [this] { return users_->open(); });
  measured.keys = CallOnLoop(services_loop_, [this] { return state_->keys(); });
  measured.tasks_on_machines = recorder_.on_machines();
  measured.controllers = controllers_.usage();
  measured.controller_count = controllers_.size();
  measured.unexpected_exits = controllers_.unexpected_exits();
  measured.redirects = worker_context_.redirects.load();
  measured.refused_commands = worker_context_.rejected_commands.load();
  measured.failed_heartbeats = worker_context_.failed_heartbeats.load();
  measured.accepted_copies = worker_context_.accepted_copies.load();
  measured.load_average = LoadAverage();
  if (const auto own = UsageOf(getpid())) measured.own_peak_mb = own->peak_mb;
  measured.takeovers = leadership_.TakeoversToJson();
  return measured;
}

}  // namespace magpie::load_test
