// An HTTP server that uses cpp-httplib's parser with its own accept and request loops.
//
// The library's loop keeps a pool thread for each open connection and wakes up every 10 ms for each
// idle one, which is too expensive on small machines. Here a few threads share one epoll instance
// for all connections. The thread that epoll wakes serves the request on the blocking socket and
// registers the connection again. An idle connection costs little more than its socket, whereas a
// thread stack would take 40 KB.
#pragma once

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include "model/time.h"
#include "net/address.h"
#include "net/file_descriptor.h"

namespace magpie {

// A request as passed to handlers.
struct HttpRequest {
  std::string method;
  std::string path;  // including the query
  std::string body;
};

// A handler's response; the body is JSON.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::uint32_t retry_after_s = 0;  // value of the Retry-After header; 0: no header
  // Whether to close the connection if more than Limits::keep_alive_connections are open.
  bool close_if_busy = false;
};

// Calls the handler for each request, from several threads concurrently. An exception from the
// handler is logged and answered with 500.
class HttpServer : private httplib::Server {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  struct Limits {
    std::size_t connections = 400;
    // HttpResponse::close_if_busy applies when more connections than this are open.
    std::size_t keep_alive_connections = 400;
    std::size_t threads = 64;                 // maximum number of requests served at the same time
    std::size_t body_bytes = 64 * 1024;       // maximum body length of a request
    std::size_t pending_bytes = 1024 * 1024;  // maximum total of all incomplete requests
    Seconds idle_timeout{120};                // maximum time of a connection without a request
    Seconds receive_timeout{10};  // maximum time from the first bytes of a request to its last
  };

  HttpServer(Handler handler, Limits limits);
  ~HttpServer() override;

  // Listens on the address and starts accepting connections; port 0 selects a free port. False: the
  // address cannot be used, or epoll is not available.
  bool Start(const Address& address);
  int port() const { return port_; }
  // Shuts down all connections, waits for the requests in progress and ends all threads.
  void Shutdown();

 private:
  struct Connection {
    std::uint64_t id = 0;
    FileDescriptor socket;
    bool busy = false;   // a thread serves the connection
    Instant idle_since;  // start of the current idle period
  };
  using ConnectionList = std::list<Connection>;
  struct Connections {
    ConnectionList list;  // ordered by idle time, longest first
    std::unordered_map<std::uint64_t, ConnectionList::iterator> by_id;
    std::uint64_t last_id = 0;
  };
  struct Threads {
    std::size_t waiting = 0;
    std::size_t total = 0;
  };
  struct Descriptors {
    FileDescriptor listener;
    FileDescriptor epoll;
    FileDescriptor stop_event;  // makes all threads exit
  };

  void InstallHandlers();
  void Handle(const httplib::Request& request, httplib::Response& response);
  HttpResponse CallHandler(const HttpRequest& request);
  static void HandleError(httplib::Response& response);
  bool Listen(const Address& address);
  bool CreatePoll();
  void AcceptLoop();
  void AddConnection(FileDescriptor socket);
  bool CloseIdleConnections(Instant now);
  void ServeRequests();
  bool Serve(int socket);
  void StartThread();
  enum class Registration { kFirst, kAgain };
  bool WaitForInput(const Connection& connection, Registration registration) const;
  void Close(ConnectionList::iterator connection);
  bool IsBusy();
  void SetReceiveTimeout(int socket) const;
  static bool HasReceiveTimeout(int socket);

  Handler handler_;
  Limits limits_;
  Descriptors descriptors_;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> pending_bytes_{0};
  std::thread acceptor_;
  std::mutex mutex_;
  std::condition_variable thread_ended_;
  Connections connections_;  // guarded by mutex_
  Threads threads_;          // guarded by mutex_
};

}  // namespace magpie
