#include "protocol/json_fields.h"

#include <cmath>

namespace magpie::protocol {
namespace {
constexpr std::size_t kMaxTextLength = 200;
constexpr double kMaxAmount = 1e9;
}  // namespace

Json ParseObject(const std::string& text) {
  Json body = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (body.is_discarded()) throw InvalidMessage("not JSON");
  if (!body.is_object()) throw InvalidMessage("not an object");
  return body;
}

void ThrowInvalid(const char* field, const char* problem) {
  throw InvalidMessage(std::string(field) + ": " + problem);
}

const Json* FindField(const Json& object, const char* field) {
  const auto found = object.find(field);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

const Json& RequiredField(const Json& object, const char* field) {
  const Json* value = FindField(object, field);
  if (value == nullptr) ThrowInvalid(field, "missing");
  return *value;
}

const Json& RequiredArray(const Json& object, const char* field) {
  const Json& value = RequiredField(object, field);
  if (!value.is_array()) ThrowInvalid(field, "not a list");
  return value;
}

const Json& CheckObject(const Json& value, const char* field) {
  if (!value.is_object()) ThrowInvalid(field, "not an object");
  return value;
}

std::string ToText(const Json& value, const char* field, EmptyText empty) {
  if (!value.is_string()) ThrowInvalid(field, "not a string");
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > kMaxTextLength || (text.empty() && empty == EmptyText::kRejected))
    ThrowInvalid(field, "bad length");
  return text;
}

double ToAmount(const Json& value, const char* field) {
  if (!value.is_number()) ThrowInvalid(field, "not a number");
  const double amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount)
    ThrowInvalid(field, "out of range");
  return amount;
}

std::string RequiredText(const Json& object, const char* field) {
  return ToText(RequiredField(object, field), field);
}

bool RequiredBool(const Json& object, const char* field) {
  const Json& value = RequiredField(object, field);
  if (!value.is_boolean()) ThrowInvalid(field, "not a boolean");
  return value.get<bool>();
}

bool OptionalBool(const Json& object, const char* field) {
  return FindField(object, field) != nullptr && RequiredBool(object, field);
}

double RequiredAmount(const Json& object, const char* field) {
  return ToAmount(RequiredField(object, field), field);
}

std::uint64_t RequiredCount(const Json& object, const char* field) {
  const Json& value = RequiredField(object, field);
  if (!value.is_number_integer() || (!value.is_number_unsigned() && value.get<std::int64_t>() < 0))
    ThrowInvalid(field, "not a count");
  return value.get<std::uint64_t>();
}

}  // namespace magpie::protocol
