// Addresses of TCP endpoints.
#pragma once

#include <optional>
#include <string>

namespace magpie {

// An IPv4 address and a port.
struct Address {
  std::string host;
  int port = 0;
  // Parses text such as "10.0.0.1:8080"; nullopt if it is malformed.
  static std::optional<Address> Parse(const std::string& text);
};

}  // namespace magpie
