// Chooses machine kinds to provision for work that the existing machines cannot complete in time.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/cloud_call.h"
#include "model/job.h"
#include "model/machine.h"
#include "model/resources.h"
#include "model/time.h"

namespace magpie {

// Work that the existing machines cannot complete in time.
struct CapacityDemand {
  const JobSpec* spec = nullptr;  // not owned
  // Whether the job may use a machine in this zone, given the zones of its other tasks. Without
  // this check, the cheapest machine could be planned in a zone that allows the job no more tasks,
  // and would never be requested.
  std::function<bool(const std::string& zone)> zone_allowed;
  std::uint32_t tasks = 0;  // number of tasks that would share the machine and its price
  Seconds target;           // time from now by which the work should be done
  bool required = false;    // at any price: no other machine can run the work
  std::function<Seconds(const MachineType&)> run_time;  // predicted for one task
};

// Keeps the available machine types with their prices, and the kinds that the cloud refused
// recently.
//
// Policy: choose the kind with the lowest price per task among those that meet the target, or among
// all kinds if none does. A refused kind is not requested again until the refusal is old or there
// are fewer machines of the kind than at the refusal.
class Autoscaler {
 public:
  struct Options {
    Seconds provision_retry_delay{90};  // after which a refused kind may be requested again
    std::uint32_t max_per_request = 8;
    // Work that is not `required` gets no machine with a price per task above this factor times the
    // lowest one.
    double max_price_ratio = 4;
  };

  // A machine to provision.
  struct Offer {
    MachineKind kind;
    const MachineType* type = nullptr;  // owned by the autoscaler; valid until SetTypes()
    Seconds ready;  // time from now to its first task's start: boot and image fetch
  };

  explicit Autoscaler(Options options) : options_(options) {}

  void SetTypes(std::vector<MachineType> types);
  // Replaces a type's boot time by the current estimate.
  void SetBootTime(const std::string& type, Seconds boot);
  const std::vector<MachineType>& types() const { return types_; }
  const Options& options() const { return options_; }
  // The available type with this name; nullptr if there is none.
  const MachineType* Find(const std::string& name) const;
  // Whether a task of the job fits on any machine that can be provisioned.
  bool CanEverRun(const JobSpec& spec) const;

  // The machine to provision; nullopt if no kind is suitable. `machines_by_kind` counts the
  // cluster's machines, including those already planned.
  std::optional<Offer> ChooseMachine(const CapacityDemand& demand,
                                     const std::map<MachineKind, int>& machines_by_kind,
                                     Instant now) const;
  // The cloud refused a machine of the kind while the cluster had `machine_count` of them.
  void OnRefused(const MachineKind& kind, int machine_count, Instant now);

 private:
  struct Refusal {
    int machine_count = 0;
    Instant at;
  };
  // Offers are compared by these fields in this order.
  struct Cost {
    bool late = false;
    double price_per_task = 0;
    int machines_in_zone = 0;
    auto operator<=>(const Cost&) const = default;
  };

  bool MayRequest(const MachineKind& kind, const std::map<MachineKind, int>& machines_by_kind,
                  Instant now) const;
  double CheapestPricePerTask(const JobSpec& spec) const;

  Options options_;
  std::vector<MachineType> types_;
  std::map<MachineKind, Refusal> refusals_;
};

}  // namespace magpie
