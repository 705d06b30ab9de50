#include "simulated_controller.h"

#include "simulated_cluster.h"

namespace magpie::testing {

namespace {

std::vector<std::string> PeersOf(const SimulatedCluster& cluster, const std::string& label) {
  std::vector<std::string> others;
  for (const std::string& other : cluster.labels)
    if (other != label) others.push_back(other);
  return others;
}

// The peers that must acknowledge a cancellation before the user gets a response.
std::vector<std::string> PeersThatMustAcknowledge(const SimulatedCluster& cluster,
                                                  const std::string& label) {
  std::vector<std::string> others = PeersOf(cluster, label);
  if (cluster.broken_broadcast == BrokenBroadcast::kNotifiesOnePeer) others = {others.back()};
  return others;
}

}  // namespace

Scheduler::Options SimulatedSchedulerOptions() {
  Scheduler::Options options;
  options.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, kBlueTeamCpuLimit, 0, 0}};
  options.headroom = 0;
  options.heartbeat_interval = kTestHeartbeatInterval;
  options.lease = kTestLease;
  options.cancel_deadline = kTestCancelDeadline;
  return options;
}

std::vector<MachineType> SimulatedMachineTypes() {
  return {{"small", {8, 0, 32}, 30, 1, 0.2, 0.1, {20}, {"a", "b"}}};
}

SimulatedController::SimulatedController(SimulatedCluster& cluster, std::string name,
                                         const std::string& nonce)
    : label(std::move(name)),
      run_id(nonce),
      store(cluster.store, cluster.now, [this](Seconds length) { Wait(length); }),
      election(store, label, nonce, kTestLeaderLease),
      core(
          [&cluster] {
            Scheduler::Options options = SimulatedSchedulerOptions();
            options.max_page_bytes = cluster.page_bytes;
            options.cancel_deadline = cluster.cancel_deadline;
            options.writes_per_s = cluster.writes_per_s;
            return options;
          }(),
          {}),
      api(store, SimulatedSchedulerOptions().teams, {"a", "b"}, Seconds{0}, {},
          {[] { return SimulatedMachineTypes(); },
           [this](const JobId& id) { return core.GetJobProgress(id); },
           [&cluster] { return cluster.wall; }, [this](Seconds) { WaitForRetry(); },
           [&cluster] { return cluster.now; },
           [this](const JobId& id, Revision revision) {
             const bool all = broadcaster.Broadcast(id, revision);
             return all || cluster_.broken_broadcast == BrokenBroadcast::kNotifiesNoPeer;
           }}),
      cancellations(api.cache(),
                    [this](const JobCache::Cancellation& cancellation) {
                      std::lock_guard lock(mutex);
                      if (core.leading()) core.OnCancelled(cancellation.job, cancellation.revision);
                    }),
      broadcaster(
          {PeersThatMustAcknowledge(cluster, label),
           !CancellationBroadcaster::AllowsEarlyAcknowledgement(kTestLease,
                                                                cluster.cancel_deadline)},
          {[&cluster] { return cluster.now; },
           [this](const std::string& to, const JobId& job, Revision revision) {
             if (cluster_.broken_broadcast == BrokenBroadcast::kNotifiesNoPeer) return false;
             // Lets other actions run between two requests.
             if (cluster_.random && cluster_.random->Chance(0.2))
               Wait(cluster_.random->Duration(0, 0.4));
             if (!cluster_.CanReach(label, to) || !cluster_.IsUp(to)) return false;
             const std::string text = CancellationRegistry::Announcement({job, revision});
             cluster_.Record(DecisionKind::kPeerMessage, label, to, [&] { return text; });
             if (cluster_.broken_broadcast != BrokenBroadcast::kAcknowledgesWithoutRecording &&
                 !cluster_.controllers.at(to)->cancellations.RecordAnnouncement(text))
               return false;
             return cluster_.CanReach(to, label);
           },
           [this](const JobId& job, Revision revision) {
             return cancellations.Record(JobCache::Cancellation{job, revision});
           }}),
      heartbeat_handler(
          {kTestLease, kTestLeaderLease,
           [&] {
             const auto others = PeersOf(cluster, label);
             return std::set<std::string>(others.begin(), others.end());
           }()},
          mutex, core, leader_health, cancellations,
          {[&cluster] { return cluster.now; },
           [this] { return HeartbeatHandler::ClusterView{leader_, epoch_, store_unreachable_}; },
           [] {}, [] {},
           [this](const std::string& to, const std::string& body) -> HttpAnswer {
             cluster_.Record(DecisionKind::kPeerMessage, label, to, [&] { return body; });
             if (!cluster_.IsUp(to)) return {false, false, 0, {}, cluster_.IsPaused(to)};
             if (!cluster_.CanReach(label, to)) return {false, false, 0, {}, true};
             const HttpResponse response = cluster_.controllers.at(to)->heartbeat_handler.Handle(
                 body, HeartbeatRoute::kRelayed);
             if (!cluster_.CanReach(to, label)) return {true, false, 0, {}, true};
             return {true, true, response.status, response.body};
           }}),
      cluster_(cluster),
      writer_(store, {[this] {
                        // Writes cannot wait in the fixed order. In the randomized schedule they
                        // wait while this controller is the leader.
                        return (cluster_.random || store.open()) &&
                               leadership_ == write_leadership_;
                      },
                      [this](Seconds) { WaitForRetry(); }}) {
  core.SetTypes(SimulatedMachineTypes());
  store.next_fault = [this](bool write) {
    return cluster_.inject_fault ? cluster_.inject_fault(label, write) : InjectedFault{};
  };
  store.on_commit = [this](const Transaction& txn) {
    cluster_.Record(DecisionKind::kTransaction, label, SimulatedCluster::kKeyValueStore,
                    [&] { return BodyOf(txn); });
  };
}

