// Client of the cloud's API (PROTOCOL, "Controller nodes -> cloud").
#pragma once

#include <optional>
#include <vector>

#include "model/cloud_call.h"
#include "model/ids.h"
#include "model/machine.h"
#include "model/time.h"
#include "net/http_client.h"

namespace magpie {

// Result of a call that provisions or releases machines.
enum class CloudStatus {
  kOk,
  kNoCapacity,  // no capacity for this machine kind, or the request is malformed
  kRefused,     // the call was not carried out: rate limit, outage or no connection
  kUnknown,     // the call may have been carried out, or may be carried out later
};

// `machines` is set only with kOk; it may hold fewer machines than requested.
struct ProvisionResult {
  CloudStatus status = CloudStatus::kUnknown;
  std::vector<MachineId> machines;
};

// Calls block until the response arrives or the timeout expires. Thread-safe.
class CloudClient {
 public:
  // `timeout` applies to each response.
  CloudClient(const Address& address, Seconds timeout);

  // nullopt: no valid response.
  std::optional<std::vector<MachineType>> Types();
  // Idempotent: the cloud carries out requests with the same name once.
  ProvisionResult Provision(const ScaleOutRequest& request);
  CloudStatus Release(const std::vector<MachineId>& machines);
  // The machines of the first 100 pages; nullopt: no valid response for one of the pages.
  std::optional<std::vector<ListedMachine>> List();

 private:
  HttpClient client_;
};

}  // namespace magpie
