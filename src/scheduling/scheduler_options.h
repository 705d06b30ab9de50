// Settings of the scheduler.
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
  Seconds lease{30};              // a worker that no controller answers stops its tasks after this
  Seconds cancel_deadline{60};    // no task of a cancelled job may run after this
  Seconds heartbeat_timeout{12};  // a silent machine is given up after this
  // Zones with a controller: it renews the workers' leases while the zone is partitioned.
  std::set<std::string> zones_with_controller;

  // --- Durable records
  std::size_t max_operations = 16;  // in one write batch
  std::size_t max_bytes = 48UL * 1024;
  std::size_t max_page_bytes = 15UL * 1024;
  double writes_per_s = 1e9;  // operations that the leader may use

  // --- Placement and the cloud
  PlacementWeights weights;
  Seconds list_lag{5};             // the cloud's list may be this old
  Seconds list_interval{3};        // interval between two lists
  Seconds idle_timeout{20};        // an idle machine is released after this
  Seconds min_age{60};             // that the cloud charges for a machine
  double boot_timeout_factor = 4;  // in boot times of the type, before a machine is given up
  std::uint32_t headroom = 1;      // spare replicas of each class of services
  Seconds headroom_duration{600};  // for which they are kept after the last arrival
  Seconds spot_idle_timeout{90};   // idle spot machines are kept for recent classes
  Seconds min_replica_age{30};     // younger replicas are not moved

  bool log_decisions = false;  // keep notes of decisions, for the log
};

}  // namespace magpie
