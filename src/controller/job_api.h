// The users' requests about jobs: submission, query and cancellation.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/submission_batcher.h"
#include "controller/final_record_cache.h"
#include "kv/key_value_store.h"
#include "net/http_server.h"
#include "protocol/codec.h"
#include "records/job_cache.h"
#include "records/records.h"
#include "scheduling/scheduler.h"

namespace magpie {

// Runs on every controller and answers from the durable records, so that no controller returns an
// older state than another controller has returned before. Thread safe; blocks on calls to the
// key-value store.
class JobApi {
 public:
  struct Hooks {
    std::function<std::vector<MachineType>()> machine_types;  // empty: not fetched yet
    // The leader's task counts; none if they are not available.
    std::function<std::optional<JobProgress>(const JobId&)> progress;
    std::function<WallTime()> wall_now;
    std::function<void(Seconds)> sleep;
    std::function<Instant()> now;
    // Announces a cancellation that is durable at the revision. True only if every controller
    // has acknowledged it.
    std::function<bool(const JobId&, Revision)> broadcast_cancellation;
  };

  // `min_read_interval`: the minimum time between two reads of the store by the job cache.
  JobApi(KeyValueStore& store, std::vector<Team> teams, std::vector<std::string> zones,
         Seconds min_read_interval, SubmissionBatcher::Options submissions, Hooks hooks);

  // `body` is the job as JSON, `id_text` the job's id from the path.
  HttpResponse Submit(const std::string& body);
  HttpResponse Query(const std::string& id_text);
  // Cancels a job in two durable steps (see CancellationBroadcaster). The first marks the job as
  // stopping, which stops its tasks. The second marks it as cancelled for users, after every
  // controller has acknowledged the cancellation. If a controller can't be reached, users see the
  // cancellation when the job is final, which is as soon as its tasks have stopped.
  HttpResponse Cancel(const std::string& id_text);

  // The cache of live jobs that polls are answered from.
  JobCache& cache() { return cache_; }

 private:
  enum class JobStatus : std::uint8_t {
    kNotFound,
    kLive,
    kStopping,  // by a cancellation that users can't see yet
    kCancelled,
    kFinal,
    kUnavailable,  // the store can't be reached, or the record can't be decoded
  };
  struct Lookup {
    JobStatus status = JobStatus::kUnavailable;
    records::FinalRecord final_record;  // with kFinal
  };
  Lookup Find(const JobId& id);
  Lookup FindInStore(const JobId& id);
  HttpResponse StateResponse(const JobId& id, const Lookup& lookup);
  JobProgress ProgressOf(const JobId& id);
  // Why the job can never run on this cluster; none if it can.
  std::optional<std::string> RejectionReason(const JobSpec& spec,
                                             const std::vector<MachineType>& types) const;
  // Tries once to cancel the job. None: the caller retries.
  std::optional<HttpResponse> TryCancel(const JobId& id, Instant deadline, Backoff& backoff);
  std::optional<HttpResponse> CancelLive(const JobId& id, StoreEntry entry, Instant deadline,
                                         Backoff& backoff);
  // Sets the flag `field` in the job's record, provided that the record is still at the revision of
  // `entry`. False unless the store has confirmed the write.
  bool SetRecordFlag(const JobId& id, StoreEntry& entry, const char* field, Backoff& backoff);
  void SleepBeforeRetry(Backoff& backoff) const;

  KeyValueStore& store_;
  std::vector<Team> teams_;
  std::vector<std::string> zones_;
  Hooks hooks_;
  FinalRecordCache final_records_;
  JobCache cache_;
  SubmissionBatcher submissions_;
  std::mutex progress_mutex_;  // guards last_progress_
  std::unordered_map<std::string, JobProgress> last_progress_;
};

}  // namespace magpie
