#include "stepped_fault_sweep.h"

#include <functional>
#include <random>
#include <vector>

namespace magpie::testing {
namespace {

constexpr int kFaultSeconds = 95;
constexpr int kRecoverySeconds = 50;
constexpr std::size_t kSmallPageBytes = 900;
constexpr std::size_t kDefaultPageBytes = 15UL * 1024;

// Random numbers from the distributions of the standard library.
class StandardRandom {
 public:
  explicit StandardRandom(std::uint64_t seed) : engine_(seed) {}
  int Below(int n) { return std::uniform_int_distribution<int>(0, n - 1)(engine_); }
  int Between(int min, int max) { return min + Below(max - min + 1); }
  // A duration of 0.8 to 2 leases, in whole seconds.
  int RandomSecondsNear(Seconds lease) {
    const std::vector<double> factors{0.8, 1, 1.1, 1.2, 2};
    return static_cast<int>(factors[static_cast<std::size_t>(Below(5))] * lease.value);
  }
  bool Chance(double probability) { return std::bernoulli_distribution(probability)(engine_); }
  const std::string& Pick(const std::vector<std::string>& items) {
    return items[static_cast<std::size_t>(Below(static_cast<int>(items.size())))];
  }

 private:
  std::mt19937_64 engine_;
};

// Runs one seed: schedules all faults first, then advances second by second.
class SteppedSeedRun {
 public:
  SteppedSeedRun(std::uint64_t seed, BrokenBroadcast broken_broadcast, DecisionDigest* decisions)
      : random_(seed),
        // Small record pages are rarely rewritten for other tasks, so unbound records stay longer.
        cluster_(broken_broadcast, 3, 5, random_.Chance(0.5) ? kSmallPageBytes : kDefaultPageBytes),
        labels_(cluster_.labels) {
    cluster_.decisions = decisions;
    ConfigureJobs();
  }

  SeedResult Run() {
    SubmitJobs();
    if (random_.Chance(0.5)) ScheduleRefusalThenOutage(cluster_.Leader());
    for (int i = random_.Between(1, 5); i > 0; --i) ScheduleRandomFault();
    for (const char* job : {"j-1", "j-2"}) cancel_at_[job] = random_.Between(2, 40);
    for (int second = 0; second < kFaultSeconds; ++second) RunSecond(second);
    ClearFaults();
    cluster_.AdvanceSeconds(kRecoverySeconds);
    PollAllJobsAtAllControllers();
    cluster_.AdvanceSeconds(1);
    result_.violations.insert(cluster_.violations.begin(), cluster_.violations.end());
    return std::move(result_);
  }

 private:
  using Machine = SimulatedCluster::Machine;

  void ConfigureJobs() {
    cluster_.job_overrides["j-5"] = [](JobSpec& spec) {
      spec.team = "blue";
      spec.single_zone = true;
    };
    cluster_.job_overrides["j-6"] = [](JobSpec& spec) {
      spec.team = "blue";
      spec.spread = true;
    };
    cluster_.job_overrides["j-7"] = [](JobSpec& spec) {
      spec.team = "blue";
      spec.priority = Priority::kHigh;
    };
  }

  void SubmitJobs() {
    cluster_.AdvanceSeconds(3);
    for (const char* job : {"j-1", "j-2", "j-3", "j-4"})
      cluster_.Submit(job, static_cast<std::uint32_t>(random_.Between(2, 3)), "n1");
    for (const char* job : {"j-5", "j-6"}) cluster_.Submit(job, 3, "n1");
    cluster_.AdvanceSeconds(8);
  }

  // ---- Faults, each scheduled for a given second
  void ScheduleAt(int second, std::string description, std::function<void()> action) {
    schedule_.emplace(
        second, [this, description = std::move(description), action = std::move(action)] {
          result_.fault_log += std::to_string(static_cast<int>(cluster_.now.value) - 100) +
                               " s: " + description + "\n";
          action();
        });
  }
  void RecordFault(const char* kind) { result_.faults.insert(kind); }

  void RefuseStoreCalls(int from, int length, const std::string& label) {
    RecordFault("controller refused");
    ScheduleAt(from, "key-value store refuses " + label, [this, label] {
      if (cluster_.controllers.contains(label))
        cluster_.controllers.at(label)->store.refused = true;
    });
    ScheduleAt(from + length, "key-value store no longer refuses " + label, [this, label] {
      if (cluster_.controllers.contains(label))
        cluster_.controllers.at(label)->store.refused = false;
    });
  }

