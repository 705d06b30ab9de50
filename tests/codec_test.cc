// Tests of message validation, HTTP server and client, and the concurrency limiter.
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

TEST(CodecTest, JobRoundTripsThroughRecord) {
  JobSpec spec = protocol::JobFromUser(protocol::ParseObject(kJob));
  EXPECT_EQ(spec.priority, Priority::kHigh);
  EXPECT_EQ(spec.tasks, 16U);
  EXPECT_TRUE(spec.single_zone && spec.spot && !spec.spread && !spec.zone);
  spec.submitted = {12.5};
  EXPECT_EQ(protocol::JobToRecord(protocol::JobFromRecord(protocol::JobToRecord(spec))),
            protocol::JobToRecord(spec));
}

class SubmissionValidationTest : public ClusterTest {};

TEST_F(SubmissionValidationTest, MalformedSubmissionsAreRejectedWithoutWrites) {
  TestController& node = AddController("n0");
  const Revision before = store.current_revision();
  for (const char* body : {"", "x", "[]", "null", "{}", "{\"id\":", "\xff\xfe"})
    EXPECT_EQ(node.api.Submit(body).status, 400) << body;
  EXPECT_EQ(node.api.Submit(std::string(60000, '[')).status, 400);
  const Json valid = Json::parse(kJob);
  const std::vector<std::pair<const char*, Json>> invalid_fields{{"id", 7},
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
  for (const auto& [field, value] : invalid_fields) {
    Json body = valid;
    body[field] = value;
    EXPECT_EQ(node.api.Submit(body.dump()).status, 400) << field << " " << value;
  }
  for (const char* field : {"id", "flock", "nest", "pecks", "cpus", "apart", "stash_s"}) {
    Json body = valid;
    body.erase(field);
    EXPECT_EQ(node.api.Submit(body.dump()).status, 400) << field;
  }
  EXPECT_EQ(store.current_revision(), before);
}

TEST_F(SubmissionValidationTest, UnsatisfiableJobsAreRejected) {
  TestController& node = AddController("n0");
  auto status = [&](auto change) {
    JobSpec spec = MakeJob("j-9");
    change(spec);
    return Submit(node, spec);
  };
  EXPECT_EQ(status([](JobSpec& spec) { spec.team = "green"; }), 422);
  EXPECT_EQ(status([](JobSpec& spec) { spec.per_task.cpus = 17; }), 422);
  EXPECT_EQ(status([](JobSpec& spec) { spec.per_task.gpus = 1; }), 422);
  EXPECT_EQ(status([](JobSpec& spec) { spec.zone = "c"; }), 422);
  EXPECT_EQ(status([](JobSpec& spec) { spec.types = {{"huge"}}; }), 422);
  EXPECT_EQ(status([](JobSpec& spec) { spec.team = "blue", spec.per_task.cpus = 7; }), 422);
  EXPECT_EQ(status([](JobSpec& spec) {
              spec.team = "blue", spec.kind = JobKind::kService, spec.tasks = 4;
            }),
            422);
  EXPECT_EQ(status([](JobSpec& spec) { spec.team = "blue", spec.tasks = 4; }), 201);
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

TEST(HttpServerTest, KeepsConnectionsOpenAndRejectsLongBodies) {
  HttpServer server(
      [](const HttpRequest& request) {
        return HttpResponse{request.path == "/no" ? 404 : 200,
                            request.method + request.path + request.body, false};
      },
      {});
  ASSERT_TRUE(server.Start({"127.0.0.1", 0}));
  HttpClient client({"127.0.0.1", server.port()}, {1}, {5}, 1);
  EXPECT_EQ(client.Get("/a?b=1").body, "GET/a?b=1");
  EXPECT_EQ(client.Post("/x", "{}").body, "POST/x{}");
  EXPECT_EQ(client.Get("/no").status, 404);
  EXPECT_EQ(client.Post("/x", std::string(70000, 'x')).status, 400);
  EXPECT_EQ(client.Post("/x", "again").body, "POST/xagain") << "the connection is reused";
  httplib::Client raw("127.0.0.1", server.port());
  auto chunks = [](std::size_t, httplib::DataSink& sink) {
    sink.os << std::string(90000, 'x');
    sink.done();
    return true;
  };
  const auto chunked = raw.Post("/x", chunks, "text/plain");
  ASSERT_TRUE(chunked);
  EXPECT_EQ(chunked->status, 400) << "the limit applies to chunked bodies too";
  server.Shutdown();
  EXPECT_FALSE(client.Get("/a").answered);
}

// Opens a raw connection to a server in this process; returns -1 on failure.
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

// Idle connections occupy a socket each but no thread. At the connection limit the server closes
// the one that has been idle longest.
TEST(HttpServerTest, IdleConnectionsDoNotBlockOthers) {
  HttpServer server([](const HttpRequest&) { return HttpResponse{200, "here", false}; },
                    {.connections = 8, .threads = 2});
  ASSERT_TRUE(server.Start({"127.0.0.1", 0}));
  std::vector<int> idle_sockets;
  for (int i = 0; i < 20; ++i) idle_sockets.push_back(ConnectTo(server.port()));
  HttpClient client({"127.0.0.1", server.port()}, {1}, {5}, 1);
  EXPECT_EQ(client.Get("/a").body, "here");
  char byte = 0;
  EXPECT_EQ(recv(idle_sockets.front(), &byte, 1, 0), 0) << "the connection idle longest was closed";
  for (const int socket : idle_sockets) close(socket);
}

// All incomplete requests together use a bounded amount of memory.
TEST(HttpServerTest, IncompleteRequestsUseBoundedMemory) {
  HttpServer server(
      [](const HttpRequest& request) { return HttpResponse{200, request.body, false}; },
      {.threads = 8, .pending_bytes = 3 * 4096});
  ASSERT_TRUE(server.Start({"127.0.0.1", 0}));
  const std::string head = "POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";
  std::vector<int> slow_sockets;
  for (int i = 0; i < 4; ++i) {
    slow_sockets.push_back(ConnectTo(server.port()));
    const std::string incomplete_request = head + std::string(20000, 'x');
    ASSERT_EQ(send(slow_sockets.back(), incomplete_request.data(), incomplete_request.size(), 0),
              static_cast<ssize_t>(incomplete_request.size()));
  }
  char byte = 0;
  for (const int socket : slow_sockets)
    EXPECT_LE(recv(socket, &byte, 1, 0), 0) << "the connection is closed without a response";
  HttpClient client({"127.0.0.1", server.port()}, {1}, {5}, 1);
  EXPECT_EQ(client.Post("/x", "small").body, "small") << "other requests are still served";
  for (const int socket : slow_sockets) close(socket);
}

// Under overload, polls are rejected before submissions. Heartbeats do not count.
TEST(ConcurrencyLimiterTest, PollsAreRejectedBeforeChanges) {
  ConcurrencyLimiter users({.max_requests = 2, .max_requests_for_poll = 1});
  const RequestPermit first(users);
  EXPECT_TRUE(first.Admits(RequestKind::kPoll));
  {
    const RequestPermit second(users);
    EXPECT_FALSE(second.Admits(RequestKind::kPoll));
    EXPECT_TRUE(second.Admits(RequestKind::kChange));
    EXPECT_FALSE(RequestPermit(users).Admits(RequestKind::kChange));
  }
  EXPECT_TRUE(RequestPermit(users).Admits(RequestKind::kChange)) << "the permit was returned";
}

// Opens a listening socket on a free loopback port and sets `addr` to its address.
void OpenListener(int& listener, sockaddr_in& addr) {
  listener = ::socket(AF_INET, SOCK_STREAM, 0);
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof addr;
  ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&addr), size), 0);
  ASSERT_EQ(listen(listener, 4), 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&addr), &size);
}

