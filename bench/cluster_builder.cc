#include "cluster_builder.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "job_builder.h"

namespace magpie::bench {
namespace {

constexpr Seconds kHeartbeatInterval{10};
constexpr std::uint32_t kTasksPerJob = 64;
constexpr const char* kZones[] = {"a", "b", "c", "d"};

std::string ZeroPadded(std::uint32_t n) {
  std::string text = std::to_string(n);
  return std::string(8 - text.size(), '0') + text;
}

}  // namespace

BenchmarkCluster::BenchmarkCluster(std::uint32_t machines) {
  for (std::uint32_t i = 0; i < machines; ++i) {
    magpie::Heartbeat heartbeat;
    heartbeat.machine = {"vm-" + ZeroPadded(i)};
    heartbeat.addr = "127.0.0.1:1";
    heartbeat.type = "plain";
    heartbeat.zone = kZones[i % 4];
    heartbeat.agent_epoch = 1;
    for (std::uint32_t k = 0; k < kTasksPerMachine; ++k) {
      const std::uint32_t task = i * kTasksPerMachine + k;
      heartbeat.tasks.push_back({{{"j-" + ZeroPadded(task / kTasksPerJob)}, task % kTasksPerJob},
                                 {1},
                                 TaskState::kRunning,
                                 ExitReason::kNone,
                                 false});
    }
    initial_heartbeats_.push_back(std::move(heartbeat));
  }
  heartbeats_ = initial_heartbeats_;
  TakeOver();
}

template <typename Step>
void BenchmarkCluster::MeasureStep(Step step) {
  const auto begin = std::chrono::steady_clock::now();
  step();
  scheduler_time_.value +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

void BenchmarkCluster::Tick() {
  MeasureStep([this] { core_->Tick(now_, wall_time_); });
}

JobSpec BenchmarkCluster::MakeSpec(const std::string& id, std::uint32_t tasks) const {
  JobSpec spec = testing::MakeJob(id, tasks);
  spec.estimate = {1e6};
  spec.deadline = Seconds{1e7};
  return spec;
}

void BenchmarkCluster::TakeOver() {
  Scheduler::Options options;
  options.teams = {{"red", 0, 0, 0, 0}};
  options.heartbeat_interval = kHeartbeatInterval;
  options.lease = {45};
  options.headroom = 0;
  core_ = std::make_unique<Scheduler>(options, Autoscaler::Options{});
  core_->SetTypes({{"plain", {10, 0, 64}, 60, 1, 1.0, 0.4, {20}, {"a", "b", "c", "d"}}});
  MeasureStep([this] { LoadRecords(); });
}

void BenchmarkCluster::LoadRecords() {
  core_->Start({++last_revision_}, "r-", now_);
  const auto tasks = static_cast<std::uint32_t>(heartbeats_.size()) * kTasksPerMachine;
  for (std::uint32_t first = 0; first < tasks; first += kTasksPerJob) {
    const std::uint32_t tasks_in_job = std::min(kTasksPerJob, tasks - first);
    const JobId id{"j-" + ZeroPadded(first / kTasksPerJob)};
    core_->LoadJob(MakeSpec(id.value, tasks_in_job), false, {1});
    std::vector<RecordPageEntry> records;
    for (std::uint32_t i = 0; i < tasks_in_job; ++i) {
      const std::uint32_t machine = (first + i) / kTasksPerMachine;
      records.push_back(
          {id, {i, {1}, false, heartbeats_[machine].machine, heartbeats_[machine].zone}});
    }
    core_->LoadRecordPage({{}, first / kTasksPerJob}, records, {2});
  }
  core_->FinishLoad(now_);
  for (std::size_t i = 0; i < heartbeats_.size(); ++i) HandleHeartbeat(i);
  core_->OnList({}, now_);
}

void BenchmarkCluster::SendHeartbeat(std::size_t machine) {
  MeasureStep([&] { HandleHeartbeat(machine); });
}

void BenchmarkCluster::HandleHeartbeat(std::size_t machine) {
  magpie::Heartbeat& heartbeat = heartbeats_[machine];
  ++heartbeat.sequence;
  const HeartbeatResponse response = core_->OnHeartbeat(heartbeat, now_);
  heartbeat.token = std::max(heartbeat.token, response.token);
}

void BenchmarkCluster::ReportTaskEnd(std::size_t machine) {
  for (TaskStatus& task_status : heartbeats_[machine].tasks)
    if (task_status.state != TaskState::kEnded) {
      task_status.state = TaskState::kEnded;
      task_status.reason = ExitReason::kDone;
      break;
    }
  SendHeartbeat(machine);
}

void BenchmarkCluster::SubmitJob(std::uint32_t tasks) {
  core_->LoadJob(MakeSpec("j-9" + ZeroPadded(++submitted_jobs_), tasks), false, {++last_revision_});
}

void BenchmarkCluster::Restore() {
  heartbeats_ = initial_heartbeats_;
  stopped_machines_ = 0;
  TakeOver();
}

void BenchmarkCluster::AdvanceTime(Seconds time) {
  now_ = now_ + time;
  wall_time_.value += time.value;
  due_heartbeats_ +=
      static_cast<double>(heartbeats_.size()) * time.value / kHeartbeatInterval.value;
  for (; due_heartbeats_ >= 1; --due_heartbeats_) {
    if (next_machine_ >= stopped_machines_) HandleHeartbeat(next_machine_);
    next_machine_ = (next_machine_ + 1) % heartbeats_.size();
  }
}

void BenchmarkCluster::StopMachines(std::size_t machines) {
  stopped_machines_ = machines;
  next_machine_ = machines;
  constexpr int kSteps = 48;  // 12 s in total
  for (int i = 0; i < kSteps; ++i) AdvanceTime({0.25});
}

Seconds BenchmarkCluster::RecoverFromLoss() {
  const Instant start = now_;
  constexpr int kMaxSteps = 40000;  // ends a run that does not recover
  for (int step = 0;
       core_->GetStatus().machines_up + stopped_machines_ > heartbeats_.size() && step < kMaxSteps;
       ++step) {
    AdvanceTime({0.25});
    MeasureStep([this] {
      RespondToProbes();
      core_->Tick(now_, wall_time_);
      RespondToCloudCalls();
    });
  }
  Tick();
  return now_ - start;
}

void BenchmarkCluster::RespondToProbes() {
  for (auto probe = core_->NextProbe(now_); probe; probe = core_->NextProbe(now_)) {
    const auto i = static_cast<std::size_t>(std::stoul(probe->machine.value.substr(3)));
    const bool stopped = i < stopped_machines_;
    if (!stopped) ++heartbeats_[i].sequence;
    core_->OnDirectCommandResult(*probe,
                                 stopped ? DeliveryStatus::kNotSent : DeliveryStatus::kAnswered,
                                 stopped ? std::nullopt : std::optional(heartbeats_[i]), now_);
  }
}

void BenchmarkCluster::RespondToCloudCalls() {
  while (auto call = core_->NextCloudCall(now_)) {
    if (call->kind == CloudCall::Kind::kRelease) core_->OnReleased(*call, now_);
    if (call->kind == CloudCall::Kind::kList) core_->OnListFailed(now_);
    if (call->kind == CloudCall::Kind::kProvision) core_->OnProvisioningRefused(*call, now_);
  }
}

}  // namespace magpie::bench
