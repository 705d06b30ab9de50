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

constexpr Seconds kStep{0.05};
constexpr double kRoomForMore = 1.25;  // of the tasks in the mean: nothing waits for room
constexpr double kRunTimeSpread = 0.5;
constexpr const char* kZones[] = {"a", "b", "c"};

std::string Number(std::uint64_t n) {
  const std::string text = std::to_string(n);
  return std::string(8 - std::min<std::size_t>(8, text.size()), '0') + text;
}

// Processor time of this thread: other programs do not count.
double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNano = 1e-9;
  return static_cast<double>(time.tv_sec) + kNano * static_cast<double>(time.tv_nsec);
}

double Quantile(std::vector<double>& values, double part) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

Scheduler::Options CoreOptions(const ChurnOptions& options) {
  Scheduler::Options core;
  core.teams = {{"red", 0, 0, 0, 0}};
  core.heartbeat_interval = options.heartbeat_interval;
  core.lease = {45};
  core.headroom = 0;
  core.idle_timeout = {1e9};  // the fleet stays as it is
  core.writes_per_s = options.writes_per_s;
  return core;
}

}  // namespace

ChurnWorld::ChurnWorld(const ChurnOptions& options) : options_(options) {
  for (std::uint32_t i = 0; i < options_.machines; ++i) {
    load_test::SimulatedWorker::Options worker;
    worker.agent.machine = {"vm-" + Number(i)};
    worker.agent.addr = "127.0.0.1:10000";
    worker.agent.type = "plain";
    worker.agent.zone = kZones[i % std::size(kZones)];
    worker.agent.capacity = {2.0 * kRoomForMore * options_.tasks_each, 0, 1e6};
    worker.agent.cache_gb = 1e6;
    worker.agent.heartbeat_interval = options_.heartbeat_interval;
    worker.agent.lease = {45};
    worker.agent.nodes = {"n0"};
    worker.fetch_gb_per_s = 1e6;
    worker.seed = i;
    workers_.push_back(
        std::make_unique<load_test::SimulatedWorker>(std::move(worker), ledger_, *this, now_));
    wake_at_.push_back({});
    Schedule(i);
  }
  Lead();
}

void ChurnWorld::Lead() {
  core_ = std::make_unique<Scheduler>(CoreOptions(options_), Autoscaler::Options{});
  const Resources room{2.0 * kRoomForMore * options_.tasks_each, 0, 1e6};
  core_->SetTypes({{"plain", room, 1e6, 1, 1.0, 0.4, {20}, {"a", "b", "c"}}});
  core_->Start({++stamp_}, "r-", now_);
  core_->FinishLoad(now_);
}

template <typename Step>
auto ChurnWorld::Measure(const char* step, Step run) {
  StepCost& cost = result_.steps[step];
  const double begin = CpuSeconds();
  const auto note = [&] {
    const double took = CpuSeconds() - begin;
    ++cost.calls;
    cost.seconds += took;
    cost.worst = std::max(cost.worst, took);
  };
  if constexpr (std::is_void_v<decltype(run())>) {
    run();
    note();
  } else {
    auto value = run();
    note();
    return value;
  }
}

ChurnResult ChurnWorld::Run() {
  const Instant begin = now_;
  const Instant counted = begin + options_.warm_up;
  const Instant end = counted + options_.measured;
  bool counts = false;
  Instant tick = now_;
  while (now_ < end) {
    now_ = now_ + kStep;
    if (!counts && now_ >= counted) {
      counts = true;
      result_ = {};
      waits_.clear();
    }
    SubmitDue();
    ReportDue();
    WriteDue();
    if (now_ >= tick) {
      Measure("plan", [this] { core_->Tick(now_, {now_.value}); });
      tick = now_ + options_.tick;
    }
    CallCloud();
    SendWrite();
    PushAll();
  }
  for (const auto& worker : workers_) result_.running += static_cast<double>(worker->running());
  result_.waiting_machines = core_->machines_awaiting_commands();
  result_.start_median = Quantile(waits_, 0.5);
  result_.start_99 = Quantile(waits_, 0.99);
  TakeOver();
  return std::move(result_);
}

