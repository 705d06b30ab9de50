#include "controller/job_api.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "controller/http_responses.h"
#include "model/safety_checks.h"
#include "provisioning/autoscaler.h"

namespace magpie {
namespace {

constexpr std::size_t kMaxFinalRecords = 4096;
constexpr std::size_t kMaxProgressEntries = 4096;
constexpr int kMaxCancelTries = 4;
constexpr Seconds kInitialRetryDelay{0.1};
constexpr Seconds kMaxRetryDelay{0.6};
constexpr Seconds kCancelRequestTimeout{3};  // less than the 5 s for which users wait
constexpr Seconds kRetryAfter{1};
constexpr char kStoreUnavailable[] = "the state service does not answer";
constexpr char kNoSuchJob[] = "no such job";

HttpResponse UnavailableResponse(const char* message, Seconds retry_after = kRetryAfter) {
  return BusyResponse(message, static_cast<std::uint32_t>(std::ceil(retry_after.value)));
}

// A job's state without task counts.
HttpResponse StateOnlyResponse(int status, const JobId& id, const char* state) {
  return {status, protocol::JobStatusReplyToJson({id, state, 0, 0}, false).dump()};
}

const char* FinalStateName(const records::FinalRecord& record) {
  return record.state == JobOutcome::kDone ? protocol::kDone : protocol::kCancelled;
}

void LogUnreadableRecord(const JobId& id, const std::exception& error) {
  spdlog::error("record unreadable job={} error=\"{}\"", id.value, error.what());
}

}  // namespace

JobApi::JobApi(KeyValueStore& store, std::vector<Team> teams, std::vector<std::string> zones,
               Seconds min_read_interval, SubmissionBatcher::Options submissions, Hooks hooks)
    : store_(store),
      teams_(std::move(teams)),
      zones_(std::move(zones)),
      hooks_(std::move(hooks)),
      final_records_(kMaxFinalRecords),
      cache_(store, min_read_interval, {hooks_.now, hooks_.sleep}),
      submissions_(store, submissions, {hooks_.now, hooks_.sleep}) {}

JobApi::Lookup JobApi::Find(const JobId& id) {
  if (const auto record = final_records_.Find(id)) return {JobStatus::kFinal, *record};
  try {
    return FindInStore(id);
  } catch (const protocol::InvalidMessage& error) {
    LogUnreadableRecord(id, error);
  } catch (const nlohmann::json::exception& error) {
    LogUnreadableRecord(id, error);
  }
  return {};
}

// Looks among the live jobs first, then among the final records. One transaction removes the live
// record and writes the final one, so a job found in neither was not accepted before this call.
JobApi::Lookup JobApi::FindInStore(const JobId& id) {
  const bool final_first = IsDisabled(SafetyCheck::kLiveBeforeFinal);
  const GetResult early = final_first ? store_.Get(records::FinalKey(id)) : GetResult{};
  const JobCache::Lookup job = cache_.Find(id);
  if (!job.store_reachable) return {};
  if (job.live) {
    if (job.live->cancelled) return {JobStatus::kCancelled, {}};
    return {job.live->stopping ? JobStatus::kStopping : JobStatus::kLive, {}};
  }
  const GetResult found = final_first ? early : store_.Get(records::FinalKey(id));
  if (found.status != StoreStatus::kOk) return {};
  if (!found.entry) return {JobStatus::kNotFound, {}};
  const records::FinalRecord record = records::FinalFromJson(found.entry->value);
  final_records_.Put(id, record);
  return {JobStatus::kFinal, record};
}

// The counts are only displayed, so the last known ones suffice while current ones are unavailable.
JobProgress JobApi::ProgressOf(const JobId& id) {
  const auto progress = hooks_.progress(id);
  std::scoped_lock lock(progress_mutex_);
  if (!progress) {
    const auto last = last_progress_.find(id.value);
    return last == last_progress_.end() ? JobProgress{} : last->second;
  }
  if (last_progress_.size() >= kMaxProgressEntries) last_progress_.clear();
  last_progress_[id.value] = *progress;
  return *progress;
}

HttpResponse JobApi::StateResponse(const JobId& id, const Lookup& lookup) {
  protocol::JobStatusReply answer{id, protocol::kQueued, 0, 0};
  switch (lookup.status) {
    case JobStatus::kNotFound:
      return ErrorResponse(404, kNoSuchJob);
    case JobStatus::kUnavailable:
      return UnavailableResponse(kStoreUnavailable);
    case JobStatus::kFinal:
      answer.state = FinalStateName(lookup.final_record);
      if (lookup.final_record.state == JobOutcome::kDone) answer.done = lookup.final_record.tasks;
      break;
    case JobStatus::kCancelled:
      answer.state = protocol::kCancelled;
      break;
    case JobStatus::kStopping:
    case JobStatus::kLive: {
      const JobProgress progress = ProgressOf(id);
      answer.done = progress.done;
      answer.running = progress.running;
      if (progress.running > 0) answer.state = protocol::kRunning;
      break;
    }
  }
  return {200, protocol::JobStatusReplyToJson(answer, true).dump()};
}

HttpResponse JobApi::Query(const std::string& id_text) {
  if (!IsJobId(id_text)) return ErrorResponse(404, kNoSuchJob);
  const JobId id{id_text};
  return StateResponse(id, Find(id));
}

std::optional<std::string> JobApi::RejectionReason(const JobSpec& spec,
                                                   const std::vector<MachineType>& types) const {
  const auto team = std::find_if(teams_.begin(), teams_.end(), [&](const Team& candidate) {
    return candidate.name == spec.team;
  });
  if (team == teams_.end()) return "unknown team";
  if (spec.zone && std::find(zones_.begin(), zones_.end(), *spec.zone) == zones_.end())
    return "unknown zone";
  Autoscaler autoscaler({});
  autoscaler.SetTypes(types);
  if (!autoscaler.CanEverRun(spec)) return "a task fits no allowed machine type";
  const double concurrent_tasks = spec.kind == JobKind::kService ? spec.tasks : 1;
  constexpr double kRoundingTolerance = 1e-6;
  const auto exceeds = [&](double per_task, double limit) {
    return limit > 0 && concurrent_tasks * per_task > limit + kRoundingTolerance;
  };
  if (exceeds(spec.per_task.cpus, team->cpus_max) || exceeds(spec.per_task.gpus, team->gpus_max))
    return "more than the team's limit";
  if (spec.kind == JobKind::kService && spec.single_zone && spec.spread && spec.tasks > 1)
    return "its replicas can't be in one zone and apart";
  return std::nullopt;
}

HttpResponse JobApi::Submit(const std::string& body) {
  JobSpec spec;
  try {
    spec = protocol::JobFromUser(protocol::ParseObject(body));
  } catch (const protocol::InvalidMessage& error) {
    return ErrorResponse(400, error.what());
  }
  const std::vector<MachineType> types = hooks_.machine_types();
  if (types.empty()) return UnavailableResponse("the machine types are not known yet");
  if (const auto reason = RejectionReason(spec, types)) {
    // An accepted job stays accepted, even if a new submission of it would be rejected now.
    const Lookup known = Find(spec.id);
    if (known.status == JobStatus::kNotFound) return ErrorResponse(422, *reason);
    return StateResponse(spec.id, known);
  }
  spec.submitted = hooks_.wall_now();
  const SubmissionBatcher::Result result = submissions_.Submit(spec);
  switch (result.status) {
    case SubmissionBatcher::Status::kAccepted:
      return StateOnlyResponse(201, spec.id, protocol::kQueued);
    case SubmissionBatcher::Status::kAlreadyExists:
      return StateResponse(spec.id, Find(spec.id));
    case SubmissionBatcher::Status::kMalformed:
      return UnavailableResponse("the record was refused");
    case SubmissionBatcher::Status::kUnavailable:
      break;
  }
  return UnavailableResponse("the state service takes no more now", result.retry_after);
}

HttpResponse JobApi::Cancel(const std::string& id_text) {
  if (!IsJobId(id_text)) return ErrorResponse(404, kNoSuchJob);
  const JobId id{id_text};
  Backoff backoff(kInitialRetryDelay, kMaxRetryDelay);
  const Instant deadline = hooks_.now() + kCancelRequestTimeout;
  for (int i = 0; i < kMaxCancelTries && hooks_.now() < deadline; ++i)
    if (auto response = TryCancel(id, deadline, backoff)) return *response;
  return UnavailableResponse(kStoreUnavailable);
}

std::optional<HttpResponse> JobApi::TryCancel(const JobId& id, Instant deadline, Backoff& backoff) {
  const Lookup lookup = Find(id);
  switch (lookup.status) {
    case JobStatus::kUnavailable:
      SleepBeforeRetry(backoff);
      return std::nullopt;
    case JobStatus::kNotFound:
      return ErrorResponse(404, kNoSuchJob);
    case JobStatus::kFinal:
      return StateOnlyResponse(200, id, FinalStateName(lookup.final_record));
    case JobStatus::kCancelled:
      return StateOnlyResponse(200, id, protocol::kCancelled);
    case JobStatus::kLive:
    case JobStatus::kStopping:
      break;
  }
  GetResult found = store_.Get(records::JobKey(id));
  if (found.status != StoreStatus::kOk) {
    SleepBeforeRetry(backoff);
    return std::nullopt;
  }
  const bool final_meanwhile = !found.entry || !found.entry->value.is_object();
  if (final_meanwhile) return std::nullopt;
  return CancelLive(id, std::move(*found.entry), deadline, backoff);
}

std::optional<HttpResponse> JobApi::CancelLive(const JobId& id, StoreEntry entry, Instant deadline,
                                               Backoff& backoff) {
  const bool stopping = entry.value.value(records::kStoppingField, false) ||
                        IsDisabled(SafetyCheck::kStoppingBeforeAcknowledged);
  if (!stopping && !SetRecordFlag(id, entry, records::kStoppingField, backoff)) return std::nullopt;
  // The user's request is about to time out. When the user retries it, the first step is done.
  if (hooks_.now() >= deadline) return UnavailableResponse(kStoreUnavailable);
  // The cancellation is durable before it is announced, so that a controller that restarts after
  // acknowledging it finds it when loading the jobs.
  if (!hooks_.broadcast_cancellation(id, entry.revision))
    return UnavailableResponse("not every controller knows of it yet: its tasks are being stopped");
  if (!SetRecordFlag(id, entry, records::kCancelledField, backoff)) return std::nullopt;
  spdlog::debug("cancellation acknowledged job={}", id.value);
  return StateOnlyResponse(200, id, protocol::kCancelled);
}

// The write is conditional on the record's revision: without the condition, a job that became final
// in the meantime would be written as a live job again.
bool JobApi::SetRecordFlag(const JobId& id, StoreEntry& entry, const char* field,
                           Backoff& backoff) {
  const std::string key = records::JobKey(id);
  entry.value[field] = true;
  submissions_.Charge();
  Transaction transaction{{}, {{key, entry.value, std::nullopt}}};
  if (!IsDisabled(SafetyCheck::kCancelCondition))
    transaction.conditions.push_back({key, entry.revision});
  const TransactionResult result = store_.Commit(transaction);
  if (result.status == StoreStatus::kOk) entry.revision = result.revision;
  // Without an answer the outcome is unknown; the caller reads the job again at once to find out.
  if (result.status == StoreStatus::kRefused || result.status == StoreStatus::kInvalid)
    SleepBeforeRetry(backoff);
  return result.status == StoreStatus::kOk;
}

void JobApi::SleepBeforeRetry(Backoff& backoff) const {
  hooks_.sleep(backoff.Next(ThreadRandom()));
}

}  // namespace magpie
