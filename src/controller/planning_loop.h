// The thread that runs planning rounds.
#pragma once

#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>

#include "controller/leader_state.h"
#include "metrics/service_metrics.h"
#include "model/time.h"

namespace magpie {

// Runs a planning round (Scheduler::Tick) soon after each request for one, and at regular intervals
// without requests. The pause after a round is proportional to the round's duration, which bounds
// the share of time spent on planning. After a round this class wakes the threads that carry out
// the decisions, and logs the decisions and the leader's metrics.
class PlanningLoop {
 public:
  struct Options {
    std::string label;              // of this controller, for the log
    std::size_t probe_threads = 1;  // of ProbeLoop
    // Whether the cancellation registry is loaded, for the log.
    std::function<bool()> cancellations_loaded;
  };

  PlanningLoop(LeaderState& state, Options options);

  // Starts the thread. The destructor stops it.
  void Start();

 private:
  // The log output of one round, written after the mutex is released.
  struct RoundLog {
    std::vector<DecisionLog::Line> decisions;
    std::optional<std::string> failover_line;
    std::optional<ServiceMetrics::Table> metrics;
  };

  void Run(const std::stop_token& stop);
  // Runs one round. The caller holds the mutex.
  RoundLog PlanRound();
  // Returns FailoverLine() once per leadership, when the takeover is complete; otherwise none.
  std::optional<std::string> FailoverLineIfSettled(Instant now);
  void NotifyThreads();
  void Log(const RoundLog& log) const;

  LeaderState& state_;
  Options options_;
  // Used only by the thread.
  Instant next_round_;  // earliest start of the next round
  Instant next_metrics_;
  std::jthread thread_;  // declared last: joined before the other members are destroyed
};

}  // namespace magpie