// Waits before a retry, for a random delay determined by the cluster's seed. In production,
// ThreadRandom() determines the delay.
void SimulatedController::WaitForRetry() {
  if (cluster_.random) Wait(cluster_.random->Duration(0.1, 1));
}

void SimulatedController::Wait(Seconds length) {
  Fiber* fiber = Fiber::Current();
  if (fiber == nullptr) return;
  const auto position = waiting_fibers_.insert(waiting_fibers_.end(), fiber);
  // End() resumes the fiber early. At the time of the scheduled resume, the fiber may run other
  // work, which must not be resumed.
  const auto token = std::make_shared<bool>(true);
  const std::function<void()> resume = [this, fiber, weak = std::weak_ptr<bool>(token)] {
    if (weak.expired()) return;
    if (cluster_.IsPaused(label))
      cluster_.ScheduleAt(cluster_.paused_until.at(label), [this, fiber, weak] {
        if (!weak.expired()) fiber->Resume();
      });
    else
      fiber->Resume();
  };
  cluster_.ScheduleAfter(length, resume);
  fiber->Wait();
  waiting_fibers_.erase(position);
  if (ended_) throw ProcessEnded{};
}

void SimulatedController::End() {
  ended_ = true;
  while (!waiting_fibers_.empty()) waiting_fibers_.front()->Resume();
}

void SimulatedController::ScheduleRepeatedly(void (SimulatedController::*step)(), double min_gap,
                                             double max_gap) {
  cluster_.ScheduleAfter(
      cluster_.random->Duration(min_gap, max_gap),
      [=, this, weak = std::weak_ptr<bool>(lifetime_)] {
        if (weak.expired()) return;
        const bool idle = step != &SimulatedController::StepElection &&
                          step != &SimulatedController::LoadCancellations && !leadership_;
        if (idle || cluster_.IsPaused(label)) return ScheduleRepeatedly(step, min_gap, max_gap);
        if (step == &SimulatedController::LoadCancellations && cancellations.Loaded()) return;
        cluster_.Spawn([=, this] {
          try {
            (this->*step)();
          } catch (const ProcessEnded&) {
            return;
          }
          ScheduleRepeatedly(step, min_gap, max_gap);
        });
      });
}

void SimulatedController::StartLoops() {
  ScheduleRepeatedly(&SimulatedController::StepElection, 0.3, 1);
  ScheduleRepeatedly(&SimulatedController::LoadCancellations, 0.1, 0.6);
  ScheduleRepeatedly(&SimulatedController::RunScheduler, 0.2, 0.9);
  ScheduleRepeatedly(&SimulatedController::WriteBatches, 0.05, 0.4);
  ScheduleRepeatedly(&SimulatedController::SendDirectCommands, 0.05, 0.3);
  ScheduleRepeatedly(&SimulatedController::SendDirectCommands, 0.05, 0.3);
  ScheduleRepeatedly(&SimulatedController::SendProbes, 0.1, 0.5);
  ScheduleRepeatedly(&SimulatedController::CallCloud, 0.3, 1);
}

void SimulatedController::LoadCancellations() {
  if (serving_request) return;
  loading_cancellations_ = true;
  cancellations.LoadIfNeeded();
  loading_cancellations_ = false;
}

