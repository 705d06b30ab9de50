// Blocking HTTP calls with a timeout over persistent connections.
//
// cpp-httplib builds the requests and parses the responses, but the connections are managed here.
// The library's client sends head and body separately and polls before and after each step: ten
// system calls and two packets for a small POST. This client needs one send and one recv.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "model/time.h"
#include "net/address.h"

namespace magpie {

// The result of a call. `status` and `body` are set only if `answered` is true.
struct HttpAnswer {
  // False: no connection was established, so the request cannot arrive later.
  bool sent = false;
  // False: no complete response. If `sent` is true, the request may have been carried out.
  bool answered = false;
  int status = 0;
  std::string body;
  // True: the timeout expired, and the connection was neither refused nor closed, as in a network
  // partition. When the server process has exited, its connections are refused or closed at once.
  bool timed_out = false;
};

// Client for one address. Thread-safe: each call in progress uses its own connection.
class HttpClient {
 public:
  // Keeps up to `max_idle` connections open between calls. `timeout` applies to the response.
  HttpClient(Address address, Seconds connect_timeout, Seconds timeout, std::size_t max_idle);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `extra_time` is added to the timeout, for long polls.
  HttpAnswer Get(const std::string& path, Seconds extra_time = {});
  HttpAnswer Post(const std::string& path, const std::string& body);
  // Uses `timeout` instead of the client's timeout.
  HttpAnswer Post(const std::string& path, const std::string& body, Seconds timeout);

 private:
  class Exchange;
  class Connection;
  HttpAnswer Call(const char* method, const std::string& path, const std::string* body,
                  Seconds timeout);
  struct ConnectResult {
    std::unique_ptr<Connection> connection;  // null: connecting failed
    bool timed_out = false;
  };
  // Returns an idle connection, or a new one if there is none.
  ConnectResult AcquireConnection();
  std::unique_ptr<Connection> PopIdle();
  ConnectResult Connect() const;
  void ReleaseConnection(std::unique_ptr<Connection> connection);

  Address address_;
  Seconds connect_timeout_;
  Seconds timeout_;
  std::size_t max_idle_;
  std::unique_ptr<Exchange> exchange_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> idle_;  // guarded by mutex_
};

}  // namespace magpie
