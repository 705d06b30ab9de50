// Resource use of a controller with 1.5 times the machines of the largest deployment.
#include <malloc.h>

#include "controller/settings.h"
#include "net/http_server.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

constexpr std::uint32_t kMachines = 3000;

std::size_t AllocatedBytes() { return mallinfo2().uordblks; }

Heartbeat HeartbeatOf(std::uint32_t number, std::uint64_t sequence, FencingToken token) {
  Heartbeat heartbeat;
  heartbeat.machine.value = std::string("vm-").append(std::to_string(100000 + number));
  heartbeat.addr = std::string("127.0.0.1:").append(std::to_string(10000 + number));
  heartbeat.type = std::string("large");
  heartbeat.zone = std::string(1, number % 2 == 0 ? 'a' : 'b');
  heartbeat.agent_epoch = 1;
  heartbeat.sequence = sequence;
  heartbeat.token = token;
  return heartbeat;
}

// Checks the leader's memory with all machines up and fully used, and a third of the tasks waiting.
// The smallest controllers have 128 MB, of which a quarter is reserved for threads and buffers.
// Sanitizers replace the allocator, so with them the test does not measure memory.
TEST(LargeInstallationTest, LeaderManagesThreeThousandMachinesWithinMemoryLimit) {
  Scheduler::Options options;
  options.teams = {{"red", 0, 0, 0, 0}};
  options.headroom = 0;
  const std::size_t bytes_before = AllocatedBytes();
  Scheduler core(options, {});
  core.SetTypes(Types());
  Instant now{100};
  const WallTime wall{1000};
  core.Start({7}, "n0-7-", now);
  for (int i = 0; i < 600; ++i)
    core.LoadJob(MakeJob(std::string("j-").append(std::to_string(1000 + i)), 60), false, {100});
  core.FinishLoad(now);
  std::uint64_t sequence = 0;
  std::uint64_t revision = 1000;
  const auto heartbeats = [&] {
    ++sequence;
    std::size_t commands = 0;
    for (std::uint32_t i = 0; i < kMachines; ++i)
      commands += core.OnHeartbeat(HeartbeatOf(i, sequence, {}), now).commands.size();
    return commands;
  };
  heartbeats();
  for (int round = 0; round < 40; ++round) {
    now = now + Seconds{0.3};
    core.Tick(now, wall);
    for (WriteBatch plan = core.NextWriteBatch(now); !plan.empty(); plan = core.NextWriteBatch(now))
      core.OnWriteCommitted(plan, {++revision}, now);
  }
  const std::size_t commands = heartbeats();
  const SchedulerStatus status = core.GetStatus();
  EXPECT_EQ(status.machines_up, kMachines);
  EXPECT_EQ(status.bound, 8U * kMachines);
  EXPECT_EQ(commands, 8U * kMachines);
  EXPECT_EQ(status.pending, 600U * 60 - 8 * kMachines);
  constexpr std::size_t kMaxBytes = 64UL << 20U;
  EXPECT_LT(AllocatedBytes() - std::min(bytes_before, AllocatedBytes()), kMaxBytes);
}

// The number of threads and connections depends on memory and sockets, not on machines.
TEST(LargeInstallationTest, MoreClientsThanConnectionLimitAreAnswered) {
  HttpServer server(
      [](const HttpRequest&) { return HttpResponse{200, "{}", 0, true}; },
      HttpServer::Limits{.connections = 20, .keep_alive_connections = 15, .threads = 4});
  ASSERT_TRUE(server.Start({"127.0.0.1", 0}));
  int answered = 0;
  for (int i = 0; i < 60; ++i) {
    httplib::Client client("127.0.0.1", server.port());
    const auto response = client.Post("/checkin", "{}", "application/json");
    answered += response && response->status == 200 ? 1 : 0;
  }
  EXPECT_EQ(answered, 60);
  server.Shutdown();
}

}  // namespace
}  // namespace magpie::testing
