// Heartbeats, their responses and direct commands (PROTOCOL, "Workers -> controller nodes").
#include <utility>

#include "protocol/codec.h"
#include "protocol/json_fields.h"

namespace magpie::protocol {
namespace {

constexpr WordMapping<TaskState> kTaskStateWords[] = {{"fetching", TaskState::kFetching},
                                                      {"running", TaskState::kRunning},
                                                      {"flushing", TaskState::kSaving},
                                                      {"ended", TaskState::kEnded}};
constexpr WordMapping<ExitReason> kExitReasonWords[] = {
    {"done", ExitReason::kDone},   {"halted", ExitReason::kStopped},
    {"error", ExitReason::kError}, {"full", ExitReason::kInsufficientCapacity},
    {"busy", ExitReason::kBusy},   {"unknown", ExitReason::kUnknown}};
constexpr WordMapping<CommandKind> kCommandKindWords[] = {
    {"run", CommandKind::kRun}, {"stop", CommandKind::kStop}, {"forget", CommandKind::kForget}};

TaskStatus TaskStatusFromJson(const Json& message) {
  CheckObject(message, "pecks");
  TaskStatus status;
  status.task = TaskIdFromText(RequiredText(message, "peck"));
  status.attempt = {RequiredCount(message, "hop")};
  status.state = RequiredWord(message, "mood", kTaskStateWords);
  if (status.state == TaskState::kEnded)
    status.reason = RequiredWord(message, "cause", kExitReasonWords);
  status.saved = OptionalBool(message, "stored");
  return status;
}

Json TaskStatusToJson(const TaskStatus& status) {
  Json message{{"peck", TaskIdToText(status.task)},
               {"hop", status.attempt.value},
               {"mood", ToWord(status.state, kTaskStateWords)}};
  if (status.state == TaskState::kEnded) message["cause"] = ToWord(status.reason, kExitReasonWords);
  if (status.saved) message["stored"] = true;
  return message;
}

}  // namespace

Heartbeat HeartbeatFromJson(const Json& body) {
  Heartbeat heartbeat;
  CheckObject(body, "report");
  heartbeat.machine = {RequiredText(body, "branch")};
  heartbeat.addr = RequiredText(body, "addr");
  heartbeat.type = RequiredText(body, "perch_kind");
  heartbeat.zone = RequiredText(body, "roost");
  heartbeat.spot = OptionalBool(body, "borrowed_branches");
  heartbeat.agent_epoch = RequiredCount(body, "stint");
  heartbeat.sequence = RequiredCount(body, "chirp");
  heartbeat.token = {RequiredCount(body, "crest")};
  if (const Json* preemption_notice = FindField(body, "warning_s"))
    heartbeat.preemption_notice = Seconds{ToAmount(*preemption_notice, "warning_s")};
  for (const Json& task : RequiredArray(body, "pecks"))
    heartbeat.tasks.push_back(TaskStatusFromJson(task));
  return heartbeat;
}

Json HeartbeatToJson(const Heartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const TaskStatus& status : heartbeat.tasks) tasks.push_back(TaskStatusToJson(status));
  Json body{{"branch", heartbeat.machine.value},
            {"addr", heartbeat.addr},
            {"perch_kind", heartbeat.type},
            {"roost", heartbeat.zone},
            {"borrowed_branches", heartbeat.spot},
            {"stint", heartbeat.agent_epoch},
            {"chirp", heartbeat.sequence},
            {"crest", heartbeat.token.value},
            {"pecks", std::move(tasks)}};
  if (heartbeat.preemption_notice) body["warning_s"] = heartbeat.preemption_notice->value;
  return body;
}

Json CommandsToJson(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) {
    Json message{{"call_kind", ToWord(command.kind, kCommandKindWords)},
                 {"peck", TaskIdToText(command.task)},
                 {"hop", command.attempt.value}};
    if (command.kind == CommandKind::kStop)
      message["settle_s"] = command.termination_grace_period.value;
    list.push_back(std::move(message));
  }
  return list;
}

std::vector<Command> CommandsFromJson(const Json& list) {
  std::vector<Command> commands;
  if (!list.is_array()) ThrowInvalid("calls", "not a list");
  for (const Json& message : list) {
    CheckObject(message, "calls");
    Command command;
    command.kind = RequiredWord(message, "call_kind", kCommandKindWords);
    command.task = TaskIdFromText(RequiredText(message, "peck"));
    command.attempt = {RequiredCount(message, "hop")};
    if (command.kind == CommandKind::kStop)
      command.termination_grace_period = {RequiredAmount(message, "settle_s")};
    commands.push_back(std::move(command));
  }
  return commands;
}

Json HeartbeatResponseToJson(FencingToken token, const std::vector<Command>& commands) {
  return {{"crest", token.value}, {"calls", CommandsToJson(commands)}};
}

Json RedirectToJson(const std::string& node) { return {{"home_roost", node}}; }

Json DirectCommandToJson(FencingToken token, std::uint64_t agent_epoch,
                         const std::vector<Command>& commands) {
  return {{"crest", token.value}, {"stint", agent_epoch}, {"calls", CommandsToJson(commands)}};
}

}  // namespace magpie::protocol