// The client must need no extra system calls and packets: the head and the body of a small request
// are sent in one packet, and the connection is reused for the next request.
TEST(HttpClientTest, RequestIsSingleSendOverReusedConnection) {
  int listener = -1;
  sockaddr_in addr{};
  ASSERT_NO_FATAL_FAILURE(OpenListener(listener, addr));
  std::vector<std::string> received;
  std::thread peer([&] {
    const int socket = accept(listener, nullptr, nullptr);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    for (int i = 0; i < 3; ++i) {
      std::array<char, 4096> buffer{};
      const ssize_t count = recv(socket, buffer.data(), buffer.size(), 0);
      received.emplace_back(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
      send(socket, response.data(), response.size(), MSG_NOSIGNAL);
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
  ASSERT_EQ(received.size(), 3U);
  for (const std::string& request : received)
    EXPECT_TRUE(request.ends_with(R"({"n":1})")) << request;
  close(listener);
  const HttpAnswer failed_answer = client.Post("/x", "{}");
  EXPECT_FALSE(failed_answer.answered) << "the server has closed the connection";
}

TEST(HttpClientTest, DistinguishesRequestsNeverSent) {
  HttpServer stopped_server([](const HttpRequest&) { return HttpResponse{}; }, {});
  ASSERT_TRUE(stopped_server.Start({"127.0.0.1", 0}));
  const int port = stopped_server.port();
  stopped_server.Shutdown();
  HttpClient client({"127.0.0.1", port}, {1}, {1}, 1);
  const HttpAnswer failed_answer = client.Post("/do", "{}");
  EXPECT_FALSE(failed_answer.sent);
  EXPECT_FALSE(failed_answer.timed_out) << "the connection is refused at once";
}

// A follower renews leases without the leader only after a timeout, as in a network partition, and
// not after the leader's process has ended and closed its connections.
TEST(HttpClientTest, DistinguishesTimeoutFromClosedConnection) {
  int listener = -1;
  sockaddr_in addr{};
  ASSERT_NO_FATAL_FAILURE(OpenListener(listener, addr));
  HttpClient client({"127.0.0.1", ntohs(addr.sin_port)}, Seconds{1}, Seconds{0.05}, 2);
  const HttpAnswer timeout_answer = client.Post("/x", "{}");
  EXPECT_TRUE(timeout_answer.sent);
  EXPECT_FALSE(timeout_answer.answered);
  EXPECT_TRUE(timeout_answer.timed_out);
  std::thread peer([&] {
    close(accept(listener, nullptr, nullptr));  // the connection that timed out
    const int socket = accept(listener, nullptr, nullptr);
    char byte = 0;
    recv(socket, &byte, 1, 0);
    close(socket);
  });
  HttpClient client_with_long_timeout({"127.0.0.1", ntohs(addr.sin_port)}, Seconds{5}, Seconds{5},
                                      2);
  const HttpAnswer closed = client_with_long_timeout.Post("/x", "{}");
  peer.join();
  EXPECT_FALSE(closed.answered);
  EXPECT_FALSE(closed.timed_out);
  close(listener);
}

}  // namespace
}  // namespace magpie::testing
