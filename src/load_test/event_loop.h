// An event loop and the HTTP messages that its servers and clients exchange. Only event_loop.cc
// includes Boost.Asio and Boost.Beast.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "model/time.h"
#include "net/address.h"

namespace magpie::load_test {

// Counts of HTTP messages and of their bytes with headers; "in": received by this process.
struct Traffic {
  std::atomic<std::uint64_t> messages_in{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> messages_out{0};
  std::atomic<std::uint64_t> bytes_out{0};
};

// An HTTP request without its headers. `target` is the path with the query.
struct HttpCall {
  std::string method;
  std::string target;
  std::string body;
};

// The status and body of the HTTP response that a server sends.
struct HttpReply {
  int status = 200;
  std::string body;
};

// The result of a client's request: the status and body of the response, if there was one.
struct HttpOutcome {
  bool answered = false;  // false if there was no connection or no complete response in time
  int status = 0;
  std::string body;
};

// An event loop on one thread: HTTP servers and clients on loopback, and timers.
//
// Handlers run on the loop's thread and must not block. While a loop runs, the loop and the
// objects that it creates are used on its thread; only Post, Stop, Listen and MakeTimer may be
// called from other threads.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop is called.
  void Run();
  void Stop();
  void Post(std::function<void()> work);
  // The steady clock that all loops of this process use.
  static Instant Now();

  // A timer that calls back once, at the time that was set last.
  class Timer {
   public:
    virtual ~Timer() = default;
    virtual void Set(Instant at) = 0;
  };
  std::unique_ptr<Timer> MakeTimer(std::function<void()> callback);
  // Calls back once after the delay, if the loop is still running then.
  void After(Seconds delay, std::function<void()> callback);

  // A listener answers requests until its destruction, which closes all its connections. A handler
  // replies to a request at most once, before or after it returns. Without a reply, the connection
  // is closed after a timeout.
  using ReplyCallback = std::function<void(HttpReply)>;
  using Handler = std::function<void(const HttpCall&, ReplyCallback)>;
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual Address address() const = 0;
  };
  // Port 0 selects a free port. Returns null if it cannot listen. Any thread may call it.
  std::unique_ptr<Listener> Listen(const Address& address, Handler handler, Traffic& traffic);

  // A persistent connection with one request at a time. There are no callbacks after destruction.
  class ClientConnection {
   public:
    virtual ~ClientConnection() = default;
    virtual void Call(HttpCall call, Seconds timeout,
                      std::function<void(const HttpOutcome&)> done) = 0;
    virtual bool busy() const = 0;
  };
  std::unique_ptr<ClientConnection> MakeClientConnection(const Address& address, Traffic& traffic);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace magpie::load_test
