// Revisions of the key-value store and the fencing tokens derived from them.
#pragma once

#include <compare>
#include <cstdint>

namespace magpie {

// Revision of a key, or of the whole key-value store.
struct Revision {
  std::uint64_t value = 0;
  auto operator<=>(const Revision&) const = default;
};

// Authorizes a controller to command workers: a worker ignores any controller with a token lower
// than the highest one that the worker has seen (PROTOCOL, "Tokens").
struct FencingToken {
  std::uint64_t value = 0;
  auto operator<=>(const FencingToken&) const = default;
};

// The high bits of a token hold the leader's epoch, which is the revision of its election. The
// leader may raise the low bits for a single machine, to fence off its own earlier commands.
constexpr std::uint64_t kTokenLowBits = 16;
inline FencingToken FirstFencingToken(Revision epoch) { return {epoch.value << kTokenLowBits}; }
inline Revision EpochOf(FencingToken token) { return {token.value >> kTokenLowBits}; }

}  // namespace magpie
