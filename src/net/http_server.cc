#include "net/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

#include "clock/clock.h"
#include "net/blocking_stream.h"

namespace magpie {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kIdleThreads = 4;  // threads that wait for the next requests
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kServerError = 500;
constexpr Seconds kSendTimeout{5};
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr char kBodyTooLong[] = R"({"error":"body too long"})";
constexpr std::size_t kMaxRequestBytes = 1024 * 1024;  // regardless of the declared length
constexpr std::uint64_t kStopEventId = 0;              // ids of connections start at 1

// Whether to close the connection after the response to the request that this thread serves.
thread_local bool close_after_response = false;

void RequestClose(httplib::Response& response) {
  response.set_header("Connection", "close");
  close_after_response = true;
}

}  // namespace

HttpServer::HttpServer(Handler handler, Limits limits)
    : handler_(std::move(handler)), limits_(limits) {
  set_payload_max_length(limits_.body_bytes);
  set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
  InstallHandlers();
}

HttpServer::~HttpServer() { Shutdown(); }

void HttpServer::InstallHandlers() {
  const auto handle = [this](const httplib::Request& request, httplib::Response& response) {
    Handle(request, response);
  };
  constexpr char kAnyPath[] = ".*";
  Get(kAnyPath, handle);
  Post(kAnyPath, handle);
  Put(kAnyPath, handle);
  Patch(kAnyPath, handle);
  Delete(kAnyPath, handle);
  set_error_handler(
      [](const httplib::Request&, httplib::Response& response) { HandleError(response); });
}

void HttpServer::Handle(const httplib::Request& request, httplib::Response& response) {
  const HttpResponse handler_response = CallHandler({request.method, request.target, request.body});
  response.status = handler_response.status;
  if (handler_response.retry_after_s > 0)
    response.set_header("Retry-After", std::to_string(handler_response.retry_after_s));
  if (handler_response.close_if_busy && IsBusy()) RequestClose(response);
  response.set_content(handler_response.body, "application/json");
}

HttpResponse HttpServer::CallHandler(const HttpRequest& request) {
  if (request.body.size() > limits_.body_bytes) return {kBadRequest, kBodyTooLong};
  try {
    return handler_(request);
  } catch (const std::exception& error) {  // a handler may throw any exception
    spdlog::error("request failed method={} path={} error=\"{}\"", request.method, request.path,
                  error.what());
    return {kServerError, R"({"error":"internal"})"};
  }
}

void HttpServer::HandleError(httplib::Response& response) {
  if (response.status == kTooLarge) {
    // The protocol treats a body that is too long as malformed. The library has consumed the body,
    // so the connection can stay open.
    response.status = kBadRequest;
    response.set_content(kBodyTooLong, "application/json");
  } else if (response.status == kBadRequest && response.body.empty()) {
    // Not an HTTP request, so the rest of the input is unusable. The Connection: close header keeps
    // the client from reusing the connection.
    RequestClose(response);
  }
}

bool HttpServer::Start(const Address& address) {
  if (!Listen(address) || !CreatePoll()) return false;
  {
    std::lock_guard lock(mutex_);
    StartThread();
  }
  acceptor_ = std::thread([this] { AcceptLoop(); });
  return true;
}

bool HttpServer::Listen(const Address& address) {
  FileDescriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!listener.valid()) return false;
  const int on = 1;
  setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(static_cast<std::uint16_t>(address.port));
  if (inet_pton(AF_INET, address.host.c_str(), &bound.sin_addr) != 1 ||
      bind(listener.get(), reinterpret_cast<sockaddr*>(&bound), sizeof bound) != 0 ||
      ::listen(listener.get(), kBacklog) != 0)
    return false;
  // On most systems accepted connections inherit the listener's timeout, which saves a system call
  // for each.
  SetReceiveTimeout(listener.get());
  port_ = address.port;
  if (port_ == 0) {
    socklen_t size = sizeof bound;
    getsockname(listener.get(), reinterpret_cast<sockaddr*>(&bound), &size);
    port_ = ntohs(bound.sin_port);
  }
  descriptors_.listener = std::move(listener);
  return true;
}

bool HttpServer::CreatePoll() {
  descriptors_.epoll = FileDescriptor(epoll_create1(EPOLL_CLOEXEC));
  if (!descriptors_.epoll.valid()) return false;
  descriptors_.stop_event = FileDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  if (descriptors_.stop_event.valid()) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = kStopEventId;
    epoll_ctl(descriptors_.epoll.get(), EPOLL_CTL_ADD, descriptors_.stop_event.get(), &event);
  }
  return true;
}

void HttpServer::Shutdown() {
  if (stopping_.exchange(true)) return;
  if (descriptors_.listener.valid()) shutdown(descriptors_.listener.get(), SHUT_RDWR);
  if (acceptor_.joinable()) acceptor_.join();
  descriptors_.listener.Close();
  std::unique_lock lock(mutex_);
  for (const Connection& connection : connections_.list)
    shutdown(connection.socket.get(), SHUT_RDWR);
  if (descriptors_.stop_event.valid()) eventfd_write(descriptors_.stop_event.get(), 1);
  thread_ended_.wait(lock, [this] { return threads_.total == 0; });
  while (!connections_.list.empty()) Close(connections_.list.begin());
  descriptors_.stop_event.Close();
  descriptors_.epoll.Close();
}

