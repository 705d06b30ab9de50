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

// An image that is expected to be in a machine's cache.
struct CachedImage {
  std::uint32_t number = 0;  // of the ImageRegistry
  double size_gb = 0;
};

// Compares a task's run time on a machine with its run times on other machines.
struct PaceSample {
  JobId job;
  bool slow = false;
};

// A machine, owned by the MachineTable. The base class has the time of the last heartbeat.
struct Machine : HeartbeatIndex::Member {
  // --- Description. The type is empty until the cloud or the worker has sent it.
  MachineId id;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  std::optional<std::size_t> kind;  // number of its kind in MachineKinds, once known

  // --- Life cycle
  Instant created_at;
  bool provisioned_by_leader = false;  // provisioned by this leader
  bool up = false;                     // has sent a message since the takeover
  // Had bound tasks in the records at the takeover and has sent no message since.
  bool awaiting_reconciliation = false;
  bool listed_running = false;                 // according to the cloud's last list
  bool listed_failed = false;                  // according to the cloud's last list
  bool releasing = false;                      // a release was sent or is queued
  bool cordoned = false;                       // faulty or slow: no more tasks are placed on it
  bool draining = false;                       // its replicas are moved to other machines
  std::optional<Instant> preemption_deadline;  // when the cloud preempts the machine

  // --- Failure detection
  bool relayed = false;  // another controller relays its heartbeats
  // The worker responded to the latest direct command or probe. Reset when relaying begins.
  bool directly_reachable = false;
  bool suspected = false;  // its heartbeats are missing and it does not respond to probes
  // The worker responds to probes, but its heartbeats reach no controller.
  bool inbound_unreachable = false;
  Instant heartbeat_received_at;    // time of its latest heartbeat, responses to probes excluded
  std::uint32_t failed_probes = 0;  // consecutive ones, since its latest message
  Instant failing_since;            // time of the first of these
  Instant next_probe_at;

  // --- Commands and fencing: see fencing.h
  std::uint64_t agent_epoch = 0;  // of the latest message
  std::uint64_t sequence = 0;     // of the latest message
  // Consecutive messages that were not newer than the latest applied one.
  std::uint32_t out_of_order_messages = 0;
  FencingToken seen_token;
  FencingToken token;
  FencingToken fencing_token;
  bool command_in_flight = false;
  bool command_deferred = false;    // commands are pending until one can be sent
  bool response_in_flight = false;  // a heartbeat response with a `run` may still be in flight
  bool response_delayed = false;    // a heartbeat's response waits for tasks that it can start
  Instant next_command_at;
  // When the worker last sent a heartbeat because of a higher token: see heartbeat_request.h.
  std::optional<Instant> token_raise_answered_at;

  // --- Tasks: changed by TaskLifecycle
  std::vector<HeldTask> tasks;    // tasks binding, bound or ending on this machine
  Resources used;                 // by those tasks that have holds_resources set
  std::uint32_t array_tasks = 0;  // how many of those tasks belong to arrays
  Instant idle_since;
  std::vector<TaskStatus> reported_statuses;  // task statuses in the latest message

  // --- Estimates
  std::deque<CachedImage> images;  // most recently used first
  std::deque<PaceSample> pace;     // the latest few
};

// The machine that a member of the heartbeat index is part of. All members are machines.
inline Machine& MachineOf(HeartbeatIndex::Member& member) { return static_cast<Machine&>(member); }
inline const Machine& MachineOf(const HeartbeatIndex::Member& member) {
  return static_cast<const Machine&>(member);
}

// Whether the machine needs no inspection unless its heartbeats become late.
inline bool IsHealthy(const Machine& machine) {
  return machine.up && machine.seen_token >= machine.fencing_token && !machine.relayed &&
         machine.failed_probes == 0 && !machine.cordoned && !machine.draining &&
         !machine.preemption_deadline && !machine.command_deferred &&
         machine.out_of_order_messages == 0 && !machine.inbound_unreachable;
}

}  // namespace magpie
