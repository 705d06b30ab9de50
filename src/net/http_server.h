// An HTTP server on cpp-httplib's parser, with blocking loops of its own.
//
// The library's own loop keeps a pool thread per open connection and wakes
// every 10 ms on each idle one, which the small machines can't pay for. Here a
// thread blocks in recv until its connection has something to say, and threads
// without a connection wait to be used again.
#pragma once

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "core/types.h"
#include "net/address.h"

namespace magpie {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  bool retry_after = false;  // tells the user when to come back
  bool brief = false;        // the connection is kept only if few are open
};

class HttpServer : private httplib::Server {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  struct Limits {
    std::size_t connections = 400;
    std::size_t few = 400;  // from so many on, brief ones are closed after an answer
    std::size_t body = 64 * 1024;
    Seconds idle{120};
  };

  HttpServer(Handler handler, Limits limits);
  ~HttpServer() override;

  // Binds and starts accepting; port 0 takes any. False when that fails.
  bool Start(const Address& address);
  int port() const { return port_; }
  void Shutdown();

 private:
  void AcceptLoop();
  void ConnectionLoop();
  void Serve(int socket);
  bool FewOpen();
  void SetIdleLimit(int socket) const;
  static bool HasIdleLimit(int socket);

  Handler handler_;
  Limits limits_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::condition_variable ended_;
  std::deque<int> accepted_;
  std::deque<int> open_;
  std::size_t idle_threads_ = 0;
  std::size_t threads_ = 0;
};

}  // namespace magpie
