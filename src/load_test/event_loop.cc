#include "load_test/event_loop.h"

#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "clock/clock.h"

// Boost 1.74 uses std::exchange without including it, so <utility> comes first.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace magpie::load_test {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using Executor = asio::io_context::executor_type;

constexpr unsigned kHttp11 = 11;
// Large, because responses to watches have no size limit.
constexpr std::uint64_t kMaxBodyBytes = 8UL * 1024 * 1024;
constexpr Seconds kIdleTimeout{600};  // for a client to send a request or read a response
constexpr Seconds kReplyTimeout{90};  // for a handler to reply; then the connection is closed

std::chrono::nanoseconds DurationOf(Seconds seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds.value));
}

tcp::endpoint EndpointOf(const Address& address) {
  return {asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port)};
}

class AsioTimer : public EventLoop::Timer {
 public:
  AsioTimer(asio::io_context& io, std::function<void()> callback)
      : state_(std::make_shared<State>(io, std::move(callback))) {}
  ~AsioTimer() override {
    state_->alive = false;
    state_->timer.cancel();
  }
  void Set(Instant at) override {
    if (state_->set && state_->at == at) return;
    state_->at = at;
    state_->set = true;
    state_->timer.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double>(at.value))));
    state_->timer.async_wait([state = state_](const boost::system::error_code& error) {
      if (error || !state->alive) return;
      state->set = false;
      state->callback();
    });
  }

 private:
  struct State {
    State(asio::io_context& io, std::function<void()> call)
        : timer(io), callback(std::move(call)) {}
    asio::steady_timer timer;
    std::function<void()> callback;
    Instant at;
    bool set = false;
    bool alive = true;
  };
  std::shared_ptr<State> state_;
};

// Holds the reply to a request. The handler sets it before it returns, or later.
struct PendingReply {
  explicit PendingReply(const asio::any_io_executor& executor) : wake(executor) {
    wake.expires_after(DurationOf(kReplyTimeout));
  }
  asio::steady_timer wake;
  std::optional<HttpReply> reply;
};

class AsioListener : public EventLoop::Listener {
 public:
  AsioListener(asio::io_context& io, const tcp::endpoint& endpoint, EventLoop::Handler handler,
               Traffic& traffic)
      : state_(std::make_shared<State>(io, endpoint, std::move(handler), traffic)) {
    asio::co_spawn(io, Accept(state_), asio::detached);
  }
  ~AsioListener() override {
    asio::post(state_->acceptor.get_executor(), [state = state_] {
      boost::system::error_code ignored;
      state->acceptor.close(ignored);
      for (tcp::socket* socket : state->open_sockets) socket->close(ignored);
    });
    state_->closed = true;
  }
  Address address() const override { return state_->address; }

 private:
  struct State {
    State(asio::io_context& io, const tcp::endpoint& endpoint, EventLoop::Handler answer,
          Traffic& counts)
        : acceptor(io, endpoint), handler(std::move(answer)), traffic(counts) {
      const tcp::endpoint local = acceptor.local_endpoint();
      address = {local.address().to_string(), local.port()};
    }
    tcp::acceptor acceptor;
    Address address;
    EventLoop::Handler handler;
    Traffic& traffic;
    std::set<tcp::socket*> open_sockets;
    std::atomic<bool> closed{false};
  };

  static asio::awaitable<void> Accept(std::shared_ptr<State> state) {
    while (!state->closed) {
      try {
        tcp::socket socket = co_await state->acceptor.async_accept(use_awaitable);
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(state->acceptor.get_executor(), Serve(state, std::move(socket)),
                       asio::detached);
      } catch (const boost::system::system_error&) {
        if (!state->acceptor.is_open()) co_return;
      }
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<State> state, tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    state->open_sockets.insert(&stream.socket());
    try {
      beast::flat_buffer buffer;
      while (!state->closed && co_await Answer(*state, stream, buffer)) {
      }
    } catch (const boost::system::system_error&) {
      // The connection was closed or timed out.
    }
    state->open_sockets.erase(&stream.socket());
  }

  static asio::awaitable<bool> Answer(State& state, beast::tcp_stream& stream,
                                      beast::flat_buffer& buffer) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    stream.expires_after(DurationOf(kIdleTimeout));
    const std::size_t read = co_await http::async_read(stream, buffer, parser, use_awaitable);
    ++state.traffic.messages_in;
    state.traffic.bytes_in += read;
    http::request<http::string_body> request = parser.release();
    if (state.closed) co_return false;  // the listener was destroyed
    const bool keep_alive_requested = request.keep_alive();
    const auto pending = std::make_shared<PendingReply>(stream.get_executor());
    state.handler({std::string(request.method_string()), std::string(request.target()),
                   std::move(request.body())},
                  [pending](HttpReply reply) {
                    pending->reply = std::move(reply);
                    pending->wake.cancel();
                  });
    stream.expires_never();
    if (!pending->reply) {
      boost::system::error_code wait_error;
      co_await pending->wake.async_wait(asio::redirect_error(use_awaitable, wait_error));
    }
    if (state.closed || !pending->reply) co_return false;
    http::response<http::string_body> response(static_cast<http::status>(pending->reply->status),
                                               kHttp11);
    response.keep_alive(keep_alive_requested);
    response.body() = std::move(pending->reply->body);
    response.prepare_payload();
    stream.expires_after(DurationOf(kIdleTimeout));
    const std::size_t written = co_await http::async_write(stream, response, use_awaitable);
    ++state.traffic.messages_out;
    state.traffic.bytes_out += written;
    co_return keep_alive_requested;
  }