void HttpServer::SetReceiveTimeout(int socket) const {
  const timeval timeout{static_cast<time_t>(limits_.receive_timeout.value), 0};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
}

// Whether an accepted connection inherited the listener's timeout, as on most systems.
bool HttpServer::HasReceiveTimeout(int socket) {
  timeval timeout{};
  socklen_t size = sizeof timeout;
  return getsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, &size) == 0 && timeout.tv_sec > 0;
}

void HttpServer::AcceptLoop() {
  std::optional<bool> timeout_inherited;
  while (!stopping_) {
    FileDescriptor socket(accept4(descriptors_.listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!socket.valid()) {
      if (stopping_) return;
      const bool transient =
          errno == EINTR || errno == ECONNABORTED || errno == EAGAIN || errno == EWOULDBLOCK;
      if (!transient) std::this_thread::sleep_for(kAcceptRetryDelay);  // out of descriptors
      continue;
    }
    if (!timeout_inherited) timeout_inherited = HasReceiveTimeout(socket.get());
    if (!*timeout_inherited) SetReceiveTimeout(socket.get());
    AddConnection(std::move(socket));
  }
}

void HttpServer::AddConnection(FileDescriptor socket) {
  std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  if (!CloseIdleConnections(now)) return;
  if (threads_.total == 0) StartThread();  // no thread could be started, for lack of memory
  const std::uint64_t id = ++connections_.last_id;
  connections_.list.push_back({id, std::move(socket), false, now});
  const auto connection = std::prev(connections_.list.end());
  connections_.by_id[id] = connection;
  if (!WaitForInput(*connection, Registration::kFirst)) Close(connection);
}

// Closes connections past the idle timeout. At the connection limit it also closes the one that has
// been idle longest, so that a flood of idle connections does not block new ones. False: the limit
// is reached and all connections are busy. Requires mutex_.
bool HttpServer::CloseIdleConnections(Instant now) {
  bool full = connections_.list.size() >= limits_.connections;
  for (auto connection = connections_.list.begin(); connection != connections_.list.end();) {
    const auto next = std::next(connection);
    if (!connection->busy) {
      if (!full && now - connection->idle_since < limits_.idle_timeout) break;
      Close(connection);
      full = false;
    }
    connection = next;
  }
  return !full;
}

// EPOLLONESHOT reports a connection only once until it is registered again, so that two threads
// never serve the same connection.
bool HttpServer::WaitForInput(const Connection& connection, Registration registration) const {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLONESHOT;
  event.data.u64 = connection.id;
  const int operation = registration == Registration::kFirst ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  return epoll_ctl(descriptors_.epoll.get(), operation, connection.socket.get(), &event) == 0;
}

// Requires mutex_.
void HttpServer::Close(ConnectionList::iterator connection) {
  connections_.by_id.erase(connection->id);
  connections_.list.erase(connection);
}

// Requires mutex_.
void HttpServer::StartThread() {
  ++threads_.total;
  try {
    std::thread([this] { ServeRequests(); }).detach();
  } catch (const std::system_error& error) {
    --threads_.total;
    spdlog::error("request thread start failed error=\"{}\"", error.what());
  }
}

void HttpServer::ServeRequests() {
  std::unique_lock lock(mutex_);
  while (!stopping_ && threads_.waiting < kIdleThreads) {
    ++threads_.waiting;
    lock.unlock();
    epoll_event event{};
    const int count = epoll_wait(descriptors_.epoll.get(), &event, 1, -1);
    lock.lock();
    --threads_.waiting;
    if (count <= 0 || stopping_) continue;
    const auto found = connections_.by_id.find(event.data.u64);
    if (found == connections_.by_id.end()) continue;  // the connection was closed in the meantime
    const auto connection = found->second;
    connection->busy = true;
    if (threads_.waiting == 0 && threads_.total < limits_.threads) StartThread();
    lock.unlock();
    const bool keep_open = Serve(connection->socket.get());
    lock.lock();
    connection->busy = false;
    connection->idle_since = SteadyNow();
    connections_.list.splice(connections_.list.end(), connections_.list, connection);
    if (!keep_open || !WaitForInput(*connection, Registration::kAgain)) Close(connection);
  }
  --threads_.total;
  // Notifies under the lock, so that the server is not destroyed while this thread still uses it.
  thread_ended_.notify_all();
}

// Clients with infrequent requests may outnumber the available connections; above this limit their
// connections are closed after each response.
bool HttpServer::IsBusy() {
  std::lock_guard lock(mutex_);
  return connections_.list.size() > limits_.keep_alive_connections;
}

// Serves the requests that have arrived. False: the connection must be closed.
bool HttpServer::Serve(int socket) {
  BlockingStream stream(socket, {.message_bytes = kMaxRequestBytes,
                                 .send_timeout = kSendTimeout,
                                 .receive_timeout = limits_.receive_timeout,
                                 .pending_bytes = &pending_bytes_,
                                 .max_pending_bytes = limits_.pending_bytes});
  do {
    if (!stream.WaitForMessage()) return false;
    bool closed = false;
    close_after_response = false;
    const bool processed = process_request(stream, false, closed, nullptr);
    // An incomplete request gets no 400 response, because the client would then not retry it.
    if (stream.truncated() || !stream.Flush()) return false;
    if (!processed || closed || close_after_response) return false;
  } while (stream.has_buffered_input());
  return true;
}

}  // namespace magpie
