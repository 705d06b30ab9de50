// Compares the HTTP calls to the key-value store, the cloud and workers with
// tests/golden/protocol/: method, path and body byte for byte, and how each answer is decoded.
#include <mutex>

#include "cloud/cloud_client.h"
#include "golden_file.h"
#include "kv/http_key_value_store.h"
#include "net/http_server.h"
#include "protocol/codec.h"
#include "worker/worker_client.h"

namespace magpie::testing {
namespace {

// Returns scripted answers in order and records the requests.
class ScriptedServer {
 public:
  // Each answer consists of a status, a space and a body.
  explicit ScriptedServer(std::vector<std::string> answers)
      : answers_(std::move(answers)),
        server_([this](const HttpRequest& request) { return Respond(request); }, {}) {
    EXPECT_TRUE(server_.Start({"127.0.0.1", 0}));
  }
  Address address() const { return {"127.0.0.1", server_.port()}; }
  std::vector<std::string> requests() {
    std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  HttpResponse Respond(const HttpRequest& request) {
    std::lock_guard lock(mutex_);
    const std::string body = request.body.empty() ? "" : " " + request.body;
    requests_.push_back(request.method + " " + request.path + body);
    if (requests_.size() > answers_.size()) return {500, "{}"};
    const std::string& answer = answers_[requests_.size() - 1];
    constexpr std::size_t kStatusDigits = 3;
    return {std::stoi(answer.substr(0, kStatusDigits)), answer.substr(kStatusDigits + 1)};
  }

  std::mutex mutex_;
  std::vector<std::string> answers_;
  std::vector<std::string> requests_;
  HttpServer server_;
};

std::string OkAnswer(const std::string& file) { return "200 " + GoldenText(file); }

// --- key-value store

class KeyValueStoreGoldenTest : public ::testing::Test {
 protected:
  // Starts a server that returns line `line` of the answers file, and expects the request in the
  // same line of the requests file.
  void ExpectRequest(std::size_t line) {
    const std::vector<std::string> answers = GoldenLines("protocol/state_answers.txt");
    const std::vector<std::string> requests = GoldenLines("protocol/state_requests.txt");
    ASSERT_EQ(answers.size(), requests.size());
    ASSERT_LT(line, answers.size());
    server_.emplace(std::vector<std::string>{answers[line]});
    store_.emplace(server_->address(), Seconds{5});
    expected_ = {requests[line]};
  }
  void TearDown() override { EXPECT_EQ(server_->requests(), expected_); }

  static Transaction GoldenTransaction() {
    return {{{"a/b", {412}}}, {{"c/d", std::nullopt, std::nullopt}}};
  }

