#include "controller/planning_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <mutex>
#include <utility>

#include "clock/clock.h"
#include "controller/retry.h"
#include "controller/status_lines.h"

namespace magpie {
namespace {

constexpr Seconds kMaxRoundInterval{0.25};
constexpr Seconds kIdleInterval{2};  // while the records are not loaded
constexpr double kMaxPlanningTimeShare = 0.25;
constexpr Seconds kMinPause{0.05};
constexpr Seconds kMetricsInterval{30};

Seconds PauseAfterRound(Seconds round_duration) {
  return std::max(kMinPause,
                  ((1 - kMaxPlanningTimeShare) / kMaxPlanningTimeShare) * round_duration);
}

}  // namespace

PlanningLoop::PlanningLoop(LeaderState& state, Options options)
    : state_(state), options_(std::move(options)) {}

void PlanningLoop::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

void PlanningLoop::Run(const std::stop_token& stop) {
  const std::stop_callback wake_on_stop(stop, [this] { state_.WakeAll(WorkSignal::kPlanning); });
  std::unique_lock lock(state_.mutex());
  while (!stop.stop_requested()) {
    const Seconds max_wait = state_.scheduler().loaded() ? kMaxRoundInterval : kIdleInterval;
    state_.WaitForPlanning(lock, max_wait, stop);
    const Seconds remaining_pause = next_round_ - SteadyNow();
    if (remaining_pause.value > 0) {
      lock.unlock();
      SleepFor(remaining_pause, stop);
      lock.lock();
    }
    state_.OnPlanningStarted();
    if (!state_.scheduler().loaded()) continue;
    const RoundLog log = PlanRound();
    if (!log.decisions.empty() || log.metrics || log.failover_line) {
      lock.unlock();
      Log(log);
      lock.lock();
    }
    NotifyThreads();
  }
}

PlanningLoop::RoundLog PlanningLoop::PlanRound() {
  Scheduler& scheduler = state_.scheduler();
  const Instant begin = SteadyNow();
  scheduler.Tick(begin, WallNow());
  const Instant end = SteadyNow();
  next_round_ = end + PauseAfterRound(end - begin);
  RoundLog log{scheduler.TakeDecisions(), FailoverLineIfSettled(end), std::nullopt};
  if (begin >= next_metrics_) {
    next_metrics_ = begin + kMetricsInterval;
    log.metrics = scheduler.GetServiceMetrics(WallNow());
  }
  return log;
}

std::optional<std::string> PlanningLoop::FailoverLineIfSettled(Instant now) {
  FailoverTimeline& timeline = state_.timeline();
  if (timeline.settled()) return std::nullopt;
  const ReconciliationProgress reconciliation = state_.scheduler().GetReconciliationProgress();
  if (reconciliation.commands_issued > 0)
    timeline.Record(FailoverTimeline::Step::kFirstCommand, now);
  timeline.OnReconciled(reconciliation.reconciled, reconciliation.machines, now);
  if (!timeline.ElapsedUntil(FailoverTimeline::Step::kMostReconciled) || !reconciliation.idle)
    return std::nullopt;
  timeline.Record(FailoverTimeline::Step::kSettled, now);
  return FailoverLine(options_.label, state_.epoch(), reconciliation, timeline);
}

void PlanningLoop::NotifyThreads() {
  state_.NotifyProgress();
  state_.NotifyOne(WorkSignal::kWriteBatch);
  state_.NotifyCommandThreads();
  const std::size_t probes =
      std::min(state_.scheduler().ScanForProbes(SteadyNow()), options_.probe_threads);
  for (std::size_t i = 0; i < probes; ++i) state_.NotifyOne(WorkSignal::kProbe);
  state_.NotifyOne(WorkSignal::kCloudCall);
}

void PlanningLoop::Log(const RoundLog& log) const {
  for (const DecisionLog::Line& decision : log.decisions)
    spdlog::log(decision.notice ? spdlog::level::info : spdlog::level::debug, "{}", decision.text);
  if (log.failover_line) spdlog::info("{}", *log.failover_line);
  if (log.metrics)
    spdlog::info("{}",
                 ServiceMetricsLine(options_.label, options_.cancellations_loaded(), *log.metrics));
}

}  // namespace magpie