  void ScheduleOutage(int from, int length) {
    RecordFault("outage");
    ScheduleAt(from, "outage starts", [this] { cluster_.store.outage = true; });
    ScheduleAt(from + length, "outage ends", [this] { cluster_.store.outage = false; });
  }

  void PartitionControllers(int from, int length, const std::string& a, const std::string& b) {
    RecordFault("partition");
    ScheduleAt(from, a + " cannot reach " + b,
               [this, a, b] { cluster_.partitions.insert({a, b}); });
    ScheduleAt(from + length, a + " can reach " + b,
               [this, a, b] { cluster_.partitions.erase({a, b}); });
  }

  void RestartController(int from, int downtime, const std::string& label) {
    RecordFault("crash");
    ScheduleAt(from, label + " crashes", [this, label] { cluster_.StopController(label); });
    ScheduleAt(from + downtime, label + " restarts", [this, label] {
      if (!cluster_.controllers.contains(label)) cluster_.StartController(label);
    });
  }

  void RestartLeader(int from) {
    ScheduleAt(from, "leader crashes and restarts", [this] {
      const std::string leader = cluster_.Leader();
      if (leader.empty()) return;
      cluster_.StopController(leader);
      cluster_.StartController(leader);
    });
  }

  void PauseController(int from, int length, const std::string& label) {
    RecordFault("paused");
    ScheduleAt(from, label + " is paused", [this, label, length] {
      cluster_.paused_until[label] = cluster_.now + Seconds{1.0 * length};
    });
  }

  void KillMachine(int from, Machine& machine) {
    RecordFault("machine failed");
    if (&machine == &cluster_.machines.front()) return;  // this one never fails
    ScheduleAt(from, "a machine fails", [this, &machine] {
      if (machine.removed) return;
      machine.removed = true;
      machine.died = cluster_.now;
    });
  }

  void PartitionZoneMachines(int from) {
    RecordFault("zone partition");
    const std::string zone = random_.Chance(0.5) ? "a" : "b";
    const int length = random_.RandomSecondsNear(kTestLease);
    ScheduleAt(from, "the machines of zone " + zone + " are partitioned", [this, zone] {
      for (Machine& machine : cluster_.machines)
        machine.partitioned |= machine.worker.zone() == zone;
    });
    ScheduleAt(from + length, "the machines of the zone are reachable again", [this, zone] {
      for (Machine& machine : cluster_.machines)
        if (machine.worker.zone() == zone) machine.partitioned = false;
    });
  }

  void StopHeartbeats(int from, Machine& machine) {
    RecordFault("sends nothing");
    const int length = random_.RandomSecondsNear(kTestLease);
    ScheduleAt(from, "a machine sends nothing", [&machine] { machine.sends_nothing = true; });
    ScheduleAt(from + length, "the machine sends again",
               [&machine] { machine.sends_nothing = false; });
  }

  void RateLimitStoreCalls(int from, int length) {
    RecordFault("rate limiting");
    ScheduleAt(from, "key-value store rate limits 30 % of the calls", [this] {
      for (auto& [label, controller] : cluster_.controllers)
        controller->store.rate_limited = [this] { return random_.Chance(0.3); };
    });
    ScheduleAt(from + length, "key-value store no longer rate limits calls", [this] {
      for (auto& [label, controller] : cluster_.controllers)
        controller->store.rate_limited = [] { return false; };
    });
  }

  // Disconnects machines for about a lease and restarts the leader around their reconnection.
  void DisconnectMachinesNearLeaseDuration(int from) {
    RecordFault("disconnected for about a lease");
    const int length = random_.RandomSecondsNear(kTestLease);
    const int kind = random_.Below(3);
    for (Machine& machine : cluster_.machines)
      if (random_.Chance(0.6)) {
        ScheduleAt(from, machine.worker.id().value + " is disconnected", [&machine, kind] {
          (kind == 0   ? machine.receives_nothing
           : kind == 1 ? machine.sends_nothing
                       : machine.partitioned) = true;
        });
        ScheduleAt(from + length, "the machine is reachable again", [&machine] {
          machine.receives_nothing = machine.sends_nothing = machine.partitioned = false;
        });
      }
    for (int k = 0; k < 3; ++k) RestartLeader(from + length + random_.Between(-2, 9));
  }

