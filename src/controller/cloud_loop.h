// The thread that calls the cloud while this controller leads.
#pragma once

#include <optional>
#include <stop_token>
#include <thread>

#include "cloud/cloud_client.h"
#include "controller/leader_state.h"
#include "controller/retry.h"
#include "model/cloud_call.h"
#include "model/time.h"

namespace magpie {

// Lists, provisions and releases machines as the scheduler decides, within the cloud's rate limit.
class CloudLoop {
 public:
  struct Options {
    Seconds min_call_interval;
    // No calls are made if the key-value store has not answered for this long, since another
    // controller may have become the leader.
    Seconds leader_lease;
  };

  CloudLoop(LeaderState& state, CloudClient& cloud, Options options);

  // Starts the thread. The destructor stops it and waits for the current call.
  void Start();

 private:
  StepResult MakeNextCall(const std::stop_token& stop);
  std::optional<CloudCall> NextCall();  // the caller holds the mutex
  // These return kFailed if the call was not made, was not carried out or got no valid answer; the
  // next call is then delayed. A lack of capacity is not a failure.
  StepResult MakeCall(const CloudCall& call, Instant decided_at);
  StepResult ListMachines();
  StepResult Provision(const CloudCall& call);
  StepResult Release(const CloudCall& call, Instant decided_at);

  LeaderState& state_;
  CloudClient& cloud_;
  Options options_;
  std::optional<Instant> latest_call_;  // used only by the thread
  std::jthread thread_;  // declared last: joined before the other members are destroyed
};

}  // namespace magpie
