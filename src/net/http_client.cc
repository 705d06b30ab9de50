#include "net/http_client.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <chrono>
#include <cmath>
#include <limits>

#include "net/blocking_stream.h"
#include "net/file_descriptor.h"

namespace magpie {
namespace {
constexpr int kMaxPort = 65535;
}  // namespace

std::optional<Address> Address::Parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Address address{text.substr(0, colon), 0};
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, address.port);
  in_addr parsed{};
  if (error != std::errc{} || end != last || address.port < 0 || address.port > kMaxPort ||
      inet_pton(AF_INET, address.host.c_str(), &parsed) != 1)
    return std::nullopt;
  return address;
}

// cpp-httplib's client without its connection handling: writes a request to a stream and reads the
// response from it. Stateless between calls.
class HttpClient::Exchange : private httplib::ClientImpl {
 public:
  explicit Exchange(const Address& address) : ClientImpl(address.host, address.port) {
    set_decompress(false);
  }
  bool Run(httplib::Stream& stream, httplib::Request& request, httplib::Response& response) {
    httplib::Error error = httplib::Error::Success;
    return process_request(stream, request, response, false, error);
  }
};

// An open connection and its stream.
class HttpClient::Connection {
 public:
  Connection(FileDescriptor socket, Seconds send_timeout)
      : stream(socket.get(), {.send_timeout = send_timeout}), socket_(std::move(socket)) {}

  void SetReceiveTimeout(Seconds timeout) {
    if (timeout == receive_timeout_) return;
    receive_timeout_ = timeout;
    const double whole_seconds = std::floor(timeout.value);
    const timeval value{static_cast<time_t>(whole_seconds),
                        static_cast<suseconds_t>((timeout.value - whole_seconds) * 1e6)};
    setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
  }
  // Whether the peer has not closed the connection. A recently used one is assumed to be open.
  bool IsOpen() const {
    constexpr std::chrono::milliseconds kRecentUse{200};
    if (std::chrono::steady_clock::now() - last_used < kRecentUse) return true;
    char byte = 0;
    const ssize_t count = recv(socket_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  BlockingStream stream;
  std::chrono::steady_clock::time_point last_used;

 private:
  FileDescriptor socket_;
  Seconds receive_timeout_;
};

HttpClient::HttpClient(Address address, Seconds connect_timeout, Seconds timeout,
                       std::size_t max_idle)
    : address_(std::move(address)),
      connect_timeout_(connect_timeout),
      timeout_(timeout),
      max_idle_(max_idle),
      exchange_(std::make_unique<Exchange>(address_)) {}

HttpClient::~HttpClient() = default;

HttpClient::ConnectResult HttpClient::Connect() const {
  sockaddr_in destination{};
  destination.sin_family = AF_INET;
  destination.sin_port = htons(static_cast<std::uint16_t>(address_.port));
  if (inet_pton(AF_INET, address_.host.c_str(), &destination.sin_addr) != 1) return {};
  FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.valid()) return {};
  if (connect(socket.get(), reinterpret_cast<const sockaddr*>(&destination), sizeof destination) !=
      0) {
    if (errno != EINPROGRESS) return {};
    pollfd descriptor{socket.get(), POLLOUT, 0};
    int ready = 0;
    do ready = poll(&descriptor, 1, static_cast<int>(connect_timeout_.value * 1000));
    while (ready < 0 && errno == EINTR);
    if (ready <= 0 || (descriptor.revents & (POLLERR | POLLHUP)) != 0)
      return {.connection = nullptr, .timed_out = ready == 0};
  }
  if (fcntl(socket.get(), F_SETFL, O_RDWR) != 0) return {};
  // Without TCP_NODELAY, long messages over reused connections would wait for acknowledgements.
  const int on = 1;
  if (max_idle_ > 0) setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return {std::make_unique<Connection>(std::move(socket), timeout_)};
}

std::unique_ptr<HttpClient::Connection> HttpClient::PopIdle() {
  std::lock_guard lock(mutex_);
  if (idle_.empty()) return nullptr;
  auto connection = std::move(idle_.back());
  idle_.pop_back();
  return connection;
}

HttpClient::ConnectResult HttpClient::AcquireConnection() {
  while (auto connection = PopIdle())
    if (connection->IsOpen()) return {std::move(connection)};
  return Connect();
}

void HttpClient::ReleaseConnection(std::unique_ptr<Connection> connection) {
  connection->last_used = std::chrono::steady_clock::now();
  std::lock_guard lock(mutex_);
  if (idle_.size() < max_idle_) idle_.push_back(std::move(connection));
}

HttpAnswer HttpClient::Call(const char* method, const std::string& path, const std::string* body,
                            Seconds timeout) {
  HttpAnswer answer;
  auto [connection, connect_timed_out] = AcquireConnection();
  answer.timed_out = connect_timed_out;
  if (!connection) return answer;
  answer.sent = true;
  connection->SetReceiveTimeout(timeout);
  httplib::Request request;
  request.method = method;
  request.path = path;
  if (body != nullptr) {
    request.set_header("Content-Type", "application/json");
    request.body = *body;
  }
  if (max_idle_ == 0) request.set_header("Connection", "close");
  httplib::Response response;
  connection->stream.StartMessage();
  if (!exchange_->Run(connection->stream, request, response)) {
    answer.timed_out = connection->stream.timed_out();
    return answer;
  }
  answer.answered = true;
  answer.status = response.status;
  answer.body = std::move(response.body);
  if (response.get_header_value("Connection") != "close") ReleaseConnection(std::move(connection));
  return answer;
}

HttpAnswer HttpClient::Get(const std::string& path, Seconds extra_time) {
  return Call("GET", path, nullptr, timeout_ + extra_time);
}

HttpAnswer HttpClient::Post(const std::string& path, const std::string& body) {
  return Post(path, body, timeout_);
}

HttpAnswer HttpClient::Post(const std::string& path, const std::string& body, Seconds timeout) {
  return Call("POST", path, &body, timeout);
}

}  // namespace magpie