  std::shared_ptr<State> state_;
};

class AsioClientConnection : public EventLoop::ClientConnection {
 public:
  AsioClientConnection(asio::io_context& io, const tcp::endpoint& endpoint, Traffic& traffic)
      : state_(std::make_shared<State>(io, endpoint, traffic)) {}
  ~AsioClientConnection() override {
    state_->alive = false;
    asio::post(state_->io, [state = state_] { state->CloseStream(); });
  }
  void Call(HttpCall call, Seconds timeout, std::function<void(const HttpOutcome&)> done) override {
    state_->busy = true;
    asio::co_spawn(state_->io, Exchange(state_, std::move(call), timeout, std::move(done)),
                   asio::detached);
  }
  bool busy() const override { return state_->busy; }

 private:
  struct State {
    State(asio::io_context& context, tcp::endpoint to, Traffic& counts)
        : io(context), endpoint(std::move(to)), traffic(counts) {}
    void CloseStream() {
      if (!stream) return;
      boost::system::error_code ignored;
      stream->socket().close(ignored);
      stream.reset();
    }
    asio::io_context& io;
    tcp::endpoint endpoint;
    Traffic& traffic;
    std::shared_ptr<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    bool busy = false;
    std::atomic<bool> alive{true};
  };

  // Whether the server has closed the persistent connection or sent unrequested bytes.
  static bool IsStale(beast::tcp_stream& stream) {
    char byte = 0;
    boost::system::error_code error;
    stream.socket().non_blocking(true);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }

  static asio::awaitable<void> Exchange(std::shared_ptr<State> state, HttpCall call,
                                        Seconds timeout,
                                        std::function<void(const HttpOutcome&)> done) {
    HttpOutcome outcome;
    try {
      co_await SendAndReceive(*state, call, timeout, outcome);
    } catch (const boost::system::system_error&) {
      outcome = {};
      state->CloseStream();
    }
    state->busy = false;
    if (state->alive) done(outcome);
  }

  static asio::awaitable<void> SendAndReceive(State& state, const HttpCall& call, Seconds timeout,
                                              HttpOutcome& outcome) {
    if (state.stream && IsStale(*state.stream)) state.CloseStream();
    if (!state.stream) {
      state.stream = std::make_shared<beast::tcp_stream>(state.io);
      state.buffer.clear();
    }
    // Keeps the stream alive if CloseStream is called during the exchange.
    const std::shared_ptr<beast::tcp_stream> stream = state.stream;
    stream->expires_after(DurationOf(timeout));
    if (!stream->socket().is_open()) {
      co_await stream->async_connect(state.endpoint, use_awaitable);
      stream->socket().set_option(tcp::no_delay(true));
    }
    http::request<http::string_body> request(http::string_to_verb(call.method), call.target,
                                             kHttp11);
    request.set(http::field::host, "127.0.0.1");
    request.body() = call.body;
    request.prepare_payload();
    const std::size_t written = co_await http::async_write(*stream, request, use_awaitable);
    ++state.traffic.messages_out;
    state.traffic.bytes_out += written;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    const std::size_t read =
        co_await http::async_read(*stream, state.buffer, parser, use_awaitable);
    ++state.traffic.messages_in;
    state.traffic.bytes_in += read;
    const http::response<http::string_body> response = parser.release();
    outcome = {true, static_cast<int>(response.result_int()), response.body()};
    stream->expires_never();
    if (!response.keep_alive()) state.CloseStream();
  }

  std::shared_ptr<State> state_;
};

}  // namespace

struct EventLoop::Impl {
  asio::io_context io{1};
  asio::executor_work_guard<Executor> work{io.get_executor()};
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() = default;

void EventLoop::Run() { impl_->io.run(); }
void EventLoop::Stop() { impl_->io.stop(); }
void EventLoop::Post(std::function<void()> work) { asio::post(impl_->io, std::move(work)); }

Instant EventLoop::Now() { return SteadyNow(); }

std::unique_ptr<EventLoop::Timer> EventLoop::MakeTimer(std::function<void()> callback) {
  return std::make_unique<AsioTimer>(impl_->io, std::move(callback));
}

void EventLoop::After(Seconds delay, std::function<void()> callback) {
  const auto timer = std::make_shared<asio::steady_timer>(impl_->io);
  timer->expires_after(DurationOf(delay));
  timer->async_wait([timer, call = std::move(callback)](const boost::system::error_code& error) {
    if (!error) call();
  });
}

std::unique_ptr<EventLoop::Listener> EventLoop::Listen(const Address& address, Handler handler,
                                                       Traffic& traffic) {
  try {
    return std::make_unique<AsioListener>(impl_->io, EndpointOf(address), std::move(handler),
                                          traffic);
  } catch (const boost::system::system_error&) {
    return nullptr;
  }
}

std::unique_ptr<EventLoop::ClientConnection> EventLoop::MakeClientConnection(const Address& address,
                                                                             Traffic& traffic) {
  return std::make_unique<AsioClientConnection>(impl_->io, EndpointOf(address), traffic);
}

}  // namespace magpie::load_test
