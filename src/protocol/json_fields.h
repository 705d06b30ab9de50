// Checked access to the fields of JSON messages. Each function throws InvalidMessage with the name
// of the field if the value does not have the expected form. Internal to the protocol's codec.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/codec.h"

namespace magpie::protocol {

[[noreturn]] void ThrowInvalid(const char* field, const char* problem);

// Returns null if the field is absent or its value is null, which are equivalent (PROTOCOL,
// introduction).
const Json* FindField(const Json& object, const char* field);
const Json& RequiredField(const Json& object, const char* field);
const Json& RequiredArray(const Json& object, const char* field);

// Returns `value` if it is an object; `field` is used in the error message.
const Json& CheckObject(const Json& value, const char* field);
// Whether ToText accepts an empty string.
enum class EmptyText { kRejected, kAllowed };
std::string ToText(const Json& value, const char* field, EmptyText empty = EmptyText::kRejected);
// Accepts a finite, non-negative number of at most 1e9.
double ToAmount(const Json& value, const char* field);

std::string RequiredText(const Json& object, const char* field);
bool RequiredBool(const Json& object, const char* field);
bool OptionalBool(const Json& object, const char* field);  // false if absent
double RequiredAmount(const Json& object, const char* field);
// Accepts an integer from 0 to 2^64 - 1.
std::uint64_t RequiredCount(const Json& object, const char* field);

// A word of the protocol and the value that it represents.
template <typename Value>
struct WordMapping {
  const char* word;
  Value value;
};

template <typename Value, std::size_t kSize>
Value RequiredWord(const Json& object, const char* field,
                   const WordMapping<Value> (&mappings)[kSize]) {
  const std::string text = RequiredText(object, field);
  for (const auto& [word, value] : mappings)
    if (text == word) return value;
  ThrowInvalid(field, "unknown word");
}

// Returns the word of the value, or the first word if the value has none.
template <typename Value, std::size_t kSize>
const char* ToWord(Value value, const WordMapping<Value> (&mappings)[kSize]) {
  for (const auto& mapping : mappings)
    if (mapping.value == value) return mapping.word;
  return mappings[0].word;
}

}  // namespace magpie::protocol
