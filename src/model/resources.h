// Amounts of machine resources that tasks use.
#pragma once

namespace magpie {

// CPUs, GPUs and memory: the demand of a task, or the capacity or free capacity of a machine.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  // Whether these resources fit into `available`.
  bool Fits(const Resources& available) const {
    constexpr double kRoundingTolerance = 1e-6;  // sums of decimals have rounding errors
    return cpus <= available.cpus + kRoundingTolerance &&
           gpus <= available.gpus + kRoundingTolerance &&
           memory_gb <= available.memory_gb + kRoundingTolerance;
  }
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
};

}  // namespace magpie
