// An in-memory key-value store that records each transaction in its protocol encoding.
#pragma once

#include <string>
#include <vector>

#include "fake_key_value_store.h"
#include "kv/http_key_value_store.h"

namespace magpie::testing {

class RecordingStore : public FakeStore {
 public:
  std::vector<std::string> transactions;

  TransactionResult Commit(const Transaction& transaction) override {
    transactions.push_back(TransactionToJson(transaction).dump());
    return FakeStore::Commit(transaction);
  }
};

}  // namespace magpie::testing
