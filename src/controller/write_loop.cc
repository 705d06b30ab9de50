#include "controller/write_loop.h"

#include <spdlog/spdlog.h>

#include <mutex>
#include <utility>

#include "clock/clock.h"
#include "controller/retry.h"

namespace magpie {
namespace {
constexpr Seconds kPauseAfterRejection{0.05};
}  // namespace

WriteLoop::WriteLoop(LeaderState& state, KeyValueStore& store, std::function<void()> wake_election)
    : state_(state), store_(store), wake_election_(std::move(wake_election)) {}

void WriteLoop::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

void WriteLoop::Run(const std::stop_token& stop) {
  while (const auto work =
             state_.WaitForWork(stop, WorkSignal::kWriteBatch, [this] { return NextWork(); }))
    Commit(*work);
}

std::optional<WriteLoop::Work> WriteLoop::NextWork() {
  if (!state_.scheduler().loaded() || !state_.leadership()) return std::nullopt;
  WriteBatch batch = state_.scheduler().NextWriteBatch(SteadyNow());
  if (batch.empty()) return std::nullopt;
  return Work{std::move(batch), *state_.leadership()};
}

void WriteLoop::Commit(const Work& work) {
  const WriteBatchCommitter::Hooks hooks{[&] { return state_.HoldsLeadership(work.leadership); },
                                         [](Seconds mean) { SleepWithJitter(mean); }};
  WriteBatchCommitter committer(store_, hooks);
  const WriteOutcome outcome = committer.Write(work.batch, work.leadership);
  if (outcome.stale)
    spdlog::error("scheduler state differs from the records epoch={} action=reload",
                  work.leadership.epoch.value);
  if (outcome.deposed || outcome.stale) {
    state_.Relinquish(work.leadership);
    wake_election_();
    return;
  }
  if (outcome.status == WriteOutcome::Status::kRejected) SleepWithJitter(kPauseAfterRejection);
  ApplyOutcome(work, outcome);
}

void WriteLoop::ApplyOutcome(const Work& work, const WriteOutcome& outcome) {
  std::scoped_lock lock(state_.mutex());
  if (state_.leadership() != work.leadership) return;
  const Instant now = SteadyNow();
  Scheduler& scheduler = state_.scheduler();
  switch (outcome.status) {
    case WriteOutcome::Status::kWritten:
      state_.OnStoreReached(now);
      scheduler.OnWriteCommitted(work.batch, outcome.revision, now);
      break;
    case WriteOutcome::Status::kRejected:
      for (const WriteOutcome::Job& job : outcome.reloaded)
        scheduler.LoadJob(job.record.spec, job.record.must_stop(), job.revision);
      scheduler.OnWriteRejected(work.batch);
      break;
    case WriteOutcome::Status::kUnknown:  // only if deposed
    case WriteOutcome::Status::kGivenUp:  // the leadership has ended
      break;
  }
  state_.RequestPlanningIfWanted();
  state_.NotifyCommandThreads();
  state_.NotifyProgress();
}

}  // namespace magpie
