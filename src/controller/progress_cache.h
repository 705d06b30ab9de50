// A cache of the number of done and running tasks of each job.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>

#include "controller/leader_state.h"
#include "controller/peer_clients.h"
#include "model/ids.h"
#include "model/time.h"

namespace magpie {

// Answers from the scheduler while this controller leads. On a follower, a thread fetches the
// leader's counts at intervals while there are requests for them. Thread safe.
class ProgressCache {
 public:
  ProgressCache(LeaderState& state, PeerClients& peers);

  // Starts the thread. The destructor stops it and waits for the current call.
  void Start();
  // The job's counts, on a follower up to some seconds old. None if they are not available.
  std::optional<JobProgress> Find(const JobId& job);

  // The counts as JSON for other controllers: an object that maps each job to `[done, running]`.
  static std::string ToJsonText(const std::map<JobId, JobProgress>& progress);

 private:
  void Run(const std::stop_token& stop);
  bool WaitForFetchRequest(const std::stop_token& stop);
  void Fetch();
  void Update(const std::string& body);

  LeaderState& state_;
  PeerClients& peers_;
  std::mutex mutex_;  // guards the members below; not held during I/O
  std::condition_variable fetch_requested_condition_;
  std::map<JobId, JobProgress> progress_;
  Instant fetched_at_;
  bool fetch_requested_ = false;  // requested since the latest fetch started
  std::jthread thread_;           // declared last: joined before the other members are destroyed
};

}  // namespace magpie
