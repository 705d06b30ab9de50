// An in-memory worker that handles tokens, agent epochs, attempts and commands according to the
// protocol. Tasks run until the test ends them or a stop command arrives.
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
  std::map<TaskId, int> starts;  // number of starts of each task on this worker

  Heartbeat Snapshot() {
    ++heartbeat_.sequence;
    return heartbeat_;
  }

  // Delivers the response to a heartbeat. Returns false if it is dropped.
  bool Deliver(const HeartbeatResponse& response) {
    if (!response.accepted || response.token < heartbeat_.token) return false;
    heartbeat_.token = response.token;
    for (const Command& command : response.commands) Execute(command);
    return true;
  }

  // Delivers a direct command, which may arrive late. Returns false if it is rejected.
  bool Deliver(const DirectCommand& direct_command) {
    if (direct_command.token < heartbeat_.token ||
        direct_command.agent_epoch != heartbeat_.agent_epoch)
      return false;
    heartbeat_.token = direct_command.token;
    for (const Command& command : direct_command.commands) Execute(command);
    return true;
  }

  void ExpireLease() {
    ++heartbeat_.agent_epoch;
    heartbeat_.tasks.clear();
  }

  // Restarts the machine under the same name and loses its tasks. `loses_state`: also resets the
  // agent epoch, the sequence number and the token.
  void Restart(bool loses_state) {
    heartbeat_.tasks.clear();
    if (!loses_state) return;
    heartbeat_.agent_epoch = 1;
    heartbeat_.sequence = 0;
    heartbeat_.token = {};
  }

  void SetPreemptionNotice(Seconds remaining) { heartbeat_.preemption_notice = remaining; }
  void ClearPreemptionNotice() { heartbeat_.preemption_notice.reset(); }

  void End(const TaskId& task, ExitReason reason) {
    for (TaskStatus& status : heartbeat_.tasks)
      if (status.task == task && status.state != TaskState::kEnded) {
        status.state = TaskState::kEnded;
        status.reason = reason;
      }
  }
  void EndAll(ExitReason reason) {
    for (TaskStatus& status : heartbeat_.tasks)
      if (status.state != TaskState::kEnded) {
        status.state = TaskState::kEnded;
        status.reason = reason;
      }
  }

  bool HasLiveTask(const TaskId& task) const {
    for (const TaskStatus& status : heartbeat_.tasks)
      if (status.task == task && status.state != TaskState::kEnded) return true;
    return false;
  }
  std::size_t LiveTaskCount() const {
    std::size_t count = 0;
    for (const TaskStatus& status : heartbeat_.tasks)
      count += status.state != TaskState::kEnded ? 1 : 0;
    return count;
  }
  std::size_t ReportedTaskCount() const { return heartbeat_.tasks.size(); }
  const std::vector<TaskStatus>& tasks() const { return heartbeat_.tasks; }
  const std::string& zone() const { return heartbeat_.zone; }
  bool spot() const { return heartbeat_.spot; }
  FencingToken token() const { return heartbeat_.token; }

 private:
  void Execute(const Command& command) {
    auto found = heartbeat_.tasks.begin();
    while (found != heartbeat_.tasks.end() &&
           (found->task != command.task || found->attempt != command.attempt))
      ++found;
    const bool known = found != heartbeat_.tasks.end();
    if (command.kind == CommandKind::kRun && !known && HasLiveTask(command.task)) {
      // Rejected: another attempt of the task is on this machine.
      heartbeat_.tasks.push_back(
          {command.task, command.attempt, TaskState::kEnded, ExitReason::kBusy, false});
    } else if (command.kind == CommandKind::kRun && !known) {
      heartbeat_.tasks.push_back(
          {command.task, command.attempt, TaskState::kRunning, ExitReason::kNone, false});
      ++starts[command.task];
    } else if (command.kind == CommandKind::kStop && known && found->state != TaskState::kEnded) {
      found->state = TaskState::kEnded;
      found->reason = ExitReason::kStopped;
    } else if (command.kind == CommandKind::kForget && known && found->state == TaskState::kEnded) {
      heartbeat_.tasks.erase(found);
    }
  }

  Heartbeat heartbeat_;
};

}  // namespace magpie::testing
