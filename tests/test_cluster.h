// An in-memory cluster for tests: controllers that share one key-value store, workers, and a clock
// that only the test advances.
#pragma once

#include <gtest/gtest.h>

#include <list>
#include <memory>
#include <string>

#include "controller/job_api.h"
#include "election/leader_election.h"
#include "fake_key_value_store.h"
#include "fake_worker.h"
#include "job_builder.h"
#include "records/records.h"
#include "records/write_batch_committer.h"
#include "scheduling/scheduler.h"

namespace magpie::testing {

inline std::vector<MachineType> Types() {
  return {{"small", {4, 0, 16}, 30, 1, 0.2, 0.1, {20}, {"a", "b"}},
          {"large", {16, 0, 64}, 60, 1, 1.0, 0.4, {20}, {"a", "b"}}};
}

inline std::set<MachineId> ReleasedMachines(const std::vector<CloudCall>& calls) {
  std::set<MachineId> all;
  for (const CloudCall& call : calls) all.insert(call.release.begin(), call.release.end());
  return all;
}

inline TaskId TaskOf(const std::string& job, std::uint32_t index = 0) { return {{job}, index}; }

inline std::string ToBody(const JobSpec& spec) { return protocol::JobToRecord(spec).dump(); }

// A controller without threads or network.
class TestController {
 public:
  TestController(FakeStore& store, const std::string& label, Scheduler::Options options,
                 const std::string& run = "run")
      : store_(store),
        label_(label),
        election(store, label, label + "-" + run, {4}),
        core(options, {}),
        api(store, options.teams, {"a", "b"}, Seconds{0}, {},
            {[] { return Types(); }, [this](const JobId& id) { return core.GetJobProgress(id); },
             [] { return WallTime{1000}; }, [](Seconds) {}, [] { return Instant{1}; },
             [this](const JobId&, Revision) { return cancellations_acknowledged; }}),
        writer_(store,
                {[this] { return election.view().leadership.has_value(); }, [](Seconds) {}}) {
    core.SetTypes(Types());
  }

  // Tries to become the leader and loads the records. Returns whether it is the leader.
  bool TakeOver(Instant now) {
    const auto& view = election.Step();
    if (!view.leadership) return false;
    leadership = *view.leadership;
    core.Start(leadership.epoch, label_ + "-" + std::to_string(leadership.epoch.value) + "-", now);
    ReadJobs();
    for (const char* prefix : {records::kBlockPrefix, records::kPagePrefix})
      for (const StoreEntry& entry : store_.Range(prefix, "", 100000).entries) {
        const RecordPageKey key = *records::ParseRecordPageKey(entry.key);
        core.LoadRecordPage(key, records::RecordPageFromJson(key, entry.value), entry.revision);
      }
    core.FinishLoad(now);
    return true;
  }

  // Loads all job records, as the watch on them would.
  void ReadJobs() {
    for (const StoreEntry& entry : store_.Range(records::kJobPrefix, "", 100000).entries) {
      const auto record = records::JobFromJson(entry.value);
      core.LoadJob(record.spec, record.must_stop(), entry.revision);
    }
  }

  // Writes the scheduler's next batch; returns false if there is none.
  bool WriteOnce(Instant now) {
    const WriteBatch batch = core.NextWriteBatch(now);
    if (batch.empty()) return false;
    Finish(batch, now);
    return true;
  }

  // Writes the batch and passes the outcome to the scheduler.
  WriteOutcome Finish(const WriteBatch& batch, Instant now) {
    const WriteOutcome outcome = writer_.Write(batch, leadership);
    if (outcome.status == WriteOutcome::Status::kWritten) {
      core.OnWriteCommitted(batch, outcome.revision, now);
    } else if (outcome.deposed || outcome.stale) {  // like Controller: no more decisions
      core.Stop();
    } else if (outcome.status == WriteOutcome::Status::kRejected) {
      for (const auto& job : outcome.reloaded)
        core.LoadJob(job.record.spec, job.record.must_stop(), job.revision);
      core.OnWriteRejected(batch);
    }
    return outcome;
  }

  // Returns the job's state in the response to a query, or the HTTP status of an error.
  std::string State(const std::string& id) {
    const HttpResponse response = api.Query(id);
    return response.status == 200 ? Json::parse(response.body).at("mood").get<std::string>()
                                  : std::to_string(response.status);
  }