void SimulatedController::RunScheduler() {
  if (!leadership_) return;
  if (!core.loaded() && !LoadRecords()) return;
  WatchJobs();
  if (core.loaded()) core.Tick(cluster_.now, cluster_.wall);
}

void SimulatedController::StepElection() {
  const LeaderElection::View& view = election.Step();
  store_unreachable_ = !view.store_reachable;
  if (!view.store_reachable) return;
  last_store_contact_ = cluster_.now;
  if (leader_ != view.leader) heartbeat_handler.OnLeaderChanged();
  leader_ = view.leader;
  epoch_ = view.epoch;
  if (view.leadership && view.leadership == relinquished_leadership_) {
    if (cluster_.random) election.Resign();  // like ElectionLoop
    return;
  }
  if (view.leadership == leadership_) return;
  core.Stop();
  leadership_ = view.leadership;
  if (leadership_) StartCore();
}

// Like TakeoverLoop::Run, restarts a failed read from the beginning.
bool SimulatedController::LoadRecords() {
  const auto expected = leadership_;
  if (ReadRecords(*expected)) return true;
  if (leadership_ == expected) StartCore();
  return false;
}

void SimulatedController::StartCore() {
  core.Start(leadership_->epoch, label + "-" + std::to_string(leadership_->epoch.value) + "-",
             cluster_.now);
}

bool SimulatedController::ReadRecords(const records::Leadership& expected) {
  watched_revision_ = {};
  if (cluster_.on_leader_loading) cluster_.on_leader_loading();
  for (const char* prefix : {records::kJobPrefix, records::kBlockPrefix, records::kPagePrefix}) {
    const RangeResult range = store.Range(prefix, "", 100000);
    if (range.status != StoreStatus::kOk || leadership_ != expected) return false;
    if (watched_revision_.value == 0) watched_revision_ = range.revision;
    for (const StoreEntry& entry : range.entries) {
      if (prefix == records::kJobPrefix) {
        const auto record = records::JobFromJson(entry.value);
        core.LoadJob(record.spec, record.must_stop(), entry.revision);
      } else {
        const RecordPageKey key = *records::ParseRecordPageKey(entry.key);
        core.LoadRecordPage(key, records::RecordPageFromJson(key, entry.value), entry.revision);
      }
    }
  }
  const Transaction still_leading{records::ConditionsOf(expected), {}};
  if (store.Commit(still_leading).status != StoreStatus::kOk || leadership_ != expected)
    return false;
  core.FinishLoad(cluster_.now);
  if (cluster_.on_leader_loading) cluster_.on_leader_loading();
  return true;
}

void SimulatedController::WatchJobs() {
  const auto expected = leadership_;
  const WatchResult watch = store.Watch(records::kJobPrefix, watched_revision_, {});
  if (watch.status != StoreStatus::kOk || leadership_ != expected) return;
  watched_revision_ = watch.revision;
  for (const WatchEvent& event : watch.events) {
    if (!event.value) {
      core.OnJobRemoved({event.key.substr(2)}, event.revision);
      continue;
    }
    const auto record = records::JobFromJson(*event.value);
    core.LoadJob(record.spec, record.must_stop(), event.revision);
  }
}

void SimulatedController::WriteBatches() {
  for (int i = 0; i < 4 && leadership_ && store.open(); ++i) {
    const WriteBatch batch = core.NextWriteBatch(cluster_.now);
    if (batch.empty()) return;
    const records::Leadership expected = *leadership_;
    write_leadership_ = expected;
    const WriteOutcome outcome = writer_.Write(batch, expected);
    if (outcome.stale) ++cluster_.stale_batches;
    if (leadership_ != expected) return;
    if (outcome.deposed || outcome.stale) {  // like LeaderState::Relinquish
      core.Stop();
      relinquished_leadership_ = std::exchange(leadership_, std::nullopt);
      if (outcome.stale && !cluster_.random) election.Resign();
      return;
    }
    if (outcome.status == WriteOutcome::Status::kWritten) {
      core.OnWriteCommitted(batch, outcome.revision, cluster_.now);
    } else if (outcome.status == WriteOutcome::Status::kRejected) {
      for (const auto& job : outcome.reloaded)
        core.LoadJob(job.record.spec, job.record.must_stop(), job.revision);
      core.OnWriteRejected(batch);
    }
  }
}

