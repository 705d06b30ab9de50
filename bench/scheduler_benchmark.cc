// Measures how the cost of the scheduler core grows with the number of machines: the time of one
// step and the heap that the scheduler uses. Times depend on the machine that runs the benchmark.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "cluster_builder.h"

namespace magpie::bench {
namespace {

double InspectedCount(BenchmarkCluster& cluster) {
  if (!cluster.has_core()) return 0;
  const SchedulerStatus status = cluster.core().GetStatus();
  return static_cast<double>(status.machines_inspected + status.candidates_evaluated);
}

// Times one step per iteration, without its preparation. Also reports the scheduler's heap at the
// end and the machines and candidates inspected per step, which, unlike time, do not grow with
// cache misses.
template <typename Prepare, typename Step>
void Measure(benchmark::State& state, BenchmarkCluster& cluster, Prepare prepare, Step step) {
  double inspected = 0;
  for (auto _ : state) {
    prepare();
    const double before = InspectedCount(cluster);
    cluster.ResetSchedulerTime();
    step();
    inspected += InspectedCount(cluster) - before;
    state.SetIterationTime(cluster.scheduler_time().value);
  }
  state.counters["looks"] = inspected / static_cast<double>(state.iterations());
  const std::size_t heap_with_core = mallinfo2().uordblks;
  cluster.DropCore();
  state.counters["heap_mb"] = static_cast<double>(heap_with_core - mallinfo2().uordblks) / 1e6;
}

std::uint32_t MachineCount(const benchmark::State& state) {
  return static_cast<std::uint32_t>(state.range(0));
}

void UnchangedReport(benchmark::State& state) {
  BenchmarkCluster cluster(MachineCount(state));
  std::size_t next = 0;
  Measure(
      state, cluster, [&] { next = (next + 7919) % cluster.size(); },
      [&] { cluster.SendHeartbeat(next); });
}

void ReportWithOneEnd(benchmark::State& state) {
  BenchmarkCluster cluster(MachineCount(state));
  std::size_t next = 0;
  std::size_t machines_with_end = 0;
  Measure(
      state, cluster,
      [&] {
        if (++machines_with_end > cluster.size()) {  // a task of every machine has ended
          cluster.Restore();
          machines_with_end = 1;
        }
        next = (next + 7919) % cluster.size();
      },
      [&] { cluster.ReportTaskEnd(next); });
}

void QuietTick(benchmark::State& state) {
  BenchmarkCluster cluster(MachineCount(state));
  // Lets every machine send another heartbeat, which confirms the fencing token to the scheduler.
  for (int i = 0; i < 60; ++i) {
    cluster.AdvanceTime({0.25});
    cluster.Tick();
  }
  Measure(state, cluster, [&] { cluster.AdvanceTime({0.25}); }, [&] { cluster.Tick(); });
}

void TickWithAJobOf100(benchmark::State& state) {
  BenchmarkCluster cluster(MachineCount(state));
  Measure(
      state, cluster,
      [&] {
        cluster.Restore();
        cluster.SubmitJob(100);
      },
      [&] { cluster.Tick(); });
}

void LossOfATenth(benchmark::State& state) {
  BenchmarkCluster cluster(MachineCount(state));
  // With more machines, recovery takes longer, because few probes run at a time, and each second of
  // it costs more. The counter lasts_s separates the two effects.
  Seconds recovery_time;
  Measure(
      state, cluster,
      [&] {
        cluster.Restore();
        cluster.StopMachines(cluster.size() / 10);
      },
      [&] { recovery_time = recovery_time + cluster.RecoverFromLoss(); });
  state.counters["lasts_s"] = recovery_time.value / static_cast<double>(state.iterations());
}

void TakeOver(benchmark::State& state) {
  BenchmarkCluster cluster(MachineCount(state));
  Measure(state, cluster, [&] { cluster.DropCore(); }, [&] { cluster.TakeOver(); });
}

void SetMachineCounts(benchmark::internal::Benchmark* family) {
  family->UseManualTime()->ArgName("machines")->Unit(benchmark::kMicrosecond);
  for (const int machines : {500, 2000, 8000, 32000}) family->Arg(machines);
}

BENCHMARK(UnchangedReport)->Apply(SetMachineCounts);
BENCHMARK(ReportWithOneEnd)->Apply(SetMachineCounts);
BENCHMARK(QuietTick)->Apply(SetMachineCounts)->Iterations(200);
BENCHMARK(TickWithAJobOf100)->Apply(SetMachineCounts);
BENCHMARK(LossOfATenth)->Apply(SetMachineCounts)->Iterations(3);
BENCHMARK(TakeOver)->Apply(SetMachineCounts)->Iterations(3);

}  // namespace
}  // namespace magpie::bench

BENCHMARK_MAIN();