 private:
  FakeStore& store_;
  std::string label_;

 public:
  bool cancellations_acknowledged = true;  // whether all peers have acknowledged them
  LeaderElection election;
  records::Leadership leadership;
  Scheduler core;
  JobApi api;

 private:
  WriteBatchCommitter writer_;
};

class ClusterTest : public ::testing::Test {
 protected:
  static Scheduler::Options DefaultOptions() {
    Scheduler::Options options;
    options.teams = {{"red", 0, 0, 0, 0}, {"blue", 4, 6, 0, 0}};
    options.headroom = 0;
    return options;
  }

  TestController& AddController(const std::string& label) {
    return controllers_.emplace_back(store, label, DefaultOptions());
  }

  // Starts a new process of a controller under the same label, without its state.
  TestController& RestartController(const std::string& label) {
    return controllers_.emplace_back(store, label, DefaultOptions(),
                                     "run" + std::to_string(++restarts_));
  }

  FakeWorker& AddWorker(const std::string& name, const std::string& type = "small",
                        const std::string& zone = "a", bool spot = false) {
    return workers_.emplace_back(name, type, zone, spot);
  }

  // Sends one heartbeat of the worker to the controller and delivers the response.
  void Heartbeat(TestController& controller, FakeWorker& worker) {
    worker.Deliver(controller.core.OnHeartbeat(worker.Snapshot(), now));
  }

  // Runs rounds of ticks, writes, direct commands and heartbeats.
  void Settle(TestController& controller, int rounds = 4) {
    for (int i = 0; i < rounds; ++i) {
      controller.core.Tick(now, wall);
      while (controller.WriteOnce(now)) {
      }
      DeliverDirectCommands(controller);
      for (FakeWorker& worker : workers_)
        if (!unresponsive_workers_.contains(worker.id())) Heartbeat(controller, worker);
    }
  }

  // Delivers the controller's direct commands; each is executed or rejected, and answered.
  void DeliverDirectCommands(TestController& controller) {
    while (auto direct_command = controller.core.NextDirectCommand(now)) {
      for (FakeWorker& worker : workers_)
        if (worker.id() == direct_command->machine) {
          worker.Deliver(*direct_command);
          answered_commands.push_back(*direct_command);
          controller.core.OnDirectCommandResult(*direct_command, DeliveryStatus::kAnswered,
                                                worker.Snapshot(), now);
        }
    }
  }

  void AdvanceTime(double seconds) {
    now = now + Seconds{seconds};
    wall.value += seconds;
  }

  // Executes cloud calls until there are none: list calls return `listed`, releases are confirmed
  // and provisioning is refused. Returns the calls.
  std::vector<CloudCall> RunCloud(TestController& controller) {
    std::vector<CloudCall> calls;
    while (auto call = controller.core.NextCloudCall(now)) {
      calls.push_back(*call);
      if (call->kind == CloudCall::Kind::kList) controller.core.OnList(listed, now);
      if (call->kind == CloudCall::Kind::kRelease) controller.core.OnReleased(*call, now);
      if (call->kind == CloudCall::Kind::kProvision)
        controller.core.OnProvisioningRefused(*call, now);
    }
    return calls;
  }

  int Submit(TestController& controller, const JobSpec& spec) {
    return controller.api.Submit(ToBody(spec)).status;
  }

  // Submits the job and loads it into the scheduler.
  void Run(TestController& controller, const JobSpec& spec) {
    ASSERT_EQ(Submit(controller, spec), 201);
    controller.ReadJobs();
  }

  std::size_t CountLiveTasks() const {
    std::size_t count = 0;
    for (const FakeWorker& worker : workers_) count += worker.LiveTaskCount();
    return count;
  }

  FakeStore store;
  Instant now{100};
  WallTime wall{1000};
  std::list<TestController> controllers_;
  int restarts_ = 0;
  std::list<FakeWorker> workers_;
  std::set<MachineId> unresponsive_workers_;  // these send no heartbeats in Settle
  std::vector<ListedMachine> listed;
  std::vector<magpie::DirectCommand> answered_commands;  // by DeliverDirectCommands
};

}  // namespace magpie::testing
