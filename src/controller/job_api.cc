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
constexpr Seconds kFirstPause{0.1};
constexpr Seconds kMaxPause{0.6};
constexpr Seconds kCancelPatience{3};  // users wait for 5 s
constexpr Seconds kRetryAfter{1};
constexpr char kStoreUnavailable[] = "the state service does not answer";
constexpr char kNoSuchJob[] = "no such job";

HttpResponse Unavailable(const char* message, Seconds retry_after = kRetryAfter) {
  return BusyResponse(message, static_cast<std::uint32_t>(std::ceil(retry_after.value)));
}

// Without the counts of tasks.
HttpResponse StateOnly(int status, const JobId& id, const char* state) {
  return {status, protocol::JobStatusReplyToJson({id, state, 0, 0}, false).dump()};
}

const char* FinalState(const records::FinalRecord& record) {
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

// A job's record turns final in one transaction, so a job that is in neither place, looked up in
// this order, was not accepted before the look-up began.
JobApi::Lookup JobApi::FindInStore(const JobId& id) {
  const bool wrong_order = IsDisabled(SafetyCheck::kLiveBeforeFinal);
  const GetResult early = wrong_order ? store_.Get(records::FinalKey(id)) : GetResult{};
  const JobCache::Lookup job = cache_.Find(id);
  if (!job.store_reachable) return {};
  if (job.live) {
    if (job.live->cancelled) return {JobStatus::kCancelled, {}};
    return {job.live->stopping ? JobStatus::kStopping : JobStatus::kLive, {}};
  }
  const GetResult found = wrong_order ? early : store_.Get(records::FinalKey(id));
  if (found.status != StoreStatus::kOk) return {};
  if (!found.entry) return {JobStatus::kUnknown, {}};
  const records::FinalRecord record = records::FinalFromJson(found.entry->value);
  final_records_.Put(id, record);
  return {JobStatus::kFinal, record};
}

// Only for display: when the leader can't be asked, what it answered last.
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
    case JobStatus::kUnknown:
      return ErrorResponse(404, kNoSuchJob);
    case JobStatus::kUnavailable:
      return Unavailable(kStoreUnavailable);
    case JobStatus::kFinal:
      answer.state = FinalState(lookup.final_record);
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

HttpResponse JobApi::Query(const std::string& text) {
  if (!IsJobId(text)) return ErrorResponse(404, kNoSuchJob);
  const JobId id{text};
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
  if (types.empty()) return Unavailable("the machine types are not known yet");
  if (const auto reason = RejectionReason(spec, types)) {
    // A job that was accepted once stays accepted, even if it would not be today.
    const Lookup known = Find(spec.id);
    if (known.status == JobStatus::kUnknown) return ErrorResponse(422, *reason);
    return StateResponse(spec.id, known);
  }
  spec.submitted = hooks_.wall_now();
  const SubmissionBatcher::Result result = submissions_.Submit(spec);
  switch (result.status) {
    case SubmissionBatcher::Status::kAccepted:
      return StateOnly(201, spec.id, protocol::kQueued);
    case SubmissionBatcher::Status::kAlreadyExists:
      return StateResponse(spec.id, Find(spec.id));
    case SubmissionBatcher::Status::kMalformed:
      return Unavailable("the record was refused");
    case SubmissionBatcher::Status::kUnavailable:
      break;
  }
  return Unavailable("the state service takes no more now", result.retry_after);
}

HttpResponse JobApi::Cancel(const std::string& text) {
  if (!IsJobId(text)) return ErrorResponse(404, kNoSuchJob);
  const JobId id{text};
  Backoff backoff(kFirstPause, kMaxPause);
  const Instant until = hooks_.now() + kCancelPatience;
  for (int i = 0; i < kMaxCancelTries && hooks_.now() < until; ++i)
    if (auto response = TryCancel(id, until, backoff)) return *response;
  return Unavailable(kStoreUnavailable);
}

std::optional<HttpResponse> JobApi::TryCancel(const JobId& id, Instant until, Backoff& backoff) {
  const Lookup lookup = Find(id);
  switch (lookup.status) {
    case JobStatus::kUnavailable:
      SleepBeforeRetry(backoff);
      return std::nullopt;
    case JobStatus::kUnknown:
      return ErrorResponse(404, kNoSuchJob);
    case JobStatus::kFinal:
      return StateOnly(200, id, FinalState(lookup.final_record));
    case JobStatus::kCancelled:
      return StateOnly(200, id, protocol::kCancelled);
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
  return CancelLive(id, std::move(*found.entry), until, backoff);
}

std::optional<HttpResponse> JobApi::CancelLive(const JobId& id, StoreEntry entry, Instant until,
                                               Backoff& backoff) {
  const bool stopping = entry.value.value(records::kStoppingField, false) ||
                        IsDisabled(SafetyCheck::kStoppingBeforeAcknowledged);
  if (!stopping && !MarkRecord(id, entry, records::kStoppingField, backoff)) return std::nullopt;
  // The user waits no longer and repeats the request, which then has less to do.
  if (hooks_.now() >= until) return Unavailable(kStoreUnavailable);
  // The cancellation is durable before it is announced: a controller that ends after it has
  // acknowledged it, and is restarted, then finds it when it loads the jobs.
  if (!hooks_.broadcast_cancellation(id, entry.revision))
    return Unavailable("not every controller knows of it yet: its tasks are being stopped");
  if (!MarkRecord(id, entry, records::kCancelledField, backoff)) return std::nullopt;
  spdlog::debug("cancellation acknowledged job={}", id.value);
  return StateOnly(200, id, protocol::kCancelled);
}

// Conditional on the record's revision, so that a cancellation can't pass the end of its job.
bool JobApi::MarkRecord(const JobId& id, StoreEntry& entry, const char* field, Backoff& backoff) {
  const std::string key = records::JobKey(id);
  entry.value[field] = true;
  submissions_.Charge();
  Transaction transaction{{}, {{key, entry.value, std::nullopt}}};
  if (!IsDisabled(SafetyCheck::kCancelCondition))
    transaction.conditions.push_back({key, entry.revision});
  const TransactionResult result = store_.Commit(transaction);
  if (result.status == StoreStatus::kOk) entry.revision = result.revision;
  // Without an answer the job is read again at once, which shows what became of it.
  if (result.status == StoreStatus::kRefused || result.status == StoreStatus::kInvalid)
    SleepBeforeRetry(backoff);
  return result.status == StoreStatus::kOk;
}

void JobApi::SleepBeforeRetry(Backoff& backoff) const {
  hooks_.sleep(backoff.Next(ThreadRandom()));
}

}  // namespace magpie
