// The machines with pending commands.
//
// Invariant: a machine with a task that must not be started yet is in withheld_, or was moved from
// there to waiting_, so that the start is retried.
#pragma once

#include <cstddef>
#include <set>

#include "model/ids.h"
#include "scheduling/machine_state.h"

namespace magpie {

// Not thread-safe: it belongs to one scheduler.
class CommandQueue {
 public:
  void Clear();
  // Queues the machine, since there may be commands for it.
  void Request(const Machine& machine) { waiting_.insert(machine.id); }
  void Remove(const Machine& machine) { waiting_.erase(machine.id); }
  // Removes and returns the first machine; the queue must not be empty.
  MachineId Pop() { return waiting_.extract(waiting_.begin()).value(); }
  // Records that a task bound to the machine must not be started yet.
  void Withhold(const Machine& machine) { withheld_.insert(machine.id); }
  // Queues all machines with withheld tasks.
  void RetryWithheld();
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }

 private:
  std::set<MachineId> waiting_;
  std::set<MachineId> withheld_;
};

}  // namespace magpie