  std::optional<ScriptedServer> server_;
  std::optional<HttpKeyValueStore> store_;
  std::vector<std::string> expected_;
};

TEST_F(KeyValueStoreGoldenTest, GetReturnsEntry) {
  ExpectRequest(0);
  const GetResult result = store_->Get("a/b");
  EXPECT_EQ(result.status, StoreStatus::kOk);
  ASSERT_TRUE(result.entry);
  EXPECT_EQ(result.entry->key, "a/b");
  EXPECT_EQ(result.entry->value.dump(), R"({"n":1})");
  EXPECT_EQ(result.entry->revision, Revision{412});
}

TEST_F(KeyValueStoreGoldenTest, GetOfAbsentKeyReturnsNoEntry) {
  ExpectRequest(1);
  const GetResult result = store_->Get("c/d");
  EXPECT_EQ(result.status, StoreStatus::kOk);
  EXPECT_FALSE(result.entry);
}

TEST_F(KeyValueStoreGoldenTest, RangeReturnsFirstPage) {
  ExpectRequest(2);
  const RangeResult result = store_->Range("c/", "", 200);
  EXPECT_EQ(result.status, StoreStatus::kOk);
  EXPECT_TRUE(result.more);
  EXPECT_EQ(result.revision, Revision{431});
  ASSERT_EQ(result.entries.size(), 2U);
  EXPECT_EQ(result.entries[0].key, "c/7");
  EXPECT_EQ(result.entries[0].value.dump(), R"({"n":1})");
  EXPECT_EQ(result.entries[0].revision, Revision{412});
  EXPECT_EQ(result.entries[1].key, "c/8");
  EXPECT_EQ(result.entries[1].value.dump(), "[2]");
  EXPECT_EQ(result.entries[1].revision, Revision{413});
}

TEST_F(KeyValueStoreGoldenTest, RangeReturnsLaterPage) {
  ExpectRequest(3);
  const RangeResult result = store_->Range("c/", "c/7", 200);
  EXPECT_EQ(result.status, StoreStatus::kOk);
  EXPECT_FALSE(result.more);
  EXPECT_EQ(result.revision, Revision{431});
  EXPECT_TRUE(result.entries.empty());
}

TEST_F(KeyValueStoreGoldenTest, TransactionIsCommitted) {
  ExpectRequest(4);
  const TransactionResult result = store_->Commit(GoldenTransaction());
  EXPECT_EQ(result.status, StoreStatus::kOk);
  EXPECT_EQ(result.revision, Revision{432});
  EXPECT_TRUE(result.failed.empty());
}

TEST_F(KeyValueStoreGoldenTest, ConflictNamesFailedConditions) {
  ExpectRequest(5);
  const TransactionResult result = store_->Commit(GoldenTransaction());
  EXPECT_EQ(result.status, StoreStatus::kConflict);
  EXPECT_EQ(result.revision, Revision{431});
  EXPECT_EQ(result.failed, std::vector<std::string>{"a/b"});
}

TEST_F(KeyValueStoreGoldenTest, LeaseIsGranted) {
  ExpectRequest(6);
  const LeaseResult result = store_->Grant(Seconds{5});
  EXPECT_EQ(result.status, StoreStatus::kOk);
  EXPECT_EQ(result.lease, LeaseId{7});
}

TEST_F(KeyValueStoreGoldenTest, LeaseIsRenewed) {
  ExpectRequest(7);
  EXPECT_EQ(store_->KeepAlive({7}), StoreStatus::kOk);
}

TEST_F(KeyValueStoreGoldenTest, EndedLeaseIsNotRenewed) {
  ExpectRequest(8);
  EXPECT_EQ(store_->KeepAlive({7}), StoreStatus::kInvalid);
}

TEST_F(KeyValueStoreGoldenTest, WatchReturnsChanges) {
  ExpectRequest(9);
  const WatchResult result = store_->Watch("c/", {431}, Seconds{10});
  EXPECT_EQ(result.status, StoreStatus::kOk);
  EXPECT_FALSE(result.too_old);
  EXPECT_EQ(result.revision, Revision{433});
  ASSERT_EQ(result.events.size(), 2U);
  EXPECT_EQ(result.events[0].key, "c/9");
  ASSERT_TRUE(result.events[0].value);
  EXPECT_EQ(result.events[0].value->dump(), R"({"n":3})");
  EXPECT_EQ(result.events[0].revision, Revision{433});
  EXPECT_EQ(result.events[1].key, "c/d");
  EXPECT_FALSE(result.events[1].value);
  EXPECT_EQ(result.events[1].revision, Revision{432});
}

TEST_F(KeyValueStoreGoldenTest, WatchReportsRevisionTooOld) {
  ExpectRequest(10);
  const WatchResult result = store_->Watch("c/", {1}, Seconds{0});
  EXPECT_EQ(result.status, StoreStatus::kOk);
  EXPECT_TRUE(result.too_old);
}

// --- cloud

TEST(CloudGoldenTest, CallsMatchFile) {
  ScriptedServer server({OkAnswer("protocol/machine_types.json"),
                         OkAnswer("protocol/machine_ids.json"), R"(503 {"error":"no capacity"})",
                         "200 {}", OkAnswer("protocol/machine_page.json"),
                         OkAnswer("protocol/machine_page_last.json")});
  CloudClient cloud(server.address(), Seconds{5});
  const auto types = cloud.Types();
  ASSERT_TRUE(types);
  EXPECT_EQ(types->size(), 2U);
  const ScaleOutRequest scale_out{"r-17", {"g8", "a", true}, 12};
  const ProvisionResult provisioned = cloud.Provision(scale_out);
  EXPECT_EQ(provisioned.status, CloudStatus::kOk);
  EXPECT_EQ(provisioned.machines, (std::vector<MachineId>{{"vm-000231"}, {"vm-000232"}}));
  EXPECT_EQ(cloud.Provision(scale_out).status, CloudStatus::kNoCapacity);
  EXPECT_EQ(cloud.Release({{"vm-000231"}, {"vm-000232"}}), CloudStatus::kOk);
  const auto machines = cloud.List();
  ASSERT_TRUE(machines);
  EXPECT_EQ(machines->size(), 3U);
  EXPECT_EQ(server.requests(), GoldenLines("protocol/cloud_requests.txt"));
}

// --- workers

TEST(WorkerGoldenTest, DirectCommandsAndProbesMatchFile) {
  ScriptedServer server({OkAnswer("protocol/report_all_states.json"),
                         "409 " + GoldenText("protocol/report_with_notice.json")});
  DirectCommand direct_command;
  direct_command.addr = "127.0.0.1:" + std::to_string(server.address().port);
  direct_command.agent_epoch = 3;
  direct_command.token = {41};
  direct_command.commands = {{CommandKind::kRun, {{"j-000412"}, 4}, {2}, {}}};
  const DirectCommandResult executed = SendDirectCommand(direct_command, Seconds{5});
  EXPECT_EQ(executed.status, DeliveryStatus::kAnswered);
  ASSERT_TRUE(executed.heartbeat);
  EXPECT_EQ(protocol::HeartbeatToJson(*executed.heartbeat).dump(),
            GoldenText("protocol/report_all_states.json"));
  direct_command.commands.clear();
  const DirectCommandResult refused = SendDirectCommand(direct_command, Seconds{5});
  EXPECT_EQ(refused.status, DeliveryStatus::kAnswered);
  ASSERT_TRUE(refused.heartbeat);
  EXPECT_EQ(protocol::HeartbeatToJson(*refused.heartbeat).dump(),
            GoldenText("protocol/report_with_notice.json"));
  EXPECT_EQ(server.requests(), GoldenLines("protocol/worker_requests.txt"));
}

}  // namespace
}  // namespace magpie::testing
