#include "cancellation/cancellation_registry.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "model/safety_checks.h"
#include "protocol/codec.h"

namespace magpie {
namespace {

using protocol::Json;

constexpr std::uint64_t kTokenLowMask = (1ULL << kTokenLowBits) - 1;

JobCache::Cancellation ParseAnnouncement(const std::string& announcement) {
  try {
    const Json body = protocol::ParseObject(announcement);
    const JobId job{body.at("job").get<std::string>()};
    const Json& revision = body.at("stamp");
    if (!IsJobId(job.value) || !revision.is_number_unsigned())
      throw protocol::InvalidMessage("cancellation without a job's id or a revision");
    return {job, {revision.get<std::uint64_t>()}};
  } catch (const Json::exception& error) {
    throw protocol::InvalidMessage(error.what());
  }
}

bool HasStopCommand(const std::vector<Command>& commands, const TaskStatus& task) {
  return std::any_of(commands.begin(), commands.end(), [&](const Command& command) {
    return command.kind == CommandKind::kStop && command.task == task.task &&
           command.attempt == task.attempt;
  });
}

}  // namespace

CancellationRegistry::CancellationRegistry(JobCache& cache, OnCancellation on_cancellation)
    : cache_(cache), on_cancellation_(std::move(on_cancellation)) {}

void CancellationRegistry::LoadIfNeeded() {
  if (!Loaded() && cache_.Refresh()) spdlog::debug("cancellations loaded");
}

std::string CancellationRegistry::Announcement(const JobCache::Cancellation& cancellation) {
  return Json{{"job", cancellation.job.value}, {"stamp", cancellation.revision.value}}.dump();
}

bool CancellationRegistry::RecordAnnouncement(const std::string& announcement) {
  return Record(ParseAnnouncement(announcement));
}

// A full cache does not record the cancellation, so this controller does not acknowledge it.
bool CancellationRegistry::Record(const JobCache::Cancellation& cancellation) {
  if (!cache_.RecordCancellation(cancellation)) return false;
  on_cancellation_(cancellation);
  return true;
}

std::optional<HeartbeatResponse> CancellationRegistry::CompleteResponse(
    const Heartbeat& heartbeat, HeartbeatResponse response) {
  if (!Loaded() && !IsDisabled(SafetyCheck::kJobsReadBeforeRenewal)) return std::nullopt;
  if (!IsDisabled(SafetyCheck::kResponseFilter)) RemoveCancelledStarts(response.commands);
  if (IsDisabled(SafetyCheck::kStopInResponse)) return response;
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state == TaskState::kEnded || !cache_.IsCancelled(task.task.job)) continue;
    if (HasStopCommand(response.commands, task)) continue;
    response.commands.push_back({CommandKind::kStop, task.task, task.attempt, {}});
  }
  return response;
}

std::optional<HeartbeatResponse> CancellationRegistry::FollowerResponse(
    const Heartbeat& heartbeat) {
  if (heartbeat.token == FencingToken{} && !IsDisabled(SafetyCheck::kNoRenewalWithoutToken))
    return std::nullopt;
  const bool token_can_be_raised = (heartbeat.token.value & kTokenLowMask) != kTokenLowMask;
  if (!token_can_be_raised) return std::nullopt;
  const std::uint64_t increment = IsDisabled(SafetyCheck::kFollowerRaisesToken) ? 0 : 1;
  HeartbeatResponse response;
  response.token = {heartbeat.token.value + increment};
  return CompleteResponse(heartbeat, std::move(response));
}

void CancellationRegistry::RemoveCancelledStarts(DirectCommand& direct_command) const {
  if (!IsDisabled(SafetyCheck::kCommandFilter)) RemoveCancelledStarts(direct_command.commands);
}

void CancellationRegistry::RemoveCancelledStarts(std::vector<Command>& commands) const {
  std::erase_if(commands, [&](const Command& command) {
    return command.kind == CommandKind::kRun && cache_.IsCancelled(command.task.job);
  });
}

}  // namespace magpie
