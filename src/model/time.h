// Durations and points in time as distinct types, so that they cannot be mixed up.
#pragma once

#include <compare>

namespace magpie {

// A duration in seconds.
struct Seconds {
  double value = 0;
  auto operator<=>(const Seconds&) const = default;
};
inline Seconds operator+(Seconds left, Seconds right) { return {left.value + right.value}; }
inline Seconds operator-(Seconds left, Seconds right) { return {left.value - right.value}; }
inline Seconds operator*(double factor, Seconds duration) { return {factor * duration.value}; }

// A reading of this machine's steady clock, in seconds.
struct Instant {
  double value = 0;
  auto operator<=>(const Instant&) const = default;
};
inline Instant operator+(Instant start, Seconds duration) { return {start.value + duration.value}; }
inline Instant operator-(Instant end, Seconds duration) { return {end.value - duration.value}; }
inline Seconds operator-(Instant end, Instant start) { return {end.value - start.value}; }

// The time of day in seconds since the Unix epoch. It differs between controllers only by their
// clock skew.
struct WallTime {
  double value = 0;
  auto operator<=>(const WallTime&) const = default;
};
inline Seconds operator-(WallTime end, WallTime start) { return {end.value - start.value}; }

}  // namespace magpie
