// HTTP client of the key-value store. Only its .cc file uses the protocol's field names.
#pragma once

#include <mutex>

#include "kv/answer_timeout.h"
#include "kv/key_value_store.h"
#include "net/http_client.h"

namespace magpie {

// Reads and lease requests use `timeout`; a watch that blocks may take longer than it blocks by a
// margin. Transactions use a timeout derived from measured latencies, at most `timeout`
// (kv/answer_timeout.h). Thread-safe.
class HttpKeyValueStore : public KeyValueStore {
 public:
  HttpKeyValueStore(const Address& address, Seconds timeout);

  GetResult Get(const std::string& key) override;
  RangeResult Range(const std::string& prefix, const std::string& after,
                    std::uint32_t limit) override;
  TransactionResult Commit(const Transaction& transaction) override;
  LeaseResult Grant(Seconds time_to_live) override;
  StoreStatus KeepAlive(LeaseId lease) override;
  WatchResult Watch(const std::string& prefix, Revision after, Seconds block) override;

 private:
  // Sends a read that the store answers without blocking, and records the latency of the response
  // in answer_timeout_.
  HttpAnswer GetAndMeasure(const std::string& path);

  HttpClient client_;
  std::mutex mutex_;
  AnswerTimeout answer_timeout_;  // guarded by mutex_
};

// The request body of a transaction.
Json TransactionToJson(const Transaction& transaction);

}  // namespace magpie