void ChurnWorld::OnTaskStarted(const MachineId&, const TaskId& task, Attempt, Instant now) {
  ++result_.started;
  const auto it = submitted_.find(task.job);
  if (it != submitted_.end()) waits_.push_back((now - it->second).value);
}

void ChurnWorld::SubmitDue() {
  const Seconds run_time{options_.tasks_each * options_.machines / options_.starts};
  for (due_ += options_.starts * kStep.value; due_ >= options_.array; due_ -= options_.array) {
    JobSpec spec = testing::MakeJob("j-" + Number(++jobs_), options_.array);
    spec.estimate = run_time;
    spec.submitted = {now_.value};
    ledger_.Add({spec, run_time, kRunTimeSpread});
    submitted_[spec.id] = now_;
    const Revision revision{++stamp_};
    store_[records::JobKey(spec.id)] = records::ToJson(records::JobRecord{spec}).dump();
    Measure("accept", [&] { core_->LoadJob(spec, false, revision); });
  }
}

void ChurnWorld::Schedule(std::size_t worker) {
  const Instant at = std::max(workers_[worker]->NextWakeup(), now_ + kStep);
  wake_at_[worker] = at;
  wakes_.push({at, worker});
}

void ChurnWorld::ReportDue() {
  while (!wakes_.empty() && wakes_.top().at <= now_) {
    const Wake wake = wakes_.top();
    wakes_.pop();
    if (wake_at_[wake.worker] != wake.at) continue;
    load_test::SimulatedWorker& worker = *workers_[wake.worker];
    worker.Advance(now_);
    if (const auto out = worker.NextHeartbeat(now_)) Heartbeat(wake.worker, out->heartbeat);
    Schedule(wake.worker);
  }
}

void ChurnWorld::Heartbeat(std::size_t worker, const magpie::Heartbeat& heartbeat) {
  const std::string body =
      Measure("worker's report", [&] { return protocol::HeartbeatToJson(heartbeat).dump(); });
  result_.steps["worker's report"].bytes += body.size();
  const magpie::Heartbeat parsed = Measure(
      "parse report", [&] { return protocol::HeartbeatFromJson(protocol::ParseObject(body)); });
  const HeartbeatResponse reply =
      Measure("lock for report", [&] { return core_->OnHeartbeat(parsed, now_); });
  const std::string answer = Measure("answer report", [&] {
    return protocol::HeartbeatResponseToJson(reply.token, reply.commands).dump();
  });
  Record(testing::DecisionKind::kHeartbeatAnswer, heartbeat.machine.value, answer);
  result_.steps["answer report"].bytes += answer.size();
  workers_[worker]->OnAnswer({agent::Answer::Kind::kOk, reply.token, std::nullopt, reply.commands},
                             now_);
}

std::size_t ChurnWorld::IndexOf(const MachineId& machine) const {
  return std::stoul(machine.value.substr(3));
}

void ChurnWorld::PushAll() {
  for (auto direct_command = core_->NextDirectCommand(now_); direct_command;
       direct_command = core_->NextDirectCommand(now_))
    DirectCommand(*direct_command);
  core_->ScanForProbes(now_);
  for (auto probe = core_->NextProbe(now_); probe; probe = core_->NextProbe(now_))
    DirectCommand(*probe);
}

void ChurnWorld::DirectCommand(const magpie::DirectCommand& direct_command) {
  const std::string body = Measure("make command", [&] {
    return protocol::DirectCommandToJson(direct_command.token, direct_command.agent_epoch,
                                         direct_command.commands)
        .dump();
  });
  result_.steps["make command"].bytes += body.size();
  Record(testing::DecisionKind::kCommand, direct_command.machine.value, body);
  const std::size_t worker = IndexOf(direct_command.machine);
  const agent::DirectCommandReply answer = workers_[worker]->OnDirectCommand(
      direct_command.token, direct_command.agent_epoch, direct_command.commands, now_);
  const std::string text = protocol::HeartbeatToJson(answer.heartbeat).dump();
  const magpie::Heartbeat parsed = Measure("parse command's answer", [&] {
    return protocol::HeartbeatFromJson(protocol::ParseObject(text));
  });
  result_.steps["parse command's answer"].bytes += text.size();
  Measure("lock for command", [&] {
    core_->OnDirectCommandResult(direct_command, DeliveryStatus::kAnswered, parsed, now_);
  });
  Schedule(worker);
}

