// Reserves spare capacity for services and arrays that are likely to arrive soon.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/job.h"
#include "model/time.h"
#include "scheduling/cluster_state.h"
#include "scheduling/job_state.h"
#include "scheduling/placement_plan.h"

namespace magpie {

// Policy: for each recent service image, capacity is reserved for SchedulerOptions::headroom
// replicas, if possible on machines that have the image. For each task shape, the total reservation
// is at least `headroom` times the replicas of the largest recent service, or `headroom` times the
// replicas that arrive while a machine boots, whichever is more. Idle spot machines are kept while
// arrays of a recent class may soon use them.
class HeadroomPlanner {
 public:
  // `state` must outlive this object.
  explicit HeadroomPlanner(const ClusterState& state) : state_(state) {}

  void Clear() { recent_classes_.clear(); }
  // Records the arrival of a job. `tasks`: how many of its tasks count for the arrival rate.
  void RecordArrival(const Job& job, std::uint32_t tasks, Instant now);
  // Reserves capacity for upcoming services, and provisions machines if there is too little.
  void ReserveForServices(PlanningRound& round, Instant now);
  // Reserves capacity on spot machines for the arrays of recent classes, so that idle spot machines
  // that such arrays may soon use are kept.
  void ReserveSpotMachines(PlanningRound& round, Instant now) const;

 private:
  // The latest job of an array class, or of a service class and image.
  struct RecentClass {
    JobSpec spec;
    std::uint32_t image = 0;
    double arrived_tasks = 0;  // count that decays with time, as of `at`
    Instant at;
  };
  // Expected demand of recent services of one shape.
  struct ShapeDemand {
    const JobSpec* spec = nullptr;  // of one of these services
    double arrived_tasks = 0;       // count that decays with time
    std::uint32_t largest = 0;      // tasks of the largest service that arrived recently
    std::uint32_t reserved = 0;     // replicas that already have a reservation
    std::vector<std::uint32_t> images;
  };
  // The preference of machines for headroom; lower values first.
  struct Preference {
    bool unavailable_now = false;
    std::size_t missing_images = 0;
    bool unneeded = false;  // could be released without a reservation
    double price = 0;
    auto operator<=>(const Preference&) const = default;
  };

  std::map<std::string, ShapeDemand> ReserveForImages(PlanningRound& round, Instant now);
  void ReserveReplica(PlanningRound& round, const RecentClass& recent, Instant now) const;
  void ReserveForShape(PlanningRound& round, const ShapeDemand& demand, double running_replicas,
                       Instant now) const;
  std::uint32_t ReplicasToReserve(const ShapeDemand& demand, double running_replicas) const;
  // Reserves capacity on planned machines for up to `replicas`; returns how many did not fit.
  std::uint32_t ReserveOnMachines(PlanningRound& round, const ShapeDemand& demand,
                                  std::uint32_t replicas, Instant now) const;
  // Plans to provision a machine for upcoming replicas; returns how many of them fit on it.
  std::uint32_t Provision(PlanningRound& round, const JobSpec& spec, std::uint32_t replicas,
                          Instant now) const;
  Preference PreferenceOf(const PlannedMachine& planned,
                          const std::vector<std::uint32_t>& images) const;

  const ClusterState& state_;
  std::map<std::string, RecentClass> recent_classes_;
};

}  // namespace magpie
