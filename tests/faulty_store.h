// One controller's connection to the key-value store, on which tests inject faults: refusals,
// rate limiting, latency and lost responses.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "fake_key_value_store.h"

namespace magpie::testing {

// A fault of one call to the key-value store.
struct InjectedFault {
  Seconds request_delay;       // delay before the call is carried out
  Seconds response_delay;      // delay of the response
  bool response_lost = false;  // the response is lost
};

// A key-value store client with calls that fail as configured by a test.
class FaultyStore : public KeyValueStore {
 public:
  FaultyStore(FakeStore& store, const Instant& now, std::function<void(Seconds)> wait)
      : store_(store), now_(now), wait_(std::move(wait)) {}
  bool refused = false;  // while set, every call is refused
  // Whether the next call exceeds the rate limit (429) and changes nothing.
  std::function<bool()> rate_limited = [] { return false; };
  std::function<InjectedFault(bool write)> next_fault = [](bool) { return InjectedFault{}; };
  // Called with each transaction as it is sent, whether or not it is carried out.
  std::function<void(const Transaction&)> on_commit = [](const Transaction&) {};
  std::map<std::uint64_t, Instant> renewed_leases;  // last grant or renewal, by lease

  bool open() const { return !refused && !store_.outage; }
  GetResult Get(const std::string& key) override {
    return Call<GetResult>(false, [&] {
      return IsRefused() ? GetResult{StoreStatus::kRefused, std::nullopt} : store_.Get(key);
    });
  }
  RangeResult Range(const std::string& prefix, const std::string& after,
                    std::uint32_t limit) override {
    return Call<RangeResult>(false, [&] {
      if (!IsRefused()) return store_.Range(prefix, after, limit);
      RangeResult result;
      result.status = StoreStatus::kRefused;
      return result;
    });
  }
  TransactionResult Commit(const Transaction& transaction) override {
    on_commit(transaction);
    return Call<TransactionResult>(true, [&] {
      const bool exceeds_rate_limit = rate_limited();
      return refused || exceeds_rate_limit
                 ? TransactionResult{StoreStatus::kRefused, {}, {}, exceeds_rate_limit}
                 : store_.Commit(transaction);
    });
  }
  LeaseResult Grant(Seconds time_to_live) override {
    return Call<LeaseResult>(false, [&] {
      if (IsRefused()) return LeaseResult{StoreStatus::kRefused, {}};
      const LeaseResult result = store_.Grant(time_to_live);
      if (result.status == StoreStatus::kOk) renewed_leases[result.lease.value] = now_;
      return result;
    });
  }
  StoreStatus KeepAlive(LeaseId lease) override {
    return Call<StoreStatus>(false, [&] {
      if (IsRefused()) return StoreStatus::kRefused;
      const StoreStatus status = store_.KeepAlive(lease);
      if (status == StoreStatus::kOk) renewed_leases[lease.value] = now_;
      return status;
    });
  }
  WatchResult Watch(const std::string& prefix, Revision after, Seconds block) override {
    return Call<WatchResult>(false, [&] {
      return IsRefused() ? WatchResult{StoreStatus::kRefused, false, {}, {}}
                         : store_.Watch(prefix, after, block);
    });
  }

 private:
  bool IsRefused() { return refused || rate_limited(); }

  template <typename Result, typename CarryOut>
  Result Call(bool write, CarryOut carry_out) {
    const InjectedFault fault = next_fault(write);
    if (fault.request_delay.value > 0) wait_(fault.request_delay);
    Result result = carry_out();
    if (fault.response_delay.value > 0) wait_(fault.response_delay);
    if constexpr (std::is_same_v<Result, StoreStatus>)
      return fault.response_lost ? StoreStatus::kUnknown : result;
    else
      return fault.response_lost ? Result{} : result;
  }

  FakeStore& store_;
  const Instant& now_;
  std::function<void(Seconds)> wait_;
};

}  // namespace magpie::testing
