#include "binding_world.h"

#include <time.h>

#include <algorithm>
#include <type_traits>

#include "job_builder.h"
#include "kv/http_key_value_store.h"
#include "protocol/codec.h"
#include "records/records.h"

namespace magpie::bench {
namespace {

constexpr Seconds kTimeStep{0.05};
constexpr double kCapacityFactor = 1.25;  // spare capacity, so that no task waits for a machine
constexpr double kRunTimeSpread = 0.5;
constexpr const char* kZones[] = {"a", "b", "c"};

std::string ZeroPadded(std::uint64_t n) {
  const std::string text = std::to_string(n);
  return std::string(8 - std::min<std::size_t>(8, text.size()), '0') + text;
}

// CPU time of the calling thread, which other processes do not affect.
double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kSecondsPerNanosecond = 1e-9;
  return static_cast<double>(time.tv_sec) +
         kSecondsPerNanosecond * static_cast<double>(time.tv_nsec);
}

double Quantile(std::vector<double>& values, double fraction) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

Scheduler::Options CoreOptions(const ChurnOptions& options) {
  Scheduler::Options core;
  core.teams = {{"red", 0, 0, 0, 0}};
  core.heartbeat_interval = options.heartbeat_interval;
  core.lease = {45};
  core.headroom = 0;
  core.idle_timeout = {1e9};  // no machine is released for being idle
  core.writes_per_s = options.writes_per_s;
  return core;
}

}  // namespace

ChurnSimulation::ChurnSimulation(const ChurnOptions& options) : options_(options) {
  for (std::uint32_t i = 0; i < options_.machines; ++i) {
    load_test::SimulatedWorker::Options worker;
    worker.agent.machine = {"vm-" + ZeroPadded(i)};
    worker.agent.addr = "127.0.0.1:10000";
    worker.agent.type = "plain";
    worker.agent.zone = kZones[i % std::size(kZones)];
    worker.agent.capacity = {2.0 * kCapacityFactor * options_.tasks_per_machine, 0, 1e6};
    worker.agent.cache_gb = 1e6;
    worker.agent.heartbeat_interval = options_.heartbeat_interval;
    worker.agent.lease = {45};
    worker.agent.nodes = {"n0"};
    worker.fetch_gb_per_s = 1e6;
    worker.seed = i;
    workers_.push_back(
        std::make_unique<load_test::SimulatedWorker>(std::move(worker), ledger_, *this, now_));
    next_wake_up_.push_back({});
    ScheduleWakeUp(i);
  }
  StartCore();
}

void ChurnSimulation::StartCore() {
  core_ = std::make_unique<Scheduler>(CoreOptions(options_), Autoscaler::Options{});
  const Resources capacity{2.0 * kCapacityFactor * options_.tasks_per_machine, 0, 1e6};
  core_->SetTypes({{"plain", capacity, 1e6, 1, 1.0, 0.4, {20}, {"a", "b", "c"}}});
  core_->Start({++last_revision_}, "r-", now_);
  core_->FinishLoad(now_);
}

template <typename Step>
auto ChurnSimulation::Measure(const char* step, Step run) {
  StepCost& cost = result_.steps[step];
  const double begin = CpuSeconds();
  const auto add_cost = [&] {
    const double elapsed = CpuSeconds() - begin;
    ++cost.calls;
    cost.seconds += elapsed;
    cost.max_seconds = std::max(cost.max_seconds, elapsed);
  };
  if constexpr (std::is_void_v<decltype(run())>) {
    run();
    add_cost();
  } else {
    auto value = run();
    add_cost();
    return value;
  }
}

ChurnResult ChurnSimulation::Run() {
  const Instant begin = now_;
  const Instant measure_from = begin + options_.warm_up_time;
  const Instant end = measure_from + options_.measured_time;
  bool measuring = false;
  Instant next_planning = now_;
  while (now_ < end) {
    now_ = now_ + kTimeStep;
    if (!measuring && now_ >= measure_from) {
      measuring = true;
      result_ = {};
      start_latencies_.clear();
    }
    SubmitDueJobs();
    SendDueHeartbeats();
    CompleteDueWrite();
    if (now_ >= next_planning) {
      Measure("plan", [this] { core_->Tick(now_, {now_.value}); });
      next_planning = now_ + options_.planning_interval;
    }
    RespondToCloudCalls();
    StartWrite();
    DeliverDirectCommandsAndProbes();
  }
  for (const auto& worker : workers_)
    result_.tasks_running += static_cast<double>(worker->running());
  result_.waiting_machines = core_->machines_awaiting_commands();
  result_.median_start_latency_s = Quantile(start_latencies_, 0.5);
  result_.p99_start_latency_s = Quantile(start_latencies_, 0.99);
  MeasureTakeover();
  return std::move(result_);
}

