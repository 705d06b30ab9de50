// What comes over the wire is checked; bad input gets the protocol's answer.
#include "protocol/codec.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

#include "controller/concurrency_limiter.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

const char kJob[] =
    R"({"id":"j-000412","flock":"train","nest":"red","gait":"batch","rank":"high","pecks":16,
    "cpus":2.0,"gpus":0.0,"ram_gb":4.0,"plumage":"img-07","image_gb":6.2,"perches":["small"],
    "roost":null,"together":true,"apart":false,"borrowed_branches":true,"flight_s":240.0,
    "cache_every_s":30.0,"stash_s":4.0,"dusk_s":900.0,"new_field":{"any":[1]}})";

TEST(CodecTest, JobRoundTripsThroughItsRecord) {
  JobSpec spec = protocol::JobFromUser(protocol::ParseObject(kJob));
  EXPECT_EQ(spec.priority, Priority::kHigh);
  EXPECT_EQ(spec.tasks, 16U);
  EXPECT_TRUE(spec.single_zone && spec.spot && !spec.spread && !spec.zone);
  spec.submitted = {12.5};
  EXPECT_EQ(protocol::JobToRecord(protocol::JobFromRecord(protocol::JobToRecord(spec))),
            protocol::JobToRecord(spec));
}

class SubmissionValidationTest : public ClusterTest {};

TEST_F(SubmissionValidationTest, MalformedSubmissionsChangeNothing) {
  TestController& node = AddController("n0");
  const Revision before = store.current_revision();
  for (const char* body : {"", "x", "[]", "null", "{}", "{\"id\":", "\xff\xfe"})
    EXPECT_EQ(node.api.Submit(body).status, 400) << body;
  EXPECT_EQ(node.api.Submit(std::string(60000, '[')).status, 400);
  const Json good = Json::parse(kJob);
  const std::vector<std::pair<const char*, Json>> wrong{{"id", 7},
                                                        {"id", "x-1"},
                                                        {"id", "j-"},
                                                        {"id", "j-1/../x"},
                                                        {"gait", "gang"},
                                                        {"rank", "huge"},
                                                        {"pecks", 0},
                                                        {"pecks", -1},
                                                        {"pecks", 100001},
                                                        {"pecks", 1.5},
                                                        {"pecks", "3"},
                                                        {"cpus", -1},
                                                        {"cpus", 1e300},
                                                        {"cpus", true},
                                                        {"ram_gb", "4"},
                                                        {"perches", "small"},
                                                        {"perches", {1}},
                                                        {"roost", 5},
                                                        {"together", 1},
                                                        {"flight_s", -0.1},
                                                        {"dusk_s", "soon"},
                                                        {"nest", nullptr},
                                                        {"plumage", Json::array()}};
  for (const auto& [field, value] : wrong) {
    Json body = good;
    body[field] = value;
    EXPECT_EQ(node.api.Submit(body.dump()).status, 400) << field << " " << value;
  }
  for (const char* field : {"id", "flock", "nest", "pecks", "cpus", "apart", "stash_s"}) {
    Json body = good;
    body.erase(field);
    EXPECT_EQ(node.api.Submit(body.dump()).status, 400) << field;
  }
  EXPECT_EQ(store.current_revision(), before);
}

TEST_F(SubmissionValidationTest, JobsThatCanNeverRunAreRejected) {
  TestController& node = AddController("n0");
  auto status = [&](auto change) {
    JobSpec spec = MakeJob("j-9");
    change(spec);
    return Submit(node, spec);
  };
  EXPECT_EQ(status([](JobSpec& s) { s.team = "green"; }), 422);
  EXPECT_EQ(status([](JobSpec& s) { s.per_task.cpus = 17; }), 422);
  EXPECT_EQ(status([](JobSpec& s) { s.per_task.gpus = 1; }), 422);
  EXPECT_EQ(status([](JobSpec& s) { s.zone = "c"; }), 422);
  EXPECT_EQ(status([](JobSpec& s) { s.types = {{"huge"}}; }), 422);
  EXPECT_EQ(status([](JobSpec& s) { s.team = "blue", s.per_task.cpus = 7; }), 422);
  EXPECT_EQ(status([](JobSpec& s) { s.team = "blue", s.kind = JobKind::kService, s.tasks = 4; }),
            422);
  EXPECT_EQ(status([](JobSpec& s) { s.team = "blue", s.tasks = 4; }), 201);
}