void ChurnWorld::Record(testing::DecisionKind kind, const std::string& receiver, std::string body) {
  if (options_.decisions == nullptr) return;
  options_.decisions->Add({kind, now_, "leader", receiver, std::move(body)});
}

void ChurnWorld::CallCloud() {
  for (auto call = core_->NextCloudCall(now_); call; call = core_->NextCloudCall(now_)) {
    Record(testing::DecisionKind::kCloudCall, "cloud", testing::BodyOf(*call));
    if (call->kind == CloudCall::Kind::kRelease) core_->OnReleased(*call, now_);
    if (call->kind == CloudCall::Kind::kProvision) core_->OnProvisioningRefused(*call, now_);
    if (call->kind == CloudCall::Kind::kList) core_->OnList({}, now_);
  }
}

void ChurnWorld::WriteDue() {
  if (!write_ || write_->done > now_) return;
  const Revision revision{++stamp_};
  for (const WriteBatch::Drop& drop : write_->plan.drops) store_.erase(records::ToKey(drop.key));
  for (const WriteBatch::Final& final : write_->plan.finals) {
    store_.erase(records::JobKey(final.job));
    submitted_.erase(final.job);
    ledger_.Remove(final.job);
  }
  Measure("lock for written", [&] { core_->OnWriteCommitted(write_->plan, revision, now_); });
  write_.reset();
}

void ChurnWorld::SendWrite() {
  if (write_) return;
  WriteBatch plan = Measure("lock for write", [this] { return core_->NextWriteBatch(now_); });
  if (plan.empty()) return;
  const std::string body = Measure("make transaction", [&] {
    const Transaction txn = records::ToTransaction(plan, {{1}, {1}});
    Json applied = Json::array();
    for (const Change& change : txn.changes) applied.push_back(change.value.value_or(Json()));
    return applied.dump();
  });
  result_.steps["make transaction"].bytes += body.size();
  if (options_.decisions != nullptr)
    Record(testing::DecisionKind::kTransaction, "state",
           TransactionToJson(records::ToTransaction(plan, {{1}, {1}})).dump());
  Count(plan);
  write_ = OpenWrite{std::move(plan), now_ + options_.write_latency};
}

void ChurnWorld::Count(const WriteBatch& plan) {
  ++result_.transactions;
  result_.changes += plan.puts.size() + plan.drops.size() + 2 * plan.finals.size();
  for (const WriteBatch::Put& put : plan.puts) {
    std::string text = records::ToJson(put.records).dump();
    const std::vector<RecordPageEntry> fresh(
        put.records.begin() + static_cast<std::ptrdiff_t>(put.rewritten), put.records.end());
    ++result_.page_puts;
    result_.records += fresh.size();
    result_.rewritten += put.rewritten;
    result_.record_bytes += records::ToJson(fresh).dump().size();
    result_.page_bytes += text.size();
    store_[records::ToKey(put.key)] = std::move(text);
  }
}

// Reads all records as a new leader does, but for the way over the network.
void ChurnWorld::TakeOver() {
  for (const auto& [key, text] : store_) {
    result_.stored_bytes += key.size() + text.size();
    ++(key.starts_with(records::kJobPrefix) ? result_.jobs : result_.pages);
  }
  core_.reset();
  core_ = std::make_unique<Scheduler>(CoreOptions(options_), Autoscaler::Options{});
  const double begin = CpuSeconds();
  core_->Start({++stamp_}, "r-", now_);
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
