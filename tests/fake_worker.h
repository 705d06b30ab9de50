// A worker in memory: tokens, sessions, attempts and commands as the protocol
// has them. Tasks end when the test says so.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/time.h"
#include "model/worker_messages.h"
#include "scheduling/scheduler.h"

namespace magpie::testing {

class FakeWorker {
 public:
  FakeWorker(std::string name, std::string type, std::string zone, bool spot = false) {
    heartbeat_.machine = {std::move(name)};
    heartbeat_.addr = "127.0.0.1:1";
    heartbeat_.type = std::move(type);
    heartbeat_.zone = std::move(zone);
    heartbeat_.spot = spot;
    heartbeat_.agent_epoch = 1;
  }

  MachineId id() const { return heartbeat_.machine; }
  std::map<TaskId, int> starts;  // how often each task began here

  Heartbeat Snapshot() {
    ++heartbeat_.sequence;
    return heartbeat_;
  }

  // The response to a report; dropped when its token is too low.
  bool Deliver(const HeartbeatResponse& reply) {
    if (!reply.accepted || reply.token < heartbeat_.token) return false;
    heartbeat_.token = reply.token;
    for (const Command& c : reply.commands) Execute(c);
    return true;
  }

  // A direct command; it may arrive late.
  bool Take(const DirectCommand& direct_command) {
    if (direct_command.token < heartbeat_.token ||
        direct_command.agent_epoch != heartbeat_.agent_epoch)
      return false;
    heartbeat_.token = direct_command.token;
    for (const Command& c : direct_command.commands) Execute(c);
    return true;
  }

  void ExpireLease() {
    ++heartbeat_.agent_epoch;
    heartbeat_.tasks.clear();
  }

  // The machine goes and is back at once under its name. `forgets`: with its tasks its
  // numbers and its token are lost too.
  void Restart(bool forgets) {
    heartbeat_.tasks.clear();
    if (!forgets) return;
    heartbeat_.agent_epoch = 1;
    heartbeat_.sequence = 0;
    heartbeat_.token = {};
  }

  void SetPreemptionNotice(Seconds left) { heartbeat_.preemption_notice = left; }
  void ClearPreemptionNotice() { heartbeat_.preemption_notice.reset(); }

  void End(const TaskId& task, ExitReason reason) {
    for (TaskStatus& t : heartbeat_.tasks)
      if (t.task == task && t.state != TaskState::kEnded) {
        t.state = TaskState::kEnded;
        t.reason = reason;
      }
  }
  void EndAll(ExitReason reason) {
    for (TaskStatus& t : heartbeat_.tasks)
      if (t.state != TaskState::kEnded) {
        t.state = TaskState::kEnded;
        t.reason = reason;
      }
  }

  bool HasLiveTask(const TaskId& task) const {
    for (const TaskStatus& t : heartbeat_.tasks)
      if (t.task == task && t.state != TaskState::kEnded) return true;
    return false;
  }
  std::size_t LiveTaskCount() const {
    std::size_t n = 0;
    for (const TaskStatus& t : heartbeat_.tasks) n += t.state != TaskState::kEnded ? 1 : 0;
    return n;
  }
  std::size_t ReportedTaskCount() const { return heartbeat_.tasks.size(); }
  const std::vector<TaskStatus>& tasks() const { return heartbeat_.tasks; }
  const std::string& zone() const { return heartbeat_.zone; }
  bool spot() const { return heartbeat_.spot; }
  FencingToken token() const { return heartbeat_.token; }

 private:
  void Execute(const Command& c) {
    auto it = heartbeat_.tasks.begin();
    while (it != heartbeat_.tasks.end() && (it->task != c.task || it->attempt != c.attempt)) ++it;
    const bool known = it != heartbeat_.tasks.end();
    if (c.kind == CommandKind::kRun && !known && HasLiveTask(c.task)) {
      // Refused: it is here with another attempt.
      heartbeat_.tasks.push_back({c.task, c.attempt, TaskState::kEnded, ExitReason::kBusy, false});
    } else if (c.kind == CommandKind::kRun && !known) {
      heartbeat_.tasks.push_back(
          {c.task, c.attempt, TaskState::kRunning, ExitReason::kNone, false});
      ++starts[c.task];
    } else if (c.kind == CommandKind::kStop && known && it->state != TaskState::kEnded) {
      it->state = TaskState::kEnded;
      it->reason = ExitReason::kStopped;
    } else if (c.kind == CommandKind::kForget && known && it->state == TaskState::kEnded) {
      heartbeat_.tasks.erase(it);
    }
  }

  Heartbeat heartbeat_;
};

}  // namespace magpie::testing
