#include "net/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "net/blocking_stream.h"

namespace magpie {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kIdleThreads = 16;  // kept for the next connections
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kServerError = 500;
constexpr Seconds kSendTimeout{5};
constexpr char kBodyTooLong[] = R"({"error":"body too long"})";
constexpr std::size_t kMostPerRequest = 1024 * 1024;  // bytes read for it, no matter what

thread_local bool close_after = false;

}  // namespace

HttpServer::HttpServer(Handler handler, Limits limits)
    : handler_(std::move(handler)), limits_(limits) {
  set_payload_max_length(limits_.body);
  set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
  auto answer = [this](const httplib::Request& req, httplib::Response& res) {
    HttpRequest request{req.method, req.target, req.body};
    HttpResponse response;
    try {
      response = request.body.size() > limits_.body ? HttpResponse{kBadRequest, kBodyTooLong, false}
                                                    : handler_(request);
    } catch (const std::exception& e) {
      spdlog::error("request {} {}: {}", req.method, req.path, e.what());
      response = {kServerError, R"({"error":"internal"})"};
    }
    res.status = response.status;
    if (response.retry_after) res.set_header("Retry-After", "1");
    if (response.brief && !FewOpen()) {
      res.set_header("Connection", "close");
      close_after = true;
    }
    res.set_content(response.body, "application/json");
  };
  const char* any = ".*";
  Get(any, answer);
  Post(any, answer);
  Put(any, answer);
  Patch(any, answer);
  Delete(any, answer);
  set_error_handler([](const httplib::Request&, httplib::Response& res) {
    // An over-long body is malformed to us. The library has read past it, so
    // the connection may go on.
    if (res.status == kTooLarge) {
      res.status = kBadRequest;
      res.set_content(kBodyTooLong, "application/json");
    } else if (res.status == kBadRequest && res.body.empty()) {
      // No request at all: what follows on this connection can't be trusted.
      // The client must be told, or it would use it again.
      res.set_header("Connection", "close");
      close_after = true;
    }
  });
}

HttpServer::~HttpServer() { Shutdown(); }

bool HttpServer::Start(const Address& address) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (listener_ < 0) return false;
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(static_cast<std::uint16_t>(address.port));
  if (inet_pton(AF_INET, address.host.c_str(), &addr.sin_addr) != 1 ||
      bind(listener_, reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 ||
      ::listen(listener_, kBacklog) != 0) {
    close(listener_);
    listener_ = -1;
    return false;
  }
  // Accepted connections have the listener's time limit, so that it need not be
  // set for each.
  SetIdleLimit(listener_);
  port_ = address.port;
  if (port_ == 0) {
    socklen_t size = sizeof addr;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&addr), &size);
    port_ = ntohs(addr.sin_port);
  }
  acceptor_ = std::thread([this] { AcceptLoop(); });
  return true;
}

void HttpServer::Shutdown() {
  if (stopping_.exchange(true)) return;
  if (listener_ >= 0) shutdown(listener_, SHUT_RDWR);
  if (acceptor_.joinable()) acceptor_.join();
  if (listener_ >= 0) close(listener_);
  std::unique_lock lock(mutex_);
  for (const int socket : open_) shutdown(socket, SHUT_RDWR);
  for (const int socket : accepted_) close(socket);
  accepted_.clear();
  wake_.notify_all();
  ended_.wait(lock, [this] { return threads_ == 0; });
}

void HttpServer::SetIdleLimit(int socket) const {
  const timeval limit{static_cast<time_t>(limits_.idle.v), 0};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

// Most systems hand the listener's limit on to what it accepts.
bool HttpServer::HasIdleLimit(int socket) {
  timeval limit{};
  socklen_t size = sizeof limit;
  return getsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, &size) == 0 && limit.tv_sec > 0;
}

void HttpServer::AcceptLoop() {
  std::optional<bool> inherited;
  while (!stopping_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (stopping_) return;
      if (errno != EINTR && errno != ECONNABORTED && errno != EAGAIN && errno != EWOULDBLOCK)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));  // no sockets left
      continue;
    }
    if (!inherited) inherited = HasIdleLimit(socket);
    if (!*inherited) SetIdleLimit(socket);
    std::lock_guard lock(mutex_);
    if (open_.size() + accepted_.size() >= limits_.connections) {
      close(socket);
      continue;
    }
    accepted_.push_back(socket);
    if (idle_threads_ >= accepted_.size()) {
      wake_.notify_one();
      continue;
    }
    ++threads_;
    try {
      std::thread([this] { ConnectionLoop(); }).detach();
    } catch (const std::system_error& e) {
      --threads_;
      spdlog::error("no thread for a connection: {}", e.what());
      if (threads_ == 0) {
        close(accepted_.back());
        accepted_.pop_back();
      }
    }
  }
}

void HttpServer::ConnectionLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (accepted_.empty()) {
      if (idle_threads_ >= kIdleThreads) break;
      ++idle_threads_;
      wake_.wait(lock, [this] { return stopping_ || !accepted_.empty(); });
      --idle_threads_;
      continue;
    }
    const int socket = accepted_.front();
    accepted_.pop_front();
    open_.push_back(socket);
    lock.unlock();
    Serve(socket);
    lock.lock();
    open_.erase(std::find(open_.begin(), open_.end(), socket));
    close(socket);
  }
  --threads_;
  // Under the lock: nobody may destroy the server before this thread lets go.
  ended_.notify_all();
}

// Clients that come seldom may outnumber the sockets: beyond a few, their
// connections are not kept.
bool HttpServer::FewOpen() {
  std::lock_guard lock(mutex_);
  return open_.size() <= limits_.few;
}

void HttpServer::Serve(int socket) {
  BlockingStream stream(socket, kMostPerRequest, kSendTimeout);
  while (!stopping_ && stream.WaitForData()) {
    bool closed = false;
    close_after = false;
    const bool ok = process_request(stream, false, closed, nullptr);
    if (!stream.Flush() || !ok || closed || close_after) return;
  }
}

}  // namespace magpie