void SimulatedController::Send(magpie::DirectCommand direct_command) {
  cluster_.Record(DecisionKind::kCommand, label, direct_command.machine.value,
                  [&] { return BodyOf(direct_command); });
  if (cluster_.random) Wait(cluster_.command_latency());
  if (const auto until = cluster_.delay_command()) {
    cluster_.DeliverCommandAt(*until, direct_command);
    if (cluster_.random) Wait(cluster_.random->Duration(0.2, 2));
    return core.OnDirectCommandResult(direct_command, DeliveryStatus::kUnknown, std::nullopt,
                                      cluster_.now);
  }
  SimulatedCluster::Machine* machine = cluster_.Find(direct_command.machine);
  if (machine == nullptr || !machine->CanReceive() || machine->booted_at > cluster_.now ||
      !machine->IsReachableFrom(label)) {
    if (cluster_.random) Wait(cluster_.random->Duration(0.2, 2));
    return core.OnDirectCommandResult(direct_command, DeliveryStatus::kUnknown, std::nullopt,
                                      cluster_.now);
  }
  if (machine->worker.Deliver(direct_command) && !direct_command.commands.empty())
    cluster_.OnWorkerChanged(*machine);
  cluster_.CheckInvariants();
  const Heartbeat response = machine->worker.Snapshot();
  if (const auto arrival = cluster_.repeat_command())
    cluster_.DeliverCommandAt(*arrival, direct_command);
  if (cluster_.random) Wait(cluster_.command_latency());
  core.OnDirectCommandResult(direct_command, DeliveryStatus::kAnswered, response, cluster_.now);
}

void SimulatedController::SendDirectCommands() {
  // More commands in one call indicate an endless loop.
  constexpr int kMaxAtOnce = 500;
  core.AllowTaskStarts(cancellations.Loaded());
  for (int i = 0; i < kMaxAtOnce; ++i) {
    auto direct_command = core.NextDirectCommand(cluster_.now);
    if (!direct_command) return;
    cancellations.RemoveCancelledStarts(*direct_command);
    Send(std::move(*direct_command));
  }
  cluster_.violations.insert("endless");
}

void SimulatedController::SendProbes() {
  for (int i = 0; i < 8; ++i) {
    const auto probe = core.NextProbe(cluster_.now);
    if (!probe) break;
    Send(*probe);
  }
}

void SimulatedController::CallCloud() {
  // Like CloudLoop, a leader without contact to the key-value store makes no cloud calls, so it
  // releases no machine.
  if (cluster_.now - last_store_contact_ >= kTestLeaderLease) return;
  for (int i = 0; i < 8; ++i) {
    const auto call = core.NextCloudCall(cluster_.now);
    if (!call) return;
    cluster_.Record(DecisionKind::kCloudCall, label, SimulatedCluster::kCloud,
                    [&] { return BodyOf(*call); });
    if (call->kind == CloudCall::Kind::kList) {
      std::vector<ListedMachine> listed;
      for (const auto& machine : cluster_.machines)
        if (!machine.removed || machine.died)
          listed.push_back({machine.worker.id(),
                            "127.0.0.1:1",
                            "small",
                            machine.worker.zone(),
                            machine.worker.spot(),
                            machine.died && cluster_.now - *machine.died > Seconds{30}
                                ? ListedMachine::State::kFailed
                                : ListedMachine::State::kRunning,
                            {100}});
      core.OnList(listed, cluster_.now);
    } else if (call->kind == CloudCall::Kind::kRelease) {
      for (const MachineId& id : call->release)
        if (auto* machine = cluster_.Find(id)) {
          machine->removed = true;
          machine->died.reset();
        }
      core.OnReleased(*call, cluster_.now);
    } else if (cluster_.grants_provisioning && cluster_.MachineCount() < kMaxTestMachines) {
      std::vector<MachineId> provisioned;
      for (std::uint32_t k = 0; k < call->scale_out.count; ++k)
        provisioned.push_back(
            cluster_.AddProvisionedMachine(call->scale_out.name + "-" + std::to_string(k),
                                           call->scale_out.kind.zone, call->scale_out.kind.spot));
      core.OnProvisioned(*call, provisioned, cluster_.now);
    } else {
      core.OnProvisioningRefused(*call, cluster_.now);
    }
  }
}

void SimulatedController::Step() {
  StepElection();
  cancellations.LoadIfNeeded();
  if (!leadership_) return;
  if (!core.loaded() && !LoadRecords()) return;
  WatchJobs();
  core.Tick(cluster_.now, cluster_.wall);
  WriteBatches();
  SendDirectCommands();
  SendProbes();
  CallCloud();
}

}  // namespace magpie::testing