  void RepeatHeartbeats(int from, int length) {
    RecordFault("duplicate heartbeats");
    cluster_.stale_first_heartbeat = [this](std::size_t sent) -> std::optional<std::size_t> {
      if (sent == 0 || !random_.Chance(0.5)) return std::nullopt;
      return static_cast<std::size_t>(random_.Below(static_cast<int>(sent)));
    };
    ScheduleAt(from, "heartbeats are duplicated", [this] {
      cluster_.repeat_heartbeat = [this]() -> std::optional<std::pair<Instant, std::string>> {
        if (!random_.Chance(0.3)) return std::nullopt;
        return std::pair(cluster_.now + Seconds{1.0 * random_.Between(2, 60)},
                         random_.Pick(labels_));
      };
    });
    ScheduleAt(from + length, "heartbeats are no longer duplicated",
               [this] { cluster_.repeat_heartbeat = [] { return std::nullopt; }; });
  }

  void DelayCommands(int from, int length) {
    RecordFault("delayed commands");
    const int delay = random_.Between(2, 60);
    ScheduleAt(from, "commands are delayed by " + std::to_string(delay) + " s", [this, delay] {
      cluster_.delay_command = [this, delay] {
        return std::optional(cluster_.now + Seconds{1.0 * delay});
      };
    });
    ScheduleAt(from + length, "commands are no longer delayed",
               [this] { cluster_.delay_command = [] { return std::nullopt; }; });
  }

  // The key-value store refuses only the leader, then all controllers, while users cancel jobs.
  void ScheduleRefusalThenOutage(const std::string& leader) {
    const int from = random_.Between(2, 10);
    RefuseStoreCalls(from, random_.Between(20, 80), leader);
    ScheduleOutage(from + random_.Between(1, 6), random_.Between(46, 75));
    if (random_.Chance(0.4))
      for (const std::string& other : labels_)
        if (other != leader && random_.Chance(0.7)) {
          PartitionControllers(from, 70, leader, other);
          if (random_.Chance(0.7)) PartitionControllers(from, 70, other, leader);
        }
    if (random_.Chance(0.5))
      RestartController(from + random_.Between(1, 7), random_.Below(4), random_.Pick(labels_));
  }

  void ScheduleRandomFault() {
    const int from = random_.Between(1, 60);
    const int length = random_.Between(1, 60);
    const std::string a = random_.Pick(labels_);
    const std::string b = random_.Pick(labels_);
    Machine& machine = *std::next(cluster_.machines.begin(),
                                  random_.Below(static_cast<int>(cluster_.machines.size())));
    switch (random_.Below(16)) {
      case 0:
        return RefuseStoreCalls(from, length, a);
      case 1:
        return ScheduleOutage(from, length);
      case 2:
        PartitionControllers(from, length, a, b);
        if (random_.Chance(0.6)) PartitionControllers(from, length, b, a);
        return;
      case 3:
        return RestartController(from, random_.Below(8), a);
      case 4:
        RecordFault("all controllers crash");
        for (const std::string& label : labels_)
          RestartController(from + random_.Below(2), random_.Below(7), label);
        return;
      case 5:
        return PauseController(from, length, a);
      case 6:
        RecordFault("receives nothing");
        ScheduleAt(from, "a machine receives nothing",
                   [&machine] { machine.receives_nothing = true; });
        return ScheduleAt(from + length, "the machine receives again",
                          [&machine] { machine.receives_nothing = false; });
      case 7:
        RecordFault("slow heartbeats");
        ScheduleAt(from, "heartbeats of a machine become slow",
                   [&machine] { machine.slow_heartbeats = true; });
        return ScheduleAt(from + length, "heartbeats of the machine are fast again",
                          [&machine] { machine.slow_heartbeats = false; });
      case 8:
        return RepeatHeartbeats(from, length);
      case 9:
        RecordFault("leaders restart");
        for (int k = 0; k < 4; ++k) RestartLeader(from + k * random_.Between(1, 9));
        return;
      case 11:
        return KillMachine(from, machine);
      case 12:
        return PartitionZoneMachines(from);
      case 13:
        return StopHeartbeats(from, machine);
      case 14:
        return RateLimitStoreCalls(from, length);
      case 15:
        return DisconnectMachinesNearLeaseDuration(from);
      default:
        return DelayCommands(from, length);
    }
  }

