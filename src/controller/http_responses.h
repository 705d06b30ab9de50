// Responses shared by the controller's HTTP handlers.
#pragma once

#include <string>

#include "net/http_server.h"
#include "protocol/codec.h"

namespace magpie {

// A response with an empty JSON object.
inline HttpResponse EmptyResponse(int status) { return {status, "{}"}; }

// A response with an error message. Invalid UTF-8 in `message`, which may quote a request, is
// replaced.
inline HttpResponse ErrorResponse(int status, const std::string& message) {
  return {status, protocol::Json{{"error", message}}.dump(
                      -1, ' ', false, protocol::Json::error_handler_t::replace)};
}

inline HttpResponse MethodNotAllowedResponse(const char* method) {
  return ErrorResponse(405, std::string("use ") + method);
}

// 503 with the time after which the user may retry.
inline HttpResponse BusyResponse(const std::string& message, std::uint32_t retry_after_s) {
  HttpResponse response = ErrorResponse(503, message);
  response.retry_after_s = retry_after_s;
  return response;
}

}  // namespace magpie
