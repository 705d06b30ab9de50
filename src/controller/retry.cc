#include "controller/retry.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace magpie {
namespace {

Seconds WithJitter(Seconds mean) {
  std::uniform_real_distribution<double> factor(0.7, 1.3);
  return {mean.value * factor(ThreadRandom())};
}

}  // namespace

void SleepFor(Seconds duration, const std::stop_token& stop) {
  if (duration.value <= 0) return;
  std::mutex mutex;
  std::condition_variable_any stopped;
  std::unique_lock lock(mutex);
  stopped.wait_for(lock, stop, std::chrono::duration<double>(duration.value), [] { return false; });
}

void SleepWithJitter(Seconds mean, const std::stop_token& stop) {
  SleepFor(WithJitter(mean), stop);
}

void SleepWithJitter(Seconds mean) {
  std::this_thread::sleep_for(std::chrono::duration<double>(WithJitter(mean).value));
}

}  // namespace magpie
