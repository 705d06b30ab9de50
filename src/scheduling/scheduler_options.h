// Options of the scheduler.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "model/objective.h"
#include "model/team.h"
#include "model/time.h"
#include "scheduling/placement.h"

namespace magpie {

// Fixed for the life of a scheduler.
struct SchedulerOptions {
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  // --- Workers
  Seconds heartbeat_interval{3};
  // A worker stops its tasks after this time without a response from any controller.
  Seconds lease{30};
  Seconds cancel_deadline{60};    // time after a cancellation by which no task of the job may run
  Seconds heartbeat_timeout{12};  // a machine without heartbeats is released after this
  // Zones with a controller, which renews the workers' leases while the zone is partitioned.
  std::set<std::string> zones_with_controller;

  // --- Durable records
  std::size_t max_operations = 16;  // in one write batch
  std::size_t max_bytes = 48UL * 1024;
  std::size_t max_page_bytes = 15UL * 1024;
  double writes_per_s = 1e9;  // write operations per second that the leader may use

  // --- Placement and the cloud
  PlacementWeights weights;
  Seconds list_lag{5};          // maximum age of the cloud's machine list
  Seconds list_interval{3};     // interval of reading the cloud's machine list
  Seconds idle_timeout{20};     // an idle machine is released after this
  Seconds min_billed_time{60};  // minimum time that the cloud charges for a machine
  // A machine that does not boot is released at the latest after this multiple of its type's
  // expected boot time, plus the lease.
  double boot_timeout_factor = 4;
  std::uint32_t headroom = 1;      // spare replicas of each recent service image
  Seconds headroom_duration{600};  // time after the last arrival for which they are reserved
  Seconds spot_idle_timeout{90};   // how long idle spot machines are kept for recent array classes
  Seconds min_replica_age{30};     // replicas that have run for less time are not moved

  bool log_decisions = false;  // record decisions for the log
};

}  // namespace magpie