  // ---- Actions of users and tasks each second
  void RunSecond(int second) {
    for (auto [it, last] = schedule_.equal_range(second); it != last; ++it) it->second();
    if (!cluster_.store.outage && random_.Chance(0.08)) DelayNextWrite(second);
    CancelDueJobs(second);
    for (const auto& [job, tasks] : cluster_.jobs) cluster_.Poll(job, random_.Pick(labels_));
    CompleteRandomTasks();
    FailRandomTasks();
    // Users submit another job of the team that is at its limit.
    if (second == 12) cluster_.Submit("j-7", 2, random_.Pick(labels_));
    if (random_.Chance(0.05)) cluster_.Submit("j-3", cluster_.jobs["j-3"], random_.Pick(labels_));
    cluster_.StepOneSecond();
  }

  void DelayNextWrite(int second) {
    cluster_.store.next_commit =
        random_.Chance(0.6) ? FakeStore::Fault::kCommitLate : FakeStore::Fault::kLoseResponse;
    cluster_.late_writes.push_back(cluster_.now + Seconds{1.0 * random_.Between(2, 12)});
    RecordFault("late writes");
    result_.fault_log +=
        std::to_string(second) + " s: the next write commits late or loses its response\n";
  }

  void CancelDueJobs(int second) {
    for (const auto& [job, from] : cancel_at_) {
      if (second < from || cluster_.acknowledged_cancellations.contains(job)) continue;
      const std::string& via = random_.Pick(labels_);
      if (cluster_.Cancel(job, via) == "withdrawn")
        result_.fault_log += std::to_string(second) + " s: cancellation of " + job +
                             " acknowledged by " + via + "\n";
    }
  }

  // Tasks of j-4 complete at different times.
  void CompleteRandomTasks() {
    for (Machine& machine : cluster_.machines)
      for (std::uint32_t i = 0; i < 3; ++i) {
        const TaskId task{{"j-4"}, i};
        if (random_.Chance(0.02) && machine.worker.HasLiveTask(task) && !machine.removed) {
          machine.worker.End(task, ExitReason::kDone);
          cluster_.completed.insert(task);
        }
      }
  }

  // Tasks that fail are started again.
  void FailRandomTasks() {
    for (Machine& machine : cluster_.machines)
      for (const char* job : {"j-3", "j-5", "j-6"})
        for (std::uint32_t i = 0; i < 3; ++i)
          if (random_.Chance(0.01) && !machine.removed)
            machine.worker.End({{job}, i},
                               random_.Chance(0.5) ? ExitReason::kError : ExitReason::kStopped);
  }

  // ---- Recovery and final checks
  void ClearFaults() {
    cluster_.store.outage = false;
    cluster_.partitions.clear();
    cluster_.paused_until.clear();
    cluster_.delay_command = [] { return std::nullopt; };
    cluster_.repeat_heartbeat = [] { return std::nullopt; };
    cluster_.stale_first_heartbeat = [](std::size_t) { return std::nullopt; };
    for (const std::string& label : labels_) {
      if (!cluster_.controllers.contains(label)) cluster_.StartController(label);
      cluster_.controllers.at(label)->store.refused = false;
      cluster_.controllers.at(label)->store.rate_limited = [] { return false; };
    }
    for (Machine& machine : cluster_.machines)
      machine.receives_nothing = machine.slow_heartbeats = machine.sends_nothing =
          machine.partitioned = false;
  }

  void PollAllJobsAtAllControllers() {
    for (const auto& [job, tasks] : cluster_.jobs)
      for (const std::string& label : labels_) {
        const std::string state = cluster_.Poll(job, label);
        if (state.empty()) result_.violations.insert("unanswered");
        if (cancel_at_.contains(job) && state != "withdrawn" &&
            cluster_.acknowledged_cancellations.contains(job))
          result_.violations.insert("went_back");
      }
  }

  StandardRandom random_;
  SimulatedCluster cluster_;
  const std::vector<std::string>& labels_;
  SeedResult result_;
  std::multimap<int, std::function<void()>> schedule_;
  std::map<std::string, int> cancel_at_;
};

}  // namespace

SeedResult RunSteppedSeed(std::uint64_t seed, BrokenBroadcast broken_broadcast,
                          DecisionDigest* decisions) {
  return SteppedSeedRun(seed, broken_broadcast, decisions).Run();
}

}  // namespace magpie::testing
