// The components of one controller process and their wiring.
#pragma once

#include <semaphore>
#include <string>

#include "cancellation/cancellation_broadcaster.h"
#include "cancellation/cancellation_registry.h"
#include "cloud/cloud_client.h"
#include "controller/cloud_loop.h"
#include "controller/control_key_watcher.h"
#include "controller/direct_command_loop.h"
#include "controller/election_loop.h"
#include "controller/heartbeat_handler.h"
#include "controller/job_api.h"
#include "controller/job_router.h"
#include "controller/leader_state.h"
#include "controller/machine_type_cache.h"
#include "controller/peer_api.h"
#include "controller/peer_clients.h"
#include "controller/planning_loop.h"
#include "controller/probe_loop.h"
#include "controller/progress_cache.h"
#include "controller/settings.h"
#include "controller/takeover_loop.h"
#include "controller/user_api.h"
#include "controller/write_loop.h"
#include "kv/http_key_value_store.h"
#include "net/http_server.h"

namespace magpie {

// Owns the components. All mutable state that they share is in LeaderState or has a lock of its
// own. The destructor stops the servers and the threads, in the reverse order of the members.
class Controller {
 public:
  explicit Controller(const Settings& settings);

  // Serves until Stop() is called. Returns false if it can't listen on a configured address.
  bool Run();
  // Makes Run() return. Thread safe.
  void Stop() { stopped_.release(); }

 private:
  LeaderState::Options LeaderStateOptions();
  JobApi::Hooks JobApiHooks();
  CancellationBroadcaster::Hooks BroadcasterHooks();
  HeartbeatHandler::Hooks HeartbeatHooks();
  // If this controller leads, stops the job's tasks at once, before users see the cancellation.
  void OnCancellation(const JobCache::Cancellation& cancellation);
  bool Listen();
  void StartThreads();

  const Settings settings_;
  std::binary_semaphore stopped_{0};

  HttpKeyValueStore store_;
  HttpKeyValueStore watch_store_;  // for watches, which block
  CloudClient cloud_;
  PeerClients peers_;

  LeaderState state_;
  MachineTypeCache machine_types_;
  ProgressCache progress_;
  JobApi job_api_;
  CancellationRegistry cancellations_;
  CancellationBroadcaster broadcaster_;
  HeartbeatHandler heartbeat_handler_;
  ElectionLoop election_;
  ControlKeyWatcher control_key_watcher_;
  TakeoverLoop takeover_;
  PlanningLoop planning_;
  WriteLoop writes_;
  DirectCommandLoop direct_commands_;
  ProbeLoop probes_;
  CloudLoop cloud_calls_;

  JobRouter job_router_;
  UserApi user_api_;
  PeerApi peer_api_;
  HttpServer user_server_;
  HttpServer peer_server_;
};

}  // namespace magpie