void ChurnSimulation::OnTaskStarted(const MachineId&, const TaskId& task, Attempt, Instant now) {
  ++result_.tasks_started;
  const auto it = submitted_at_.find(task.job);
  if (it != submitted_at_.end()) start_latencies_.push_back((now - it->second).value);
}

void ChurnSimulation::SubmitDueJobs() {
  const Seconds run_time{options_.tasks_per_machine * options_.machines / options_.starts_per_s};
  for (due_tasks_ += options_.starts_per_s * kTimeStep.value; due_tasks_ >= options_.tasks_per_job;
       due_tasks_ -= options_.tasks_per_job) {
    JobSpec spec = testing::MakeJob("j-" + ZeroPadded(++submitted_jobs_), options_.tasks_per_job);
    spec.estimate = run_time;
    spec.submitted = {now_.value};
    ledger_.Add({spec, run_time, kRunTimeSpread});
    submitted_at_[spec.id] = now_;
    const Revision revision{++last_revision_};
    store_[records::JobKey(spec.id)] = records::ToJson(records::JobRecord{spec}).dump();
    Measure("accept", [&] { core_->LoadJob(spec, false, revision); });
  }
}

void ChurnSimulation::ScheduleWakeUp(std::size_t worker) {
  const Instant at = std::max(workers_[worker]->NextWakeup(), now_ + kTimeStep);
  next_wake_up_[worker] = at;
  wake_ups_.push({at, worker});
}

void ChurnSimulation::SendDueHeartbeats() {
  while (!wake_ups_.empty() && wake_ups_.top().at <= now_) {
    const WakeUp wake_up = wake_ups_.top();
    wake_ups_.pop();
    if (next_wake_up_[wake_up.worker] != wake_up.at) continue;
    load_test::SimulatedWorker& worker = *workers_[wake_up.worker];
    worker.Advance(now_);
    if (const auto outgoing = worker.NextHeartbeat(now_))
      DeliverHeartbeat(wake_up.worker, outgoing->heartbeat);
    ScheduleWakeUp(wake_up.worker);
  }
}

void ChurnSimulation::DeliverHeartbeat(std::size_t worker, const magpie::Heartbeat& heartbeat) {
  const std::string body =
      Measure("worker's report", [&] { return protocol::HeartbeatToJson(heartbeat).dump(); });
  result_.steps["worker's report"].bytes += body.size();
  const magpie::Heartbeat parsed = Measure(
      "parse report", [&] { return protocol::HeartbeatFromJson(protocol::ParseObject(body)); });
  const HeartbeatResponse response =
      Measure("lock for report", [&] { return core_->OnHeartbeat(parsed, now_); });
  const std::string response_body = Measure("answer report", [&] {
    return protocol::HeartbeatResponseToJson(response.token, response.commands).dump();
  });
  Record(testing::DecisionKind::kHeartbeatResponse, heartbeat.machine.value, response_body);
  result_.steps["answer report"].bytes += response_body.size();
  workers_[worker]->OnAnswer(
      {agent::Answer::Kind::kOk, response.token, std::nullopt, response.commands}, now_);
}

std::size_t ChurnSimulation::WorkerIndex(const MachineId& machine) const {
  return std::stoul(machine.value.substr(3));
}

void ChurnSimulation::DeliverDirectCommandsAndProbes() {
  for (auto direct_command = core_->NextDirectCommand(now_); direct_command;
       direct_command = core_->NextDirectCommand(now_))
    DeliverDirectCommand(*direct_command);
  core_->ScanForProbes(now_);
  for (auto probe = core_->NextProbe(now_); probe; probe = core_->NextProbe(now_))
    DeliverDirectCommand(*probe);
}

void ChurnSimulation::DeliverDirectCommand(const magpie::DirectCommand& direct_command) {
  const std::string body = Measure("make command", [&] {
    return protocol::DirectCommandToJson(direct_command.token, direct_command.agent_epoch,
                                         direct_command.commands)
        .dump();
  });
  result_.steps["make command"].bytes += body.size();
  Record(testing::DecisionKind::kCommand, direct_command.machine.value, body);
  const std::size_t worker = WorkerIndex(direct_command.machine);
  const agent::DirectCommandReply reply = workers_[worker]->OnDirectCommand(
      direct_command.token, direct_command.agent_epoch, direct_command.commands, now_);
  const std::string text = protocol::HeartbeatToJson(reply.heartbeat).dump();
  const magpie::Heartbeat parsed = Measure("parse command's answer", [&] {
    return protocol::HeartbeatFromJson(protocol::ParseObject(text));
  });
  result_.steps["parse command's answer"].bytes += text.size();
  Measure("lock for command", [&] {
    core_->OnDirectCommandResult(direct_command, DeliveryStatus::kAnswered, parsed, now_);
  });
  ScheduleWakeUp(worker);
}

