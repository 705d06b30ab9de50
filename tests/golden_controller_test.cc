// Compares the calls between controllers with tests/golden/controllers/, byte for byte. One
// controller runs as a process; the test simulates its peer, the key-value store and the cloud.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <set>
#include <thread>

#include "golden_file.h"
#include "golden_jobs.h"
#include "kv/http_key_value_store.h"
#include "load_test/controller_process.h"
#include "load_test/state_server.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "records/records.h"

namespace magpie::testing {
namespace {

using load_test::ControllerProcess;
using load_test::EventLoop;
using load_test::ReservedPort;
using load_test::StateServer;

constexpr char kController[] = "nestbox-0";
constexpr char kPeer[] = "nestbox-1";
constexpr char kRequests[] = "controllers/requests.txt";
constexpr char kJobPath[] = "/v2/runs/j-000412";

// Waits until the condition holds. Returns false after a timeout.
template <typename Condition>
bool Eventually(Condition condition) {
  constexpr std::chrono::seconds kTimeout{20};
  constexpr std::chrono::milliseconds kPollInterval{50};
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// A simulated peer: answers each request according to its path and records the distinct requests.
class PeerServer {
 public:
  PeerServer() : server_([this](const HttpRequest& request) { return Respond(request); }, {}) {
    EXPECT_TRUE(server_.Start({"127.0.0.1", 0}));
  }
  Address address() const { return {"127.0.0.1", server_.port()}; }
  std::set<std::string> requests() {
    std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  HttpResponse Respond(const HttpRequest& request) {
    const std::string body = request.body.empty() ? "" : " " + request.body;
    {
      std::lock_guard lock(mutex_);
      requests_.insert(request.method + " " + request.path + body);
    }
    if (request.path == "/mesh/jobs") return {200, GoldenText("protocol/job_state_running.json")};
    if (request.path == "/mesh/counts") return {200, GoldenText("controllers/counts.json")};
    if (request.path == "/mesh/report") return {200, GoldenText("protocol/reply.json")};
    return {200, "{}"};
  }

  std::mutex mutex_;
  std::set<std::string> requests_;
  HttpServer server_;
};

HttpResponse CloudResponse(const HttpRequest& request) {
  if (request.path == "/flavors") return {200, GoldenText("protocol/machine_types.json")};
  if (request.method == "GET") return {200, GoldenText("protocol/machine_page_last.json")};
  return {503, R"({"error":"no capacity"})"};
}

StateServer::Options FastStoreOptions() {
  StateServer::Options options;
  options.service.requests_per_second = 1e4;
  options.service.writes_per_second = 1e4;
  options.latency = {0.001};
  return options;
}

class ControllerGoldenTest : public ::testing::Test {
 protected:
  ControllerGoldenTest()
      : state_server_(loop_, FastStoreOptions(), [](const Transaction&, Instant) {}),
        cloud_server_(CloudResponse, {}),
        file_prefix_(::testing::TempDir() + "golden-controller-" +
                     std::to_string(api_port_.address().port)),
        process_({MAGPIE_BINARY, "--config", file_prefix_ + ".toml"}, file_prefix_ + ".log"),
        user_client_(api_port_.address(), {1}, {5}, 1),
        peer_client_(peer_port_.address(), {1}, {5}, 1) {}

  void SetUp() override {
    ASSERT_TRUE(cloud_server_.Start({"127.0.0.1", 0}));
    const auto controller_store_address = state_server_.Serve(kController);
    const auto test_store_address = state_server_.Serve("test");
    ASSERT_TRUE(controller_store_address && test_store_address);
    store_.emplace(*test_store_address, Seconds{5});
    WriteSettings(*controller_store_address);
    loop_thread_ = std::thread([this] { loop_.Run(); });
  }

  void TearDown() override {
    process_.Kill();
    loop_.Stop();
    if (loop_thread_.joinable()) loop_thread_.join();
    std::remove((file_prefix_ + ".toml").c_str());
    std::remove((file_prefix_ + ".log").c_str());
  }

  void WriteSettings(const Address& state) {
    load_test::Scenario scenario;
    scenario.zones = {"a", "b"};
    scenario.teams = {{"vision"}};
    const Address cloud{"127.0.0.1", cloud_server_.port()};
    std::vector<load_test::ControllerPlan> plans(2);
    plans[0] = {kController, "a", api_port_.address(), peer_port_.address(), state, cloud};
    plans[1].label = kPeer;
    plans[1].zone = "b";
    plans[1].peer_address = peer_server_.address();
    std::ofstream(file_prefix_ + ".toml") << load_test::SettingsText(scenario, plans, 0);
  }

  // Starts the controller process and waits until it listens.
  void StartController() {
    ASSERT_TRUE(process_.Start());
    ASSERT_TRUE(Eventually([this] { return user_client_.Get("/healthz").answered; }))
        << process_.last_log_line();
  }

  void ExpectResponse(const HttpAnswer& answer, int status, const std::string& body) {
    EXPECT_EQ(answer.status, status);
    EXPECT_EQ(answer.body, body);
  }

  static Change LiveJobChange() {
    return {"j/j-000412", Json::parse(GoldenText("records/job_live.json")), std::nullopt};
  }

  EventLoop loop_;
  StateServer state_server_;
  std::thread loop_thread_;
  PeerServer peer_server_;
  HttpServer cloud_server_;
  ReservedPort api_port_;
  ReservedPort peer_port_;
  std::string file_prefix_;
  ControllerProcess process_;
  HttpClient user_client_;
  HttpClient peer_client_;
  std::optional<HttpKeyValueStore> store_;
};

TEST_F(ControllerGoldenTest, RequestsAreForwardedToPeerWhenStoreIsUnreachable) {
  loop_.Post([this] { state_server_.SetOutage(true); });
  StartController();
  const std::vector<std::string> lines = GoldenLines(kRequests);
  ASSERT_EQ(lines.size(), 6U);
  ASSERT_TRUE(Eventually([&] {
    user_client_.Get("/healthz");
    return peer_server_.requests().contains(lines[0]);
  }));
  const std::string answer = GoldenText("protocol/job_state_running.json");
  ExpectResponse(user_client_.Get(kJobPath), 200, answer);
  ExpectResponse(user_client_.Post("/v2/runs", GoldenText("protocol/job_array.json")), 200, answer);
  EXPECT_EQ(peer_server_.requests(), std::set<std::string>(lines.begin(), lines.begin() + 3));
}

TEST_F(ControllerGoldenTest, PeerCallsAreAnsweredWhenStoreIsUnreachable) {
  loop_.Post([this] { state_server_.SetOutage(true); });
  StartController();
  const std::string poll = R"({"body":"","method":"GET","path":"/v2/runs/j-000412"})";
  ASSERT_TRUE(Eventually([&] { return peer_client_.Post("/mesh/jobs", poll).status == 503; }));
  ExpectResponse(peer_client_.Post("/mesh/jobs", poll), 503, "{}");
  ExpectResponse(peer_client_.Get("/mesh/ping"), 200, "{}");
  ExpectResponse(peer_client_.Get("/mesh/counts"), 503, "{}");
  ExpectResponse(peer_client_.Post("/mesh/report", GoldenText("protocol/report_all_states.json")),
                 421, "{}");
  ExpectResponse(peer_client_.Post("/mesh/cancelled", GoldenText("controllers/cancellation.json")),
                 200, "{}");
  ExpectResponse(peer_client_.Post("/mesh/cancelled", "{}"), 400, "{}");
  ExpectResponse(peer_client_.Get("/mesh/other"), 404, R"({"error":"no such path"})");
}

TEST_F(ControllerGoldenTest, FollowerCallsLeader) {
  const LeaseId lease = store_->Grant(Seconds{600}).lease;
  const Json leader{{"label", kPeer}, {"nonce", "77"}};
  const Json epoch{{"key", 1}, {"leader", kPeer}, {"nonce", "77"}};
  const TransactionResult stored = store_->Commit(
      {{}, {{"c/leader", leader, lease}, {"c/epoch", epoch, std::nullopt}, LiveJobChange()}});
  ASSERT_EQ(stored.status, StoreStatus::kOk);
  ASSERT_EQ(stored.revision, Revision{2})
      << "the token in the golden file is derived from this revision";
  StartController();
  ASSERT_TRUE(Eventually([&] { return store_->Get("c/m/nestbox-0").entry.has_value(); }));
  const std::string running = GoldenText("protocol/job_state_running.json");
  EXPECT_TRUE(Eventually([&] { return user_client_.Get(kJobPath).body == running; }));
  // A worker without the leader's token is redirected. A worker with that token has lost its
  // connection to the leader, so its heartbeat is relayed.
  ExpectResponse(user_client_.Post("/checkin", GoldenText("protocol/report_all_states.json")), 421,
                 R"({"home_roost":"nestbox-1"})");
  ExpectResponse(user_client_.Post("/checkin", GoldenText("controllers/relayed_report.json")), 200,
                 GoldenText("protocol/reply.json"));
  ExpectResponse(user_client_.Post("/v2/runs/j-000412/withdraw", "{}"), 200,
                 GoldenText("protocol/job_answer_cancelled.json"));
  const std::vector<std::string> lines = GoldenLines(kRequests);
  ASSERT_EQ(lines.size(), 6U);
  EXPECT_EQ(peer_server_.requests(), std::set<std::string>(lines.begin() + 3, lines.end()));
}

TEST_F(ControllerGoldenTest, LeaderAnswersPeers) {
  ASSERT_EQ(store_->Commit({{}, {LiveJobChange()}}).status, StoreStatus::kOk);
  StartController();
  ASSERT_TRUE(Eventually([&] { return peer_client_.Get("/mesh/counts").status == 200; }));
  ExpectResponse(peer_client_.Get("/mesh/counts"), 200,
                 GoldenText("controllers/counts_of_new_leader.json"));
  const std::string poll = R"({"body":"","method":"GET","path":"/v2/runs/j-000412"})";
  ExpectResponse(peer_client_.Post("/mesh/jobs", poll), 200,
                 GoldenText("protocol/job_state_queued.json"));
  ExpectResponse(peer_client_.Post("/mesh/jobs", "{}"), 400, "{}");
}

}  // namespace
}  // namespace magpie::testing
