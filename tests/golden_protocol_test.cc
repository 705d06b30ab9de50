// Compares the messages of the protocol with tests/golden/protocol/, byte for byte.
#include <functional>
#include <ostream>

#include "golden_file.h"
#include "golden_jobs.h"
#include "kv/http_key_value_store.h"
#include "protocol/codec.h"

namespace magpie::testing {
namespace {

using protocol::Json;

Json ParsedFile(const std::string& file) { return protocol::ParseObject(GoldenText(file)); }

std::vector<Command> GoldenCommands() {
  return {{CommandKind::kRun, {{"j-000412"}, 4}, {2}, {}},
          {CommandKind::kStop, {{"j-000377"}, 1}, {1}, {10}},
          {CommandKind::kStop, {{"j-7"}, 0}, {3}, {0}},
          {CommandKind::kForget, {{"j-000398"}, 0}, {1}, {}}};
}

// --- messages that are decoded and encoded

struct RoundTrip {
  const char* name;
  const char* file;
  std::function<Json(const Json&)> reencode;
};
void PrintTo(const RoundTrip& message, std::ostream* out) { *out << message.file; }

class ProtocolGoldenRoundTripTest : public ::testing::TestWithParam<RoundTrip> {};

TEST_P(ProtocolGoldenRoundTripTest, EncodesToOriginalBytes) {
  const std::string text = GoldenText(GetParam().file);
  EXPECT_EQ(GetParam().reencode(Json::parse(text)).dump(), text);
}

Json ReencodeHeartbeat(const Json& body) {
  return protocol::HeartbeatToJson(protocol::HeartbeatFromJson(body));
}
Json ReencodeCommands(const Json& body) {
  return protocol::CommandsToJson(protocol::CommandsFromJson(body));
}
Json ReencodeMachineIds(const Json& body) {
  return protocol::MachineIdsToJson(protocol::MachineIdsFromJson(body));
}

INSTANTIATE_TEST_SUITE_P(
    Messages, ProtocolGoldenRoundTripTest,
    ::testing::Values(RoundTrip{"HeartbeatWithAllTaskStates", "protocol/report_all_states.json",
                                ReencodeHeartbeat},
                      RoundTrip{"HeartbeatWithPreemptionNotice", "protocol/report_with_notice.json",
                                ReencodeHeartbeat},
                      RoundTrip{"Commands", "protocol/commands.json", ReencodeCommands},
                      RoundTrip{"MachineIds", "protocol/machine_ids.json", ReencodeMachineIds},
                      RoundTrip{"NoMachineIds", "protocol/machine_ids_none.json",
                                ReencodeMachineIds}),
    RowName{});

// --- messages that are only encoded

struct EncodedMessage {
  const char* name;
  const char* file;
  std::function<Json()> encode;
};
void PrintTo(const EncodedMessage& message, std::ostream* out) { *out << message.file; }

class ProtocolGoldenWriteTest : public ::testing::TestWithParam<EncodedMessage> {};

TEST_P(ProtocolGoldenWriteTest, EncodingMatchesFile) {
  EXPECT_EQ(GetParam().encode().dump(), GoldenText(GetParam().file));
}

std::function<Json()> JobReplyEncoder(const char* state) {
  return [state] { return protocol::JobStatusReplyToJson({{"j-000412"}, state, 16, 13}, false); };
}

std::function<Json()> JobStateEncoder(const char* state, std::uint32_t done,
                                      std::uint32_t running) {
  return [=] { return protocol::JobStatusReplyToJson({{"j-000412"}, state, done, running}, true); };
}

INSTANTIATE_TEST_SUITE_P(
    JobResponses, ProtocolGoldenWriteTest,
    ::testing::Values(EncodedMessage{"Accepted", "protocol/job_answer_accepted.json",
                                     JobReplyEncoder(protocol::kQueued)},
                      EncodedMessage{"Cancelled", "protocol/job_answer_cancelled.json",
                                     JobReplyEncoder(protocol::kCancelled)},
                      EncodedMessage{"AlreadyDone", "protocol/job_answer_already_done.json",
                                     JobReplyEncoder(protocol::kDone)},
                      EncodedMessage{"StateQueued", "protocol/job_state_queued.json",
                                     JobStateEncoder(protocol::kQueued, 0, 0)},
                      EncodedMessage{"StateRunning", "protocol/job_state_running.json",
                                     JobStateEncoder(protocol::kRunning, 3, 13)},
                      EncodedMessage{"StateDone", "protocol/job_state_done.json",
                                     JobStateEncoder(protocol::kDone, 16, 0)},
                      EncodedMessage{"StateCancelled", "protocol/job_state_cancelled.json",
                                     JobStateEncoder(protocol::kCancelled, 5, 0)}),
    RowName{});

INSTANTIATE_TEST_SUITE_P(
    WorkerMessages, ProtocolGoldenWriteTest,
    ::testing::Values(
        EncodedMessage{"HeartbeatResponse", "protocol/reply.json",
                       [] { return protocol::HeartbeatResponseToJson({41}, GoldenCommands()); }},
        EncodedMessage{
            "HeartbeatResponseWithoutCommands", "protocol/reply_without_commands.json",
            [] { return protocol::HeartbeatResponseToJson({18446744073709551615U}, {}); }},
        EncodedMessage{"Redirect", "protocol/redirect.json",
                       [] { return protocol::RedirectToJson("nestbox-2"); }},
        EncodedMessage{"DirectCommands", "protocol/direct_commands.json",
                       [] { return protocol::DirectCommandToJson({41}, 3, GoldenCommands()); }},
        EncodedMessage{"DirectProbe", "protocol/direct_probe.json",
                       [] { return protocol::DirectCommandToJson({41}, 3, {}); }}),
    RowName{});

INSTANTIATE_TEST_SUITE_P(
    CloudAndStoreMessages, ProtocolGoldenWriteTest,
    ::testing::Values(
        EncodedMessage{"ProvisionSpot", "protocol/rent.json",
                       [] { return protocol::ProvisionToJson("r-17", "g8", "a", true, 12); }},
        EncodedMessage{"ProvisionOnDemand", "protocol/rent_ordinary.json",
                       [] {
                         return protocol::ProvisionToJson("nestbox-0-3-1", "c16", "kochi-port",
                                                          false, 50);
                       }},
        EncodedMessage{"Transaction", "protocol/transaction.json",
                       [] {
                         return TransactionToJson(
                             {{{"a/b", {0}}, {"c/d", {18446744073709551615U}}},
                              {{"a/b", Json{{"text", "x"}}, LeaseId{7}},
                               {"a/c", Json::array({1, 2.5, nullptr}), std::nullopt},
                               {"c/d", std::nullopt, std::nullopt}}});
                       }},
        EncodedMessage{"TransactionWithConditionsOnly", "protocol/transaction_compare_only.json",
                       [] { return TransactionToJson({{{"c/epoch", {9}}}, {}}); }}),
    RowName{});

TEST(ProtocolGoldenTest, PathsMatchFile) {
  const std::vector<std::string> paths{
      protocol::kJobsPath,      protocol::kCancelSuffix, protocol::kHealthPath,
      protocol::kHeartbeatPath, protocol::kCommandsPath, protocol::kInspectPath,
      protocol::kTypesPath,     protocol::kMachinesPath, protocol::kReleasePath};
  EXPECT_EQ(paths, GoldenLines("protocol/paths.txt"));
}

TEST(ProtocolGoldenTest, MachineListQueriesMatchFile) {
  const std::vector<std::string> queries{protocol::MachineListQuery({}, 500),
                                         protocol::MachineListQuery({"vm-000230"}, 500)};
  EXPECT_EQ(queries, GoldenLines("protocol/machine_list_queries.txt"));
}

// --- messages that are only decoded

struct SubmittedJob {
  const char* name;
  const char* file;
  JobSpec expected;
};
void PrintTo(const SubmittedJob& message, std::ostream* out) { *out << message.file; }

class ProtocolGoldenJobTest : public ::testing::TestWithParam<SubmittedJob> {};

TEST_P(ProtocolGoldenJobTest, IsDecoded) {
  ExpectSameJob(protocol::JobFromUser(ParsedFile(GetParam().file)), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Jobs, ProtocolGoldenJobTest,
    ::testing::Values(SubmittedJob{"Array", "protocol/job_array.json", GoldenArrayJob()},
                      SubmittedJob{"Service", "protocol/job_service.json", GoldenServiceJob()},
                      SubmittedJob{"OptionalFieldsNull", "protocol/job_optional_null.json",
                                   GoldenSmallestJob(Priority::kNormal)},
                      SubmittedJob{"OptionalFieldsAbsent", "protocol/job_optional_absent.json",
                                   GoldenSmallestJob(Priority::kLow)}),
    RowName{});

void ExpectSameTask(const TaskStatus& task, const TaskStatus& expected) {
  EXPECT_EQ(task.task, expected.task);
  EXPECT_EQ(task.attempt, expected.attempt);
  EXPECT_EQ(task.state, expected.state);
  EXPECT_EQ(task.reason, expected.reason);
  EXPECT_EQ(task.saved, expected.saved);
}

void ExpectSameHeartbeat(const Heartbeat& heartbeat, const Heartbeat& expected) {
  EXPECT_EQ(heartbeat.machine, expected.machine);
  EXPECT_EQ(heartbeat.addr, expected.addr);
  EXPECT_EQ(heartbeat.type, expected.type);
  EXPECT_EQ(heartbeat.zone, expected.zone);
  EXPECT_EQ(heartbeat.spot, expected.spot);
  EXPECT_EQ(heartbeat.agent_epoch, expected.agent_epoch);
  EXPECT_EQ(heartbeat.sequence, expected.sequence);
  EXPECT_EQ(heartbeat.token, expected.token);
  EXPECT_EQ(heartbeat.preemption_notice, expected.preemption_notice);
  ASSERT_EQ(heartbeat.tasks.size(), expected.tasks.size());
  for (std::size_t i = 0; i < expected.tasks.size(); ++i) {
    SCOPED_TRACE(protocol::TaskIdToText(expected.tasks[i].task));
    ExpectSameTask(heartbeat.tasks[i], expected.tasks[i]);
  }
}

Heartbeat HeartbeatWith(std::vector<TaskStatus> tasks) {
  return {{"vm-000231"}, "10.1.0.232:9000", "g8", "a", true, 1, 88, {41},
          std::nullopt,  std::move(tasks)};
}

TaskStatus EndedTask(std::uint32_t index, std::uint64_t attempt, ExitReason reason,
                     bool saved = false) {
  return {{{"j-000398"}, index}, {attempt}, TaskState::kEnded, reason, saved};
}

std::vector<TaskStatus> AllTaskStates() {
  return {{{{"j-000412"}, 3}, {2}, TaskState::kRunning, ExitReason::kNone, false},
          {{{"j-000412"}, 4}, {1}, TaskState::kFetching, ExitReason::kNone, false},
          {{{"j-7"}, 0}, {3}, TaskState::kSaving, ExitReason::kNone, false},
          EndedTask(0, 1, ExitReason::kDone),
          EndedTask(1, 1, ExitReason::kStopped),
          EndedTask(2, 5, ExitReason::kStopped, true),
          EndedTask(3, 1, ExitReason::kError),
          EndedTask(4, 1, ExitReason::kInsufficientCapacity),
          EndedTask(5, 2, ExitReason::kBusy),
          EndedTask(99999, 1, ExitReason::kUnknown)};
}

TEST(ProtocolGoldenTest, HeartbeatWithAllTaskStatesIsDecoded) {
  ExpectSameHeartbeat(protocol::HeartbeatFromJson(ParsedFile("protocol/report_all_states.json")),
                      HeartbeatWith(AllTaskStates()));
}

TEST(ProtocolGoldenTest, HeartbeatWithNullPreemptionNoticeIsDecoded) {
  ExpectSameHeartbeat(protocol::HeartbeatFromJson(ParsedFile("protocol/report_notice_null.json")),
                      HeartbeatWith({AllTaskStates().front(), EndedTask(0, 1, ExitReason::kDone)}));
}

TEST(ProtocolGoldenTest, HeartbeatWithPreemptionNoticeAndMaximumCountsIsDecoded) {
  Heartbeat expected;
  expected.machine = {"vm-000008"};
  expected.addr = "10.1.0.9:9000";
  expected.type = "c16";
  expected.zone = "kochi-port";
  expected.agent_epoch = 18446744073709551613U;
  expected.sequence = 18446744073709551615U;
  expected.token = {18446744073709551614U};
  expected.preemption_notice = Seconds{61.5};
  ExpectSameHeartbeat(protocol::HeartbeatFromJson(ParsedFile("protocol/report_with_notice.json")),
                      expected);
}

TEST(ProtocolGoldenTest, CommandsAreDecoded) {
  const std::vector<Command> commands =
      protocol::CommandsFromJson(Json::parse(GoldenText("protocol/commands.json")));
  const std::vector<Command> expected = GoldenCommands();
  ASSERT_EQ(commands.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    SCOPED_TRACE(i);
    EXPECT_EQ(commands[i].kind, expected[i].kind);
    EXPECT_EQ(commands[i].task, expected[i].task);
    EXPECT_EQ(commands[i].attempt, expected[i].attempt);
    EXPECT_EQ(commands[i].termination_grace_period, expected[i].termination_grace_period);
  }
}

void ExpectSameType(const MachineType& type, const MachineType& expected) {
  EXPECT_EQ(type.name, expected.name);
  EXPECT_EQ(type.capacity.cpus, expected.capacity.cpus);
  EXPECT_EQ(type.capacity.gpus, expected.capacity.gpus);
  EXPECT_EQ(type.capacity.memory_gb, expected.capacity.memory_gb);
  EXPECT_EQ(type.cache_gb, expected.cache_gb);
  EXPECT_EQ(type.fetch_gb_per_s, expected.fetch_gb_per_s);
  EXPECT_EQ(type.price, expected.price);
  EXPECT_EQ(type.spot_price, expected.spot_price);
  EXPECT_EQ(type.boot_time, expected.boot_time);
  EXPECT_EQ(type.zones, expected.zones);
}

TEST(ProtocolGoldenTest, MachineTypesAreDecoded) {
  const std::vector<MachineType> types =
      protocol::TypesFromJson(ParsedFile("protocol/machine_types.json"));
  ASSERT_EQ(types.size(), 2U);
  ExpectSameType(types[0], {"g8", {96, 8, 768}, 200, 1, 12, 4.5, {45}, {"a", "b"}});
  // A type without a spot price uses the on-demand price.
  ExpectSameType(types[1], {"c16", {16, 0, 64.5}, 60, 0.5, 1.25, 1.25, {20}, {"kochi-port"}});
}

void ExpectSameMachine(const ListedMachine& machine, const ListedMachine& expected) {
  EXPECT_EQ(machine.id, expected.id);
  EXPECT_EQ(machine.addr, expected.addr);
  EXPECT_EQ(machine.type, expected.type);
  EXPECT_EQ(machine.zone, expected.zone);
  EXPECT_EQ(machine.spot, expected.spot);
  EXPECT_EQ(machine.state, expected.state);
  EXPECT_EQ(machine.age, expected.age);
}

TEST(ProtocolGoldenTest, MachinePageIsDecoded) {
  using State = ListedMachine::State;
  const protocol::MachinePage page =
      protocol::MachinePageFromJson(ParsedFile("protocol/machine_page.json"));
  EXPECT_TRUE(page.more);
  ASSERT_EQ(page.machines.size(), 3U);
  ExpectSameMachine(page.machines[0],
                    {{"vm-000231"}, "10.1.0.232:9000", "g8", "a", true, State::kRunning, {61.5}});
  ExpectSameMachine(page.machines[1],
                    {{"vm-000232"}, "", "c16", "b", false, State::kStarting, {0}});
  ExpectSameMachine(page.machines[2],
                    {{"vm-000233"}, "", "c16", "b", false, State::kFailed, {3600}});
}

TEST(ProtocolGoldenTest, LastMachinePageHasNoMorePages) {
  const protocol::MachinePage page =
      protocol::MachinePageFromJson(ParsedFile("protocol/machine_page_last.json"));
  EXPECT_FALSE(page.more);
  EXPECT_TRUE(page.machines.empty());
}

TEST(ProtocolGoldenTest, ProvisionedMachinesAreDecodedInOrder) {
  const std::vector<MachineId> expected{{"vm-000231"}, {"vm-000232"}};
  EXPECT_EQ(protocol::MachineIdsFromJson(ParsedFile("protocol/machine_ids.json")), expected);
}

}  // namespace
}  // namespace magpie::testing
