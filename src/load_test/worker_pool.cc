#include "load_test/worker_pool.h"

#include <future>

namespace magpie::load_test {

WorkerPool::WorkerPool(std::size_t threads, WorkerContext& context, const JobLedger& jobs,
                       Recorder& recorder)
    : worker_context_(context), jobs_(jobs), recorder_(recorder) {
  for (std::size_t i = 0; i < threads; ++i) {
    threads_.push_back(std::make_unique<Thread>());
    Thread& thread = *threads_.back();
    thread.thread = std::thread([&thread] { thread.loop.Run(); });
  }
}

WorkerPool::~WorkerPool() {
  for (const auto& thread : threads_) {
    thread->loop.Stop();
    thread->thread.join();
    thread->workers.clear();
  }
}

WorkerPool::Thread& WorkerPool::ThreadOf(const MachineId& machine) {
  return *threads_[std::hash<std::string>()(machine.value) % threads_.size()];
}

std::string WorkerPool::Add(const CloudMachine& machine) {
  Thread& thread = ThreadOf(machine.id);
  auto worker = std::make_shared<std::unique_ptr<NetworkedWorker>>(
      std::make_unique<NetworkedWorker>(thread.loop, worker_context_, machine, jobs_, recorder_));
  const std::optional<Address> address = (*worker)->address();
  if (!address) return {};
  {
    std::lock_guard lock(mutex_);
    machines_[machine.id] = machine;
  }
  thread.loop.Post(
      [&thread, id = machine.id.value, worker] { thread.workers[id] = std::move(*worker); });
  return address->host + ":" + std::to_string(address->port);
}

void WorkerPool::PostTo(const MachineId& machine, std::function<void(NetworkedWorker&)> call) {
  Thread& thread = ThreadOf(machine);
  thread.loop.Post([&thread, id = machine.value, call = std::move(call)] {
    const auto it = thread.workers.find(id);
    if (it != thread.workers.end()) call(*it->second);
  });
}

void WorkerPool::Begin(const MachineId& machine) {
  PostTo(machine, [](NetworkedWorker& worker) { worker.Begin(); });
}

void WorkerPool::SetUnreachable(const MachineId& machine, bool unreachable) {
  PostTo(machine, [unreachable](NetworkedWorker& worker) { worker.SetUnreachable(unreachable); });
}

void WorkerPool::PowerOff(const MachineId& machine) {
  PostTo(machine, [](NetworkedWorker& worker) { worker.PowerOff(); });
}

void WorkerPool::Restart(const MachineId& machine) {
  PostTo(machine, [](NetworkedWorker& worker) { worker.Restart(); });
}

void WorkerPool::Remove(const MachineId& machine) {
  {
    std::lock_guard lock(mutex_);
    machines_.erase(machine);
  }
  Thread& thread = ThreadOf(machine);
  const auto removed = std::make_shared<std::promise<void>>();
  thread.loop.Post([&thread, id = machine.value, removed] {
    const auto it = thread.workers.find(id);
    if (it != thread.workers.end()) {
      it->second->PowerOff();
      thread.workers.erase(it);
    }
    removed->set_value();
  });
  removed->get_future().wait();
}

std::vector<CloudMachine> WorkerPool::machines() const {
  std::lock_guard lock(mutex_);
  std::vector<CloudMachine> all;
  for (const auto& [id, machine] : machines_) all.push_back(machine);
  return all;
}

}  // namespace magpie::load_test
