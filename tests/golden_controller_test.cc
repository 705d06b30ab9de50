// The calls between controllers as the deployed program makes and answers them, byte for byte,
// against tests/golden/controllers/. One controller runs as a process; the test stands in for
// its peer, the state service and the cloud.
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

// Waits until the condition holds; false: it did not within the time.
template <typename Condition>
bool Eventually(Condition condition) {
  constexpr std::chrono::seconds kPatience{20};
  constexpr std::chrono::milliseconds kPause{50};
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

// Answers by the path and keeps each different request.
class PeerServer {
 public:
  PeerServer() : server_([this](const HttpRequest& request) { return Answer(request); }, {}) {
    EXPECT_TRUE(server_.Start({"127.0.0.1", 0}));
  }
  Address address() const { return {"127.0.0.1", server_.port()}; }
  std::set<std::string> requests() {
    std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  HttpResponse Answer(const HttpRequest& request) {
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

HttpResponse AnswerAsCloud(const HttpRequest& request) {
  if (request.path == "/flavors") return {200, GoldenText("protocol/machine_types.json")};
  if (request.method == "GET") return {200, GoldenText("protocol/machine_page_last.json")};
  return {503, R"({"error":"no capacity"})"};
}

StateServer::Options FastState() {
  StateServer::Options options;
  options.service.requests_per_second = 1e4;
  options.service.writes_per_second = 1e4;
  options.latency = {0.001};
  return options;
}

class ControllerGoldenTest : public ::testing::Test {
 protected:
  ControllerGoldenTest()
      : state_(loop_, FastState(), [](const Transaction&, Instant) {}),
        cloud_(AnswerAsCloud, {}),
        files_(::testing::TempDir() + "golden-controller-" + std::to_string(api_.address().port)),
        process_({MAGPIE_BINARY, "--config", files_ + ".toml"}, files_ + ".log"),
        user_requests_(api_.address(), {1}, {5}, 1),
        mesh_(mesh_address_.address(), {1}, {5}, 1) {}

  void SetUp() override {
    ASSERT_TRUE(cloud_.Start({"127.0.0.1", 0}));
    const auto controllers_store = state_.Serve(kController);
    const auto tests_store = state_.Serve("test");
    ASSERT_TRUE(controllers_store && tests_store);
    store_.emplace(*tests_store, Seconds{5});
    WriteSettings(*controllers_store);
    loop_thread_ = std::thread([this] { loop_.Run(); });
  }

  void TearDown() override {
    process_.Kill();
    loop_.Stop();
    if (loop_thread_.joinable()) loop_thread_.join();
    std::remove((files_ + ".toml").c_str());
    std::remove((files_ + ".log").c_str());
  }

  void WriteSettings(const Address& state) {
    load_test::Scenario scenario;
    scenario.zones = {"a", "b"};
    scenario.teams = {{"vision"}};
    const Address cloud{"127.0.0.1", cloud_.port()};
    std::vector<load_test::ControllerPlan> plans(2);
    plans[0] = {kController, "a", api_.address(), mesh_address_.address(), state, cloud};
    plans[1].label = kPeer;
    plans[1].zone = "b";
    plans[1].peer_address = peer_.address();
    std::ofstream(files_ + ".toml") << load_test::SettingsText(scenario, plans, 0);
  }

  // Starts the program and waits until it listens.
  void StartController() {
    ASSERT_TRUE(process_.Start());
    ASSERT_TRUE(Eventually([this] { return user_requests_.Get("/healthz").answered; }))
        << process_.last_log_line();
  }

  void ExpectAnswer(const HttpAnswer& answer, int status, const std::string& body) {
    EXPECT_EQ(answer.status, status);
    EXPECT_EQ(answer.body, body);
  }

  static Change StoredJob() {
    return {"j/j-000412", Json::parse(GoldenText("records/job_live.json")), std::nullopt};
  }

  EventLoop loop_;
  StateServer state_;
  std::thread loop_thread_;
  PeerServer peer_;
  HttpServer cloud_;
  ReservedPort api_;
  ReservedPort mesh_address_;
  std::string files_;
  ControllerProcess process_;
  HttpClient user_requests_;
  HttpClient mesh_;
  std::optional<HttpKeyValueStore> store_;
};

TEST_F(ControllerGoldenTest, WithoutTheStateServiceItsPeerIsAsked) {
  loop_.Post([this] { state_.SetOutage(true); });
  StartController();
  const std::vector<std::string> lines = GoldenLines(kRequests);
  ASSERT_EQ(lines.size(), 6U);
  ASSERT_TRUE(Eventually([&] {
    user_requests_.Get("/healthz");
    return peer_.requests().contains(lines[0]);
  }));
  const std::string answer = GoldenText("protocol/job_state_running.json");
  ExpectAnswer(user_requests_.Get(kJobPath), 200, answer);
  ExpectAnswer(user_requests_.Post("/v2/runs", GoldenText("protocol/job_array.json")), 200, answer);
  EXPECT_EQ(peer_.requests(), std::set<std::string>(lines.begin(), lines.begin() + 3));
}

TEST_F(ControllerGoldenTest, WithoutTheStateServicePeersAreAnswered) {
  loop_.Post([this] { state_.SetOutage(true); });
  StartController();
  const std::string poll = R"({"body":"","method":"GET","path":"/v2/runs/j-000412"})";
  ASSERT_TRUE(Eventually([&] { return mesh_.Post("/mesh/jobs", poll).status == 503; }));
  ExpectAnswer(mesh_.Post("/mesh/jobs", poll), 503, "{}");
  ExpectAnswer(mesh_.Get("/mesh/ping"), 200, "{}");
  ExpectAnswer(mesh_.Get("/mesh/counts"), 503, "{}");
  ExpectAnswer(mesh_.Post("/mesh/report", GoldenText("protocol/report_all_states.json")), 421,
               "{}");
  ExpectAnswer(mesh_.Post("/mesh/cancelled", GoldenText("controllers/cancellation.json")), 200,
               "{}");
  ExpectAnswer(mesh_.Post("/mesh/cancelled", "{}"), 400, "{}");
  ExpectAnswer(mesh_.Get("/mesh/other"), 404, R"({"error":"no such path"})");
}

TEST_F(ControllerGoldenTest, FollowerAsksAndTellsTheLeader) {
  const LeaseId lease = store_->Grant(Seconds{600}).lease;
  const Json leader{{"label", kPeer}, {"nonce", "77"}};
  const Json epoch{{"key", 1}, {"leader", kPeer}, {"nonce", "77"}};
  const TransactionResult stored = store_->Commit(
      {{}, {{"c/leader", leader, lease}, {"c/epoch", epoch, std::nullopt}, StoredJob()}});
  ASSERT_EQ(stored.status, StoreStatus::kOk);
  ASSERT_EQ(stored.revision, Revision{2}) << "makes the token in the file";
  StartController();
  ASSERT_TRUE(Eventually([&] { return store_->Get("c/m/nestbox-0").entry.has_value(); }));
  const std::string running = GoldenText("protocol/job_state_running.json");
  EXPECT_TRUE(Eventually([&] { return user_requests_.Get(kJobPath).body == running; }));
  // One that has not seen the leader's token is sent there; one that has can't reach it any more.
  ExpectAnswer(user_requests_.Post("/checkin", GoldenText("protocol/report_all_states.json")), 421,
               R"({"home_roost":"nestbox-1"})");
  ExpectAnswer(user_requests_.Post("/checkin", GoldenText("controllers/relayed_report.json")), 200,
               GoldenText("protocol/reply.json"));
  ExpectAnswer(user_requests_.Post("/v2/runs/j-000412/withdraw", "{}"), 200,
               GoldenText("protocol/job_answer_cancelled.json"));
  const std::vector<std::string> lines = GoldenLines(kRequests);
  ASSERT_EQ(lines.size(), 6U);
  EXPECT_EQ(peer_.requests(), std::set<std::string>(lines.begin() + 3, lines.end()));
}

TEST_F(ControllerGoldenTest, LeaderAnswersItsPeers) {
  ASSERT_EQ(store_->Commit({{}, {StoredJob()}}).status, StoreStatus::kOk);
  StartController();
  ASSERT_TRUE(Eventually([&] { return mesh_.Get("/mesh/counts").status == 200; }));
  ExpectAnswer(mesh_.Get("/mesh/counts"), 200, GoldenText("controllers/counts_of_new_leader.json"));
  const std::string poll = R"({"body":"","method":"GET","path":"/v2/runs/j-000412"})";
  ExpectAnswer(mesh_.Post("/mesh/jobs", poll), 200, GoldenText("protocol/job_state_queued.json"));
  ExpectAnswer(mesh_.Post("/mesh/jobs", "{}"), 400, "{}");
}

}  // namespace
}  // namespace magpie::testing
