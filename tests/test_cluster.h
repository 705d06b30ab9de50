// A small deployment in memory: controllers round one store, workers, a clock
// that moves only when told to.
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
             [this](const JobId&, Revision) { return all_know; }}),
        writer_(store,
                {[this] { return election.view().leadership.has_value(); }, [](Seconds) {}}) {
    core.SetTypes(Types());
  }

  // Takes the leadership if it is free, and rebuilds from the records.
  bool TakeOver(Instant now) {
    const auto& view = election.Step();
    if (!view.leadership) return false;
    leadership = *view.leadership;
    core.Start(leadership.epoch, label_ + "-" + std::to_string(leadership.epoch.value) + "-", now);
    ReadJobs();
    for (const char* prefix : {records::kBlockPrefix, records::kPagePrefix})
      for (const StoreEntry& e : store_.Range(prefix, "", 100000).entries) {
        const RecordPageKey key = *records::ParseRecordPageKey(e.key);
        core.LoadRecordPage(key, records::RecordPageFromJson(key, e.value), e.revision);
      }
    core.FinishLoad(now);
    return true;
  }

  // What the watch on the jobs brings.
  void ReadJobs() {
    for (const StoreEntry& e : store_.Range(records::kJobPrefix, "", 100000).entries) {
      const auto record = records::JobFromJson(e.value);
      core.LoadJob(record.spec, record.must_stop(), e.revision);
    }
  }

  // Carries out the next write of the core; false when there is none.
  bool WriteOnce(Instant now) {
    const WriteBatch plan = core.NextWriteBatch(now);
    if (plan.empty()) return false;
    Finish(plan, now);
    return true;
  }

  WriteOutcome Finish(const WriteBatch& plan, Instant now) {
    const WriteOutcome outcome = writer_.Write(plan, leadership);
    if (outcome.status == WriteOutcome::Status::kWritten) {
      core.OnWriteCommitted(plan, outcome.revision, now);
    } else if (outcome.deposed || outcome.stale) {  // as the controller: commands nobody any more
      core.Stop();
    } else if (outcome.status == WriteOutcome::Status::kRejected) {
      for (const auto& job : outcome.reloaded)
        core.LoadJob(job.record.spec, job.record.must_stop(), job.revision);
      core.OnWriteRejected(plan);
    }
    return outcome;
  }

  std::string State(const std::string& id) {
    const HttpResponse r = api.Query(id);
    return r.status == 200 ? Json::parse(r.body).at("mood").get<std::string>()
                           : std::to_string(r.status);
  }

 private:
  FakeStore& store_;
  std::string label_;

 public:
  bool all_know = true;  // of a cancellation that is announced
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
    Scheduler::Options o;
    o.teams = {{"red", 0, 0, 0, 0}, {"blue", 4, 6, 0, 0}};
    o.headroom = 0;
    return o;
  }

  TestController& AddController(const std::string& label) {
    return controllers_.emplace_back(store, label, DefaultOptions());
  }

  // A controller that ended is there again, under its label and with nothing it knew.
  TestController& Again(const std::string& label) {
    return controllers_.emplace_back(store, label, DefaultOptions(),
                                     "run" + std::to_string(++runs_));
  }

  FakeWorker& AddWorker(const std::string& name, const std::string& type = "small",
                        const std::string& zone = "a", bool spot = false) {
    return workers_.emplace_back(name, type, zone, spot);
  }

  // One report of the worker to the node, and its response.
  void Heartbeat(TestController& node, FakeWorker& worker) {
    worker.Deliver(node.core.OnHeartbeat(worker.Snapshot(), now));
  }

  // Places, writes, pushes and reports until nothing changes any more.
  void Settle(TestController& node, int rounds = 4) {
    for (int i = 0; i < rounds; ++i) {
      node.core.Tick(now, wall);
      while (node.WriteOnce(now)) {
      }
      while (auto direct_command = node.core.NextDirectCommand(now)) {
        for (FakeWorker& w : workers_)
          if (w.id() == direct_command->machine) {
            w.Take(*direct_command);
            node.core.OnDirectCommandResult(*direct_command, DeliveryStatus::kAnswered,
                                            w.Snapshot(), now);
          }
      }
      for (FakeWorker& w : workers_)
        if (!unresponsive_workers_.contains(w.id())) Heartbeat(node, w);
    }
  }

  void AdvanceTime(double seconds) {
    now = now + Seconds{seconds};
    wall.value += seconds;
  }

  // Cloud calls until there are none due; lists come from `listed`, and
  // releases are carried out.
  std::vector<CloudCall> RunCloud(TestController& node) {
    std::vector<CloudCall> calls;
    while (auto call = node.core.NextCloudCall(now)) {
      calls.push_back(*call);
      if (call->kind == CloudCall::Kind::kList) node.core.OnList(listed, now);
      if (call->kind == CloudCall::Kind::kRelease) node.core.OnReleased(*call, now);
      if (call->kind == CloudCall::Kind::kProvision) node.core.OnProvisioningRefused(*call, now);
    }
    return calls;
  }

  int Submit(TestController& node, const JobSpec& spec) {
    return node.api.Submit(ToBody(spec)).status;
  }

  // Submits to the leader and lets it know.
  void Run(TestController& node, const JobSpec& spec) {
    ASSERT_EQ(Submit(node, spec), 201);
    node.ReadJobs();
  }

  std::size_t CountLiveTasks() const {
    std::size_t n = 0;
    for (const FakeWorker& w : workers_) n += w.LiveTaskCount();
    return n;
  }

  FakeStore store;
  Instant now{100};
  WallTime wall{1000};
  std::list<TestController> controllers_;
  int runs_ = 0;
  std::list<FakeWorker> workers_;
  std::set<MachineId> unresponsive_workers_;
  std::vector<ListedMachine> listed;
};

}  // namespace magpie::testing