TEST(CodecTest, MalformedInputIsRejected) {
  for (const char* body :
       {R"({})", R"({"branch":"m","addr":"a","perch_kind":"t","roost":"z","stint":-1,"chirp":1,
           "crest":0,"pecks":[]})",
        R"({"branch":"m","addr":"a","perch_kind":"t","roost":"z","stint":1,"chirp":1,"crest":0,
           "pecks":[{"peck":"j-1","hop":1,"mood":"running"}]})",
        R"({"branch":"m","addr":"a","perch_kind":"t","roost":"z","stint":1,"chirp":1,"crest":0,
           "pecks":[{"peck":"j-1/2","hop":1,"mood":"ended","cause":"bored"}]})"})
    EXPECT_THROW(protocol::HeartbeatFromJson(protocol::ParseObject(body)), protocol::InvalidMessage)
        << body;
  EXPECT_THROW(protocol::TypesFromJson(Json::array()), protocol::InvalidMessage);
  EXPECT_THROW(protocol::TypesFromJson(Json::parse(R"({"perches":[{"name":"x","cpus":-4}]})")),
               protocol::InvalidMessage);
  EXPECT_THROW(protocol::MachineIdsFromJson(Json::parse(R"({"branches":[7]})")),
               protocol::InvalidMessage);
}

TEST(HttpServerTest, KeepsConnectionsAndRefusesLongBodies) {
  HttpServer server(
      [](const HttpRequest& r) {
        return HttpResponse{r.path == "/no" ? 404 : 200, r.method + r.path + r.body, false};
      },
      {});
  ASSERT_TRUE(server.Start({"127.0.0.1", 0}));
  HttpClient client({"127.0.0.1", server.port()}, {1}, {5}, 1);
  EXPECT_EQ(client.Get("/a?b=1").body, "GET/a?b=1");
  EXPECT_EQ(client.Post("/x", "{}").body, "POST/x{}");
  EXPECT_EQ(client.Get("/no").status, 404);
  EXPECT_EQ(client.Post("/x", std::string(70000, 'x')).status, 400);
  EXPECT_EQ(client.Post("/x", "again").body, "POST/xagain") << "on the same connection";
  httplib::Client raw("127.0.0.1", server.port());
  auto chunks = [](std::size_t, httplib::DataSink& sink) {
    sink.os << std::string(90000, 'x');
    sink.done();
    return true;
  };
  const auto chunked = raw.Post("/x", chunks, "text/plain");
  ASSERT_TRUE(chunked);
  EXPECT_EQ(chunked->status, 400) << "chunked bodies have the same limit";
  server.Shutdown();
  EXPECT_FALSE(client.Get("/a").answered);
}

// A raw connection to a server in this process.
int ConnectTo(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  addr.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(socket, reinterpret_cast<sockaddr*>(&addr), sizeof addr) == 0) return socket;
  close(socket);
  return -1;
}

// Connections that say nothing cost a socket each and no thread, and beyond the
// limit the longest silent one makes room.
TEST(HttpServerTest, SilentConnectionsDoNotStarveOthers) {
  HttpServer server([](const HttpRequest&) { return HttpResponse{200, "here", false}; },
                    {.connections = 8, .threads = 2});
  ASSERT_TRUE(server.Start({"127.0.0.1", 0}));
  std::vector<int> heartbeat_timeout;
  for (int i = 0; i < 20; ++i) heartbeat_timeout.push_back(ConnectTo(server.port()));
  HttpClient client({"127.0.0.1", server.port()}, {1}, {5}, 1);
  EXPECT_EQ(client.Get("/a").body, "here");
  char byte = 0;
  EXPECT_EQ(recv(heartbeat_timeout.front(), &byte, 1, 0), 0) << "the first one was closed";
  for (const int socket : heartbeat_timeout) close(socket);
}

// Requests that do not come whole hold a bounded number of bytes, together.
TEST(HttpServerTest, UnfinishedRequestsTakeBoundedMemory) {
  HttpServer server([](const HttpRequest& r) { return HttpResponse{200, r.body, false}; },
                    {.threads = 8, .pending_bytes = 3 * 4096});
  ASSERT_TRUE(server.Start({"127.0.0.1", 0}));
  const std::string head = "POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";
  std::vector<int> slow;
  for (int i = 0; i < 4; ++i) {
    slow.push_back(ConnectTo(server.port()));
    const std::string part = head + std::string(20000, 'x');
    ASSERT_EQ(send(slow.back(), part.data(), part.size(), 0), static_cast<ssize_t>(part.size()));
  }
  char byte = 0;
  for (const int socket : slow) EXPECT_LE(recv(socket, &byte, 1, 0), 0) << "closed unanswered";
  HttpClient client({"127.0.0.1", server.port()}, {1}, {5}, 1);
  EXPECT_EQ(client.Post("/x", "small").body, "small") << "others go on";
  for (const int socket : slow) close(socket);
}

