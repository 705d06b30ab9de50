// The leader's state of a machine and its worker.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/resources.h"
#include "model/time.h"
#include "model/worker_messages.h"
#include "scheduling/heartbeat_index.h"
#include "scheduling/job_state.h"

namespace magpie {

// An image that a machine is expected to have.
struct CachedImage {
  std::uint32_t number = 0;  // in the ImageRegistry
  double size_gb = 0;
};

// A run time on a machine that says something of its speed.
struct PaceSample {
  JobId job;
  bool slow = false;
};

// A machine, owned by the MachineTable. Fields of the base class say when it was heard.
struct Machine : HeartbeatIndex::Member {
  // --- What it is. The type is empty until the cloud or the worker has named it.
  MachineId id;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  std::optional<std::size_t> kind;  // number in MachineKinds, once known

  // --- Its life
  Instant created_at;
  bool provisioned_by_leader = false;  // by this leader
  bool up = false;                     // was heard since the takeover
  bool in_records = false;      // held tasks by the records at the takeover, and is not reconciled
  bool listed_running = false;  // by the cloud's last list
  bool listed_failed = false;   // by the cloud's last list
  bool releasing = false;       // a release was sent or is about to be
  bool cordoned = false;        // faulty or slow: nothing more is put there
  bool draining = false;        // its replicas move to other machines
  std::optional<Instant> preemption_deadline;  // when the cloud takes it back

  // --- Failure detection
  bool relayed = false;              // its heartbeats come through another controller
  bool directly_reachable = false;   // it has answered a direct command since then
  bool suspected = false;            // it misses heartbeats and does not answer
  bool inbound_unreachable = false;  // it answers, but its heartbeats reach nobody
  Instant heartbeat_received_at;     // when its latest heartbeat came
  std::uint32_t failed_probes = 0;   // in a row, since it was last heard
  Instant failing_since;             // when the first of them failed
  Instant next_probe_at;

  // --- Commands and fencing: see fencing.h
  std::uint64_t agent_epoch = 0;            // of the latest message
  std::uint64_t sequence = 0;               // of the latest message
  std::uint32_t out_of_order_messages = 0;  // in a row, that cannot follow the latest one
  FencingToken seen_token;
  FencingToken token;
  FencingToken fencing_token;
  bool command_in_flight = false;
  bool command_deferred = false;    // commands wait until one can be sent
  bool response_in_flight = false;  // a response with a `run` may still be on its way
  Instant next_command_at;

  // --- Its tasks: changed by TaskLifecycle
  std::vector<HeldTask> tasks;  // binding, bound or ending here
  Resources used;               // by those that hold resources
  std::uint32_t arrays = 0;     // how many of these belong to arrays
  Instant idle_since;
  std::vector<TaskStatus> last;  // what the latest message heartbeat_received_at

  // --- What was learned
  std::deque<CachedImage> images;  // latest first
  std::deque<PaceSample> pace;     // the latest few
};

// Whether the machine needs no inspection until its heartbeats are late.
inline bool IsHealthy(const Machine& machine) {
  return machine.up && machine.seen_token >= machine.fencing_token && !machine.relayed &&
         machine.failed_probes == 0 && !machine.cordoned && !machine.draining &&
         !machine.preemption_deadline && !machine.command_deferred &&
         machine.out_of_order_messages == 0 && !machine.inbound_unreachable;
}

}  // namespace magpie
