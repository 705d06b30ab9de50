// The cancellations known to a controller, and the responses to workers that they allow.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "model/direct_command.h"
#include "model/worker_messages.h"
#include "records/job_cache.h"

namespace magpie {

// Every 200 response to a worker passes through this class.
//
// Invariant: a controller process renews leases and starts tasks only after it has loaded all jobs
// once. Its responses contain a stop command for each reported task of a job known to be cancelled,
// and no command that starts a task of such a job.
//
// Guarantee: once any controller has acknowledged a cancellation to a user, all tasks of the job
// stop within `cancel_s`.
//  - If it was acknowledged because the job is final, no task was left (CancellationBroadcaster).
//  - Otherwise the cancellation was durable before each controller acknowledged it. Consider any
//    process that renews a lease after that. Either this process acknowledged the cancellation and
//    keeps it, or an earlier process of the same controller did. In that case this process started
//    when the cancellation was durable, so the jobs that it loaded include it. (Copying a peer's
//    state instead of loading the jobs would not suffice: the peer may not yet have received the
//    announcement when the earlier process acknowledged it.)
//  - So every process that renews the lease sends a stop command. A worker without a response loses
//    its lease, which counts from a heartbeat sent before the acknowledgement or moments after it.
// The argument needs neither synchronized clocks nor a limit on durations: a process keeps its
// recorded cancellations through an outage, a partition or a pause of any length.
//
// Messages in flight: a start command in a heartbeat response is dropped after 4 s. A delayed
// direct command is fenced off by a later token, and every controller that renews leases raises the
// token: a new leader has its own, the leader raises it after an unanswered command and when it
// gives an attempt up, and a follower that renews leases in place of the leader raises it with each
// response. If `cancel_s` does not
// cover a lease and the messages in flight, cancellations are acknowledged only when jobs are
// final.
//
// Thread safe.
class CancellationRegistry {
 public:
  // Called for each recorded cancellation, so that the leader stops the job's tasks.
  using OnCancellation = std::function<void(const JobCache::Cancellation&)>;

  CancellationRegistry(JobCache& cache, OnCancellation on_cancellation);

  // Tries once to load the jobs unless they are loaded. Blocks on I/O.
  void LoadIfNeeded();
  // Whether this process has loaded the jobs and so may renew leases and start tasks.
  bool Loaded() { return cache_.Loaded(); }

  // The message that announces a cancellation to a peer.
  static std::string Announcement(const JobCache::Cancellation& cancellation);
  // Records a peer's announcement. Returns whether it was recorded, which acknowledges it. Throws
  // protocol::InvalidMessage.
  bool RecordAnnouncement(const std::string& announcement);
  // Records a cancellation that this controller made durable or that was announced to it. Returns
  // whether it was recorded.
  bool Record(const JobCache::Cancellation& cancellation);

  // Adds stop commands for tasks of cancelled jobs to the leader's response and removes commands
  // that start them. nullopt: the jobs are not loaded, so the lease must not be renewed.
  std::optional<HeartbeatResponse> CompleteResponse(const Heartbeat& heartbeat,
                                                    HeartbeatResponse response);
  // A follower's response while the leader is unreachable: renews the lease with the worker's own
  // token, raised. nullopt: the lease must not be renewed. A worker without a token is new or has
  // lost its state; raised from 0, its token would not fence commands that it had seen before.
  std::optional<HeartbeatResponse> FollowerResponse(const Heartbeat& heartbeat);
  // Removes commands that start tasks of cancelled jobs from a direct command.
  void RemoveCancelledStarts(DirectCommand& direct_command) const;

 private:
  void RemoveCancelledStarts(std::vector<Command>& commands) const;

  JobCache& cache_;
  OnCancellation on_cancellation_;
};

}  // namespace magpie