// In a flood, polls give way before submissions, and reports are not counted.
TEST(ConcurrencyLimiterTest, PollsAreRefusedFirst) {
  ConcurrencyLimiter users({.max_requests = 2, .max_requests_for_poll = 1});
  const RequestPermit first(users);
  EXPECT_TRUE(first.Admits(RequestKind::kPoll));
  {
    const RequestPermit second(users);
    EXPECT_FALSE(second.Admits(RequestKind::kPoll));
    EXPECT_TRUE(second.Admits(RequestKind::kChange));
    EXPECT_FALSE(RequestPermit(users).Admits(RequestKind::kChange));
  }
  EXPECT_TRUE(RequestPermit(users).Admits(RequestKind::kChange)) << "the place is free again";
}

// A listening socket on a free port of the loopback, and its address.
void Listen(int& listener, sockaddr_in& addr) {
  listener = ::socket(AF_INET, SOCK_STREAM, 0);
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof addr;
  ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&addr), size), 0);
  ASSERT_EQ(listen(listener, 4), 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&addr), &size);
}

// Each system call and packet is paid for: a small request is one packet, head
// and body, and its connection serves the next one.
TEST(HttpClientTest, RequestIsOneSendOverAReusedConnection) {
  int listener = -1;
  sockaddr_in addr{};
  ASSERT_NO_FATAL_FAILURE(Listen(listener, addr));
  std::vector<std::string> got;
  std::thread peer([&] {
    const int socket = accept(listener, nullptr, nullptr);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    for (int i = 0; i < 3; ++i) {
      std::array<char, 4096> buffer{};
      const ssize_t n = recv(socket, buffer.data(), buffer.size(), 0);
      got.emplace_back(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
      send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    close(socket);
  });
  HttpClient client({"127.0.0.1", ntohs(addr.sin_port)}, Seconds{1}, Seconds{5}, 2);
  for (int i = 0; i < 3; ++i) {
    const HttpAnswer answer = client.Post("/x", R"({"n":1})");
    EXPECT_TRUE(answer.answered);
    EXPECT_EQ(answer.body, "{}");
  }
  peer.join();
  ASSERT_EQ(got.size(), 3U);
  for (const std::string& request : got) EXPECT_TRUE(request.ends_with(R"({"n":1})")) << request;
  close(listener);
  const HttpAnswer refused = client.Post("/x", "{}");
  EXPECT_FALSE(refused.answered) << "the other side has closed";
}

TEST(HttpClientTest, DistinguishesRequestsThatWereNeverSent) {
  HttpServer gone([](const HttpRequest&) { return HttpResponse{}; }, {});
  ASSERT_TRUE(gone.Start({"127.0.0.1", 0}));
  const int port = gone.port();
  gone.Shutdown();
  HttpClient client({"127.0.0.1", port}, {1}, {1}, 1);
  const HttpAnswer refused = client.Post("/do", "{}");
  EXPECT_FALSE(refused.sent);
  EXPECT_FALSE(refused.timed_out) << "nobody is there, and that was said at once";
}

// A lease is kept without the leader when it is silent, as over a cut, not when it ended.
TEST(HttpClientTest, DistinguishesTimeoutFromClosedConnection) {
  int listener = -1;
  sockaddr_in addr{};
  ASSERT_NO_FATAL_FAILURE(Listen(listener, addr));
  HttpClient client({"127.0.0.1", ntohs(addr.sin_port)}, Seconds{1}, Seconds{0.05}, 2);
  const HttpAnswer heartbeat_timeout = client.Post("/x", "{}");
  EXPECT_TRUE(heartbeat_timeout.sent);
  EXPECT_FALSE(heartbeat_timeout.answered);
  EXPECT_TRUE(heartbeat_timeout.timed_out);
  std::thread peer([&] {
    close(accept(listener, nullptr, nullptr));  // the one that timed out
    const int socket = accept(listener, nullptr, nullptr);
    char byte = 0;
    recv(socket, &byte, 1, 0);
    close(socket);
  });
  HttpClient patient({"127.0.0.1", ntohs(addr.sin_port)}, Seconds{5}, Seconds{5}, 2);
  const HttpAnswer closed = patient.Post("/x", "{}");
  peer.join();
  EXPECT_FALSE(closed.answered);
  EXPECT_FALSE(closed.timed_out);
  close(listener);
}

}  // namespace
}  // namespace magpie::testing