void ChurnSimulation::Record(testing::DecisionKind kind, const std::string& receiver,
                             std::string body) {
  if (options_.decisions == nullptr) return;
  options_.decisions->Add({kind, now_, "leader", receiver, std::move(body)});
}

void ChurnSimulation::RespondToCloudCalls() {
  for (auto call = core_->NextCloudCall(now_); call; call = core_->NextCloudCall(now_)) {
    Record(testing::DecisionKind::kCloudCall, "cloud", testing::BodyOf(*call));
    if (call->kind == CloudCall::Kind::kRelease) core_->OnReleased(*call, now_);
    if (call->kind == CloudCall::Kind::kProvision) core_->OnProvisioningRefused(*call, now_);
    if (call->kind == CloudCall::Kind::kList) core_->OnList({}, now_);
  }
}

void ChurnSimulation::CompleteDueWrite() {
  if (!pending_write_ || pending_write_->commits_at > now_) return;
  const Revision revision{++last_revision_};
  for (const WriteBatch::Drop& drop : pending_write_->batch.drops)
    store_.erase(records::ToKey(drop.key));
  for (const WriteBatch::Final& final : pending_write_->batch.finals) {
    store_.erase(records::JobKey(final.job));
    submitted_at_.erase(final.job);
    ledger_.Remove(final.job);
  }
  Measure("lock for written",
          [&] { core_->OnWriteCommitted(pending_write_->batch, revision, now_); });
  pending_write_.reset();
}

void ChurnSimulation::StartWrite() {
  if (pending_write_) return;
  WriteBatch batch = Measure("lock for write", [this] { return core_->NextWriteBatch(now_); });
  if (batch.empty()) return;
  const std::string body = Measure("make transaction", [&] {
    const Transaction txn = records::ToTransaction(batch, {{1}, {1}});
    Json applied = Json::array();
    for (const Change& change : txn.changes) applied.push_back(change.value.value_or(Json()));
    return applied.dump();
  });
  result_.steps["make transaction"].bytes += body.size();
  if (options_.decisions != nullptr)
    Record(testing::DecisionKind::kTransaction, "state",
           TransactionToJson(records::ToTransaction(batch, {{1}, {1}})).dump());
  CountWrite(batch);
  pending_write_ = PendingWrite{std::move(batch), now_ + options_.write_latency};
}

void ChurnSimulation::CountWrite(const WriteBatch& batch) {
  ++result_.transactions;
  result_.written_keys += batch.puts.size() + batch.drops.size() + 2 * batch.finals.size();
  for (const WriteBatch::Put& put : batch.puts) {
    std::string text = records::ToJson(put.records).dump();
    const std::vector<RecordPageEntry> new_records_of_page(
        put.records.begin() + static_cast<std::ptrdiff_t>(put.rewritten), put.records.end());
    ++result_.page_puts;
    result_.new_records += new_records_of_page.size();
    result_.rewritten_records += put.rewritten;
    result_.new_record_bytes += records::ToJson(new_records_of_page).dump().size();
    result_.page_bytes += text.size();
    store_[records::ToKey(put.key)] = std::move(text);
  }
}

// Loads all records into a new core, as a new leader does, without the network transfer.
void ChurnSimulation::MeasureTakeover() {
  for (const auto& [key, text] : store_) {
    result_.stored_bytes += key.size() + text.size();
    ++(key.starts_with(records::kJobPrefix) ? result_.jobs : result_.pages);
  }
  core_.reset();
  core_ = std::make_unique<Scheduler>(CoreOptions(options_), Autoscaler::Options{});
  const double begin = CpuSeconds();
  core_->Start({++last_revision_}, "r-", now_);
  for (const auto& [key, text] : store_) {
    const Json value = Json::parse(text);
    if (const auto page = records::ParseRecordPageKey(key)) {
      core_->LoadRecordPage(*page, records::RecordPageFromJson(*page, value), {1});
    } else {
      core_->LoadJob(records::JobFromJson(value).spec, false, {1});
    }
  }
  core_->FinishLoad(now_);
  result_.takeover_seconds = CpuSeconds() - begin;
}

}  // namespace magpie::bench
