// The simulated cloud without its HTTP server, and the requests and results of its functions.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "load_test/rate_limit.h"
#include "model/ids.h"
#include "model/machine.h"
#include "model/time.h"

namespace magpie::load_test {

// A request for `count` machines of one type in one zone. Provision returns the same machines for
// a repeated `name`; AddBooted ignores it.
struct RentalRequest {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};

// Whether a request to the cloud succeeded, or why it was rejected. Cloud does not return
// kRateLimited: Admit reports the limit instead.
enum class CloudStatus : std::uint8_t { kOk, kRateLimited, kNoCapacity, kInvalid };

// The result of Cloud::Provision. `machines` can be fewer than requested if capacity is short, and
// is empty unless the status is kOk.
struct RentalResult {
  CloudStatus status = CloudStatus::kOk;
  std::vector<MachineId> machines;
};

// A machine as it is passed to the hooks that create and remove workers.
struct CloudMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
};

// The cloud of PROTOCOL as a state machine: idempotent rentals by name, boot times, a delayed
// machine list, limited capacity and a request rate. The caller passes the time. Not thread-safe.
class Cloud {
 public:
  struct Options {
    std::vector<MachineType> types;
    std::uint32_t max_machines = 1000;  // rented at the same time
    double requests_per_second = 10;
    Seconds list_lag{6};
    double boot_spread = 0.4;  // maximum deviation from the type's boot time, as a fraction
    std::uint64_t seed = 1;
  };
  struct Hooks {
    // Called when a machine is rented; returns the address at which its worker will listen.
    std::function<std::string(const CloudMachine&)> on_rented;
    std::function<void(const MachineId&)> on_booted;  // called when the machine has booted
    // Called when the machine is released. All its tasks have ended when this returns.
    std::function<void(const MachineId&)> on_released;
  };

  Cloud(Options options, Hooks hooks);

  bool Admit(Instant now) { return requests_.TryAcquire(1, now); }
  const std::vector<MachineType>& types() const { return options_.types; }
  // A repeated name returns the machines of the first request with that name.
  RentalResult Provision(const RentalRequest& request, Instant now);
  CloudStatus Release(const std::vector<MachineId>& machines);
  // One page of the machine list, ordered by name: at most `page` machines with names after
  // `after`, in the state that they had `list_lag` ago. `more` is set if further machines follow.
  struct List {
    std::vector<ListedMachine> machines;
    bool more = false;
  };
  List ListAfter(const MachineId& after, std::size_t page, Instant now);
  // Adds machines that have already booted.
  void AddBooted(const RentalRequest& request, Instant now);
  // Completes boots whose boot time has passed, and takes the snapshots from which ListAfter reads.
  void Advance(Instant now);
  // Marks a machine as failed. It no longer boots, and the list shows it as failed after a delay.
  void Fail(const MachineId& machine, Instant now);

  std::size_t machines() const { return machines_.size(); }

 private:
  struct Machine {
    CloudMachine info;
    std::string addr;
    Instant rented;
    Instant boot_at;
    bool up = false;
    std::optional<Instant> failed;
  };
  struct Snapshot {
    Instant at;
    std::vector<ListedMachine> machines;
  };

  bool IsKnownType(const RentalRequest& request) const;
  MachineId Add(const RentalRequest& request, Instant now, Instant boot_at);
  void Boot(Machine& machine);
  Seconds BootTime(const std::string& type);
  Snapshot TakeSnapshot(Instant now) const;

  Options options_;
  Hooks hooks_;
  RateLimit requests_;
  std::minstd_rand random_;
  std::map<std::string, std::vector<MachineId>> rentals_by_name_;
  std::map<MachineId, Machine> machines_;
  std::uint64_t last_machine_ = 0;
  std::deque<Snapshot> snapshots_;
};

}  // namespace magpie::load_test
