// The HTTP server of the simulated cloud.
#pragma once

#include <memory>
#include <optional>

#include "load_test/cloud.h"
#include "load_test/event_loop.h"

namespace magpie::load_test {

// Serves the simulated cloud over HTTP at one address, applies its request rate and advances it
// periodically. Not thread-safe: once the loop runs, only its thread uses the server.
class CloudServer {
 public:
  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t rate_limited = 0;
    std::uint64_t rented = 0;
    std::uint64_t released = 0;
  };

  // `cloud` must outlive the server. Once the loop runs, only the loop's thread uses `cloud`.
  CloudServer(EventLoop& loop, Cloud& cloud);

  // Returns no address if it cannot listen.
  std::optional<Address> Serve();
  const Counts& counts() const { return counts_; }
  const Traffic& traffic() const { return traffic_; }

 private:
  HttpReply Answer(const HttpCall& call);
  HttpReply Provision(const HttpCall& call);
  HttpReply Release(const HttpCall& call);
  HttpReply List(const HttpCall& call);
  void Tick();

  EventLoop& loop_;
  Cloud& cloud_;
  std::unique_ptr<EventLoop::Listener> listener_;
  Traffic traffic_;
  std::unique_ptr<EventLoop::Timer> tick_;
  Counts counts_;
};

}  // namespace magpie::load_test
