// Derives the options of a controller's components from its settings.
#pragma once

#include <cstddef>

#include "admission/submission_batcher.h"
#include "cancellation/cancellation_broadcaster.h"
#include "controller/heartbeat_handler.h"
#include "controller/settings.h"
#include "net/http_server.h"
#include "scheduling/scheduler.h"

namespace magpie {

Scheduler::Options SchedulerOptions(const Settings& settings);
SubmissionBatcher::Options SubmissionOptions(const Settings& settings);
HeartbeatHandler::Options HeartbeatOptions(const Settings& settings);
CancellationBroadcaster::Options BroadcasterOptions(const Settings& settings);
HttpServer::Limits UserServerLimits(const Settings& settings);
HttpServer::Limits PeerServerLimits();
// The minimum time between two reads of the key-value store by the job cache.
Seconds MinPollReadInterval(const Settings& settings);
// The minimum time between two calls to the cloud.
Seconds MinCloudCallInterval(const Settings& settings);
// The limit of concurrent requests on the server for users and workers.
std::size_t MaxConcurrentRequests(const Settings& settings);
// The number of machines that can be probed concurrently.
std::size_t ProbeThreads(const Settings& settings);

}  // namespace magpie
