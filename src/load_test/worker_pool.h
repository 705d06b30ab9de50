// Runs the simulated workers of a run on several threads.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "load_test/networked_worker.h"

namespace magpie::load_test {

// Thread-safe, but must not be called from the pool's own threads.
class WorkerPool {
 public:
  // `context`, `jobs` and `recorder` must outlive the pool.
  WorkerPool(std::size_t threads, WorkerContext& context, const JobLedger& jobs,
             Recorder& recorder);
  // Stops the threads and destroys all workers.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Creates the worker of a machine. Returns its address; empty if the worker cannot listen.
  std::string Add(const CloudMachine& machine);
  void Begin(const MachineId& machine);
  // When this returns, the worker is destroyed and its tasks have ended.
  void Remove(const MachineId& machine);
  void SetUnreachable(const MachineId& machine, bool unreachable);
  void PowerOff(const MachineId& machine);
  void Restart(const MachineId& machine);

  // The machines of the pool, ordered by name.
  std::vector<CloudMachine> machines() const;

 private:
  struct Thread {
    EventLoop loop;
    std::thread thread;
    // Used only on this thread while it runs.
    std::unordered_map<std::string, std::unique_ptr<NetworkedWorker>> workers;
  };

  Thread& ThreadOf(const MachineId& machine);
  // Runs `call` on the worker's thread, if the worker still exists then.
  void PostTo(const MachineId& machine, std::function<void(NetworkedWorker&)> call);

  WorkerContext& worker_context_;
  const JobLedger& jobs_;
  Recorder& recorder_;
  std::vector<std::unique_ptr<Thread>> threads_;
  mutable std::mutex mutex_;
  std::map<MachineId, CloudMachine> machines_;
};

}  // namespace magpie::load_test
