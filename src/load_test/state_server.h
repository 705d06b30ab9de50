// The HTTP server of the simulated key-value service.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "load_test/event_loop.h"
#include "load_test/state_service.h"

namespace magpie::load_test {

// Serves the simulated key-value service over HTTP, with latencies, blocking watches and outages.
// Each controller has its own endpoint, for separate traffic counts and fault injection. Once the
// loop runs, the server is used only on the loop's thread, except for `traffic`.
class StateServer {
 public:
  struct Options {
    StateService::Options service;
    Seconds latency{0.005};       // median of a log-normal distribution
    double latency_spread = 0.5;  // standard deviation of the latency's logarithm
    std::uint64_t seed = 1;
  };
  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t rate_limited = 0;
    std::uint64_t commits = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t operations = 0;   // committed puts and deletes
    std::uint64_t value_bytes = 0;  // request bodies of committed transactions
  };
  // Called for each committed transaction.
  using OnCommit = std::function<void(const Transaction&, Instant)>;

  StateServer(EventLoop& loop, Options options, OnCommit on_commit);

  // Opens an endpoint for one controller. Returns no address if it cannot listen.
  std::optional<Address> Serve(const std::string& controller);
  void SetOutage(bool outage);
  // If `unavailable`, answers requests of this controller with 503, as if the service were
  // unreachable for it alone.
  void SetUnavailable(const std::string& controller, bool unavailable);

  const Counts& counts() const { return counts_; }
  std::size_t keys() const { return service_.keys(); }
  const Traffic& traffic(const std::string& controller) const {
    return endpoints_.at(controller).traffic;
  }

 private:
  struct Endpoint {
    std::unique_ptr<EventLoop::Listener> listener;
    Traffic traffic;
    bool unavailable = false;
  };
  struct Watch {
    std::string controller;
    std::string prefix;
    Revision after;
    Instant deadline;
    EventLoop::ReplyCallback reply;
  };

  void OnRequest(const std::string& controller, const HttpCall& call,
                 const EventLoop::ReplyCallback& reply);
  void Answer(const std::string& controller, const HttpCall& call,
              const EventLoop::ReplyCallback& reply);
  HttpReply AnswerNow(const HttpCall& call);
  HttpReply AnswerRange(const HttpCall& call);
  HttpReply AnswerCommit(const HttpCall& call);
  HttpReply AnswerLease(const HttpCall& call);
  void AnswerWatch(const std::string& controller, const HttpCall& call,
                   const EventLoop::ReplyCallback& reply);
  // Answers watches that have changes or an error to report, and watches whose time has run out.
  void ServeWatches();
  void Tick();
  Seconds Latency();
  bool IsUnavailable(const std::string& controller) const;

  EventLoop& loop_;
  Options options_;
  OnCommit on_commit_;
  StateService service_;
  std::minstd_rand random_;
  std::map<std::string, Endpoint> endpoints_;
  std::list<Watch> watches_;
  std::unique_ptr<EventLoop::Timer> tick_;
  bool outage_ = false;
  Counts counts_;
};

}  // namespace magpie::load_test
