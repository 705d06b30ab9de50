// Chooses the kind of machine to provision for work that the present machines can't take in time.
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

// Work that the present machines can't take in time.
struct CapacityDemand {
  const JobSpec* spec = nullptr;  // not owned
  // Whether the job may use a machine in this zone, given where its other tasks are. Without it the
  // cheapest machine could be planned in a zone that is full for the job, and never be requested.
  std::function<bool(const std::string& zone)> zone_allowed;
  std::uint32_t tasks = 0;  // of this size; they share the machine's price
  Seconds target;           // from now until the work should be done
  bool required = false;    // at any price: the work fits nowhere else
  std::function<Seconds(const MachineType&)> run_time;  // predicted
};

// Knows the machine types on offer, what they cost and which kinds the cloud refused lately.
//
// Policy: the kind with the lowest price for each task, among those that meet the target; if none
// does, among all. A kind that was refused is not asked for again until the refusal is old or until
// there are fewer machines of the kind than there were at the refusal.
class Autoscaler {
 public:
  struct Options {
    Seconds provision_retry_delay{90};  // how long a refused kind is not asked for again
    std::uint32_t max_per_request = 8;
    // Work that could wait gets no machine whose price for each task is more than this many times
    // the cheapest one.
    double max_price_ratio = 4;
  };

  // A machine to provision.
  struct Offer {
    MachineKind kind;
    const MachineType* type = nullptr;  // owned by the autoscaler, until SetTypes()
    Seconds ready;                      // from now until its first task runs: boot and image fetch
  };

  explicit Autoscaler(Options options) : options_(options) {}

  void SetTypes(std::vector<MachineType> types);
  // Replaces a type's boot time by what is expected now.
  void SetBootTime(const std::string& type, Seconds boot);
  const std::vector<MachineType>& types() const { return types_; }
  const Options& options() const { return options_; }
  // The type on offer with this name; nullptr if there is none.
  const MachineType* Find(const std::string& name) const;
  // False when no machine that could ever be provisioned would take a task of the job.
  bool CanEverRun(const JobSpec& spec) const;

  // The machine to provision; nullopt if no kind would do. `have` counts our machines of each kind,
  // those already planned included.
  std::optional<Offer> ChooseMachine(const CapacityDemand& demand,
                                     const std::map<MachineKind, int>& have, Instant now) const;
  // The cloud had no more machines of a kind while we had `have` of them.
  void OnRefused(const MachineKind& kind, int have, Instant now);

 private:
  struct Refusal {
    int have = 0;
    Instant at;
  };
  // What offers are compared by, in this order.
  struct Cost {
    bool late = false;
    double price_per_task = 0;
    int machines_in_zone = 0;
    auto operator<=>(const Cost&) const = default;
  };

  bool MayRequest(const MachineKind& kind, const std::map<MachineKind, int>& have,
                  Instant now) const;
  double CheapestPricePerTask(const JobSpec& spec) const;

  Options options_;
  std::vector<MachineType> types_;
  std::map<MachineKind, Refusal> refusals_;
};

}  // namespace magpie
