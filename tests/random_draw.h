// Random numbers determined by a seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "model/time.h"

namespace magpie::testing {

// Does not use the standard distributions, because their results differ between libraries.
class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : state_(seed) {}
  int Below(int n) { return static_cast<int>(Next() % static_cast<std::uint64_t>(n)); }
  int Between(int min, int max) { return min + Below(max - min + 1); }
  bool Chance(double probability) { return NextUnit() < probability; }
  Seconds Duration(double from, double to) { return {from + (to - from) * NextUnit()}; }
  const std::string& Pick(const std::vector<std::string>& items) {
    return items[static_cast<std::size_t>(Below(static_cast<int>(items.size())))];
  }

 private:
  double NextUnit() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }
  // The SplitMix64 generator.
  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
  }
  std::uint64_t state_;
};

}  // namespace magpie::testing
