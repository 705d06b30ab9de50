// Tests of the simulated key-value service and cloud against the rules of PROTOCOL.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "kv/http_key_value_store.h"
#include "load_test/cloud.h"
#include "load_test/codec.h"
#include "load_test/state_service.h"

namespace magpie::load_test {
namespace {

std::string Numbered(const char* text, int number) {
  std::string name = text;
  return name.append(std::to_string(number));
}

class StateServiceTest : public ::testing::Test {
 protected:
  static StateService::Options DefaultOptions() {
    StateService::Options options;
    options.requests_per_second = 1e6;
    options.writes_per_second = 1e6;
    options.max_log_entries = 5;
    return options;
  }
  static Change Put(const std::string& key, int value, std::optional<LeaseId> lease = {}) {
    return {key, Json(value), lease};
  }
  StateCommit Commit(std::vector<Condition> when, std::vector<Change> apply) {
    return service.Commit({std::move(when), std::move(apply)}, now);
  }
  std::string KeysUnder(const std::string& prefix, const std::string& after = "",
                        std::size_t page = 100) {
    const StateRange range = service.Range(prefix, after, page, now);
    std::string keys;
    for (const StateEntry& entry : range.entries) keys += entry.key + " ";
    return keys + (range.more ? "and more" : "");
  }

  Instant now{100};
  StateService service{DefaultOptions()};
};

TEST_F(StateServiceTest, TransactionIsAtomicAndHasOneRevision) {
  const StateCommit first = Commit({{"a", {0}}}, {Put("a", 1), Put("b", 2)});
  ASSERT_EQ(first.status, StateStatus::kOk);
  EXPECT_EQ(service.Get("a", now)->revision, first.tick);
  EXPECT_EQ(service.Get("b", now)->revision, first.tick);
  const StateCommit second = Commit({{"a", {0}}, {"b", first.tick}}, {Put("b", 3)});
  EXPECT_EQ(second.status, StateStatus::kConflict);
  EXPECT_EQ(second.failed, std::vector<std::string>{"a"});
  EXPECT_EQ(service.Get("b", now)->value, Json(2));
  EXPECT_EQ(Commit({{"a", first.tick}}, {}).tick, first.tick)
      << "conditions alone create no revision";
  EXPECT_EQ(Commit({{"a", first.tick}}, {{"a", {}, {}}}).status, StateStatus::kOk);
  EXPECT_FALSE(service.Get("a", now));
}

TEST_F(StateServiceTest, RangesArePaginatedInKeyOrder) {
  Commit({}, {Put("c/2", 1), Put("c/1", 1), Put("c/3", 1), Put("d/1", 1)});
  EXPECT_EQ(KeysUnder("c/"), "c/1 c/2 c/3 ");
  EXPECT_EQ(KeysUnder("c/", "", 2), "c/1 c/2 and more");
  EXPECT_EQ(KeysUnder("c/", "c/2"), "c/3 ");
  EXPECT_EQ(KeysUnder("", "c/3"), "d/1 ");
}

TEST_F(StateServiceTest, ExpiredLeasesDeleteTheirKeys) {
  const LeaseId lease = service.Grant({5}, now);
  Commit({}, {Put("a", 1, lease), Put("b", 1, lease), Put("c", 1)});
  Commit({}, {Put("b", 2)});  // a put without a lease detaches the key
  now = now + Seconds{4};
  EXPECT_EQ(service.KeepAlive(lease, now), StateStatus::kOk);
  now = now + Seconds{5};
  EXPECT_TRUE(service.Get("a", now)) << "the lease must not end early";
  now = now + Seconds{0.1};
  EXPECT_FALSE(service.Get("a", now));
  EXPECT_TRUE(service.Get("b", now));
  EXPECT_EQ(service.KeepAlive(lease, now), StateStatus::kNotFound);
  const StateCommit late = Commit({}, {Put("a", 1, lease)});
  EXPECT_EQ(late.status, StateStatus::kInvalid);
  EXPECT_STREQ(late.error, "no such lease");
  const LeaseId second = service.Grant({5}, now);
  Commit({}, {Put("d", 1, second)});
  EXPECT_EQ(service.End(second, now), StateStatus::kOk);
  EXPECT_FALSE(service.Get("d", now));
}

TEST_F(StateServiceTest, OutageEndRestartsLeaseDurations) {
  const LeaseId lease = service.Grant({5}, now);
  now = now + Seconds{60};
  service.EndOutage(now);
  now = now + Seconds{4.9};
  EXPECT_EQ(service.KeepAlive(lease, now), StateStatus::kOk);
}

TEST_F(StateServiceTest, WatchesReportChangesAndCompactedRevisions) {
  const Revision begin = service.tick();
  Commit({}, {Put("a/1", 1), Put("b/1", 1)});
  Commit({}, {{"a/1", {}, {}}});
  const StateLog log = service.Changes("a/", begin, now);
  ASSERT_EQ(log.events.size(), 2U);
  EXPECT_TRUE(log.events[0].value);
  EXPECT_FALSE(log.events[1].value);
  EXPECT_EQ(log.tick, service.tick());
  EXPECT_TRUE(service.Changes("a/", service.tick(), now).events.empty());
  for (int i = 0; i < 4; ++i) Commit({}, {Put("b/2", i)});
  EXPECT_EQ(service.Changes("a/", begin, now).status, StateStatus::kCompacted);
  EXPECT_EQ(service.Changes("b/", service.tick(), now).status, StateStatus::kOk);
}

TEST_F(StateServiceTest, TransactionsOverLimitsAreRejected) {
  const std::string large(17 * 1024, 'x');
  const std::string long_key(201, 'k');
  std::vector<Change> too_many_changes;
  std::vector<Condition> too_many_conditions;
  for (int i = 0; i < 17; ++i) too_many_changes.push_back(Put(Numbered("k", i), 1));
  for (int i = 0; i < 65; ++i) too_many_conditions.push_back({Numbered("k", i), {0}});
  std::vector<Change> large_total;
  for (int i = 0; i < 5; ++i)
    large_total.push_back({Numbered("h", i), Json(std::string(14 * 1024, 'x')), {}});
  const std::vector<std::pair<const char*, Transaction>> invalid_transactions = {
      {"number of operations", {{}, too_many_changes}},
      {"number of conditions", {too_many_conditions, {}}},
      {"size of a value", {{}, {{"a", Json(large), {}}}}},
      {"total size", {{}, large_total}},
      {"length of a key", {{}, {Put(long_key, 1)}}},
      {"key with a space", {{}, {Put("a b", 1)}}},
  };
  for (const auto& [what, transaction] : invalid_transactions)
    EXPECT_EQ(service.Commit(transaction, now).status, StateStatus::kInvalid) << what;
}

TEST_F(StateServiceTest, RateLimitAllowsBurstOfOneSecond) {
  StateService::Options options = DefaultOptions();
  options.requests_per_second = 10;
  options.writes_per_second = 4;
  StateService limited(options);
  int admitted = 0;
  for (int i = 0; i < 20; ++i) admitted += limited.Admit(now) ? 1 : 0;
  EXPECT_EQ(admitted, 10);
  const Transaction one{{{"a", {77}}}, {Put("a", 1)}};
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(limited.Commit(one, now).status, StateStatus::kConflict)
        << "conflicting writes count against the rate";
  EXPECT_EQ(limited.Commit(one, now).status, StateStatus::kRateLimited);
  now = now + Seconds{0.25};
  EXPECT_EQ(limited.Commit(one, now).status, StateStatus::kConflict);
}

// The simulated service must read what the controllers' client writes.
TEST(LoadTestCodecTest, TransactionsRoundTrip) {
  const Transaction sent{{{"a", {4}}}, {{"b", Json{{"x", 1}}, LeaseId{7}}, {"c", {}, {}}}};
  const Transaction read = TransactionFromJson(TransactionToJson(sent));
  ASSERT_EQ(read.conditions.size(), 1U);
  EXPECT_EQ(read.conditions[0].revision, Revision{4});
  ASSERT_EQ(read.changes.size(), 2U);
  EXPECT_EQ(read.changes[0].value, sent.changes[0].value);
  EXPECT_EQ(read.changes[0].lease, sent.changes[0].lease);
  EXPECT_FALSE(read.changes[1].value);
}

TEST(LoadTestCodecTest, MalformedMessagesAreRejected) {
  EXPECT_THROW(TransactionFromJson(Json{{"when", 1}}), protocol::InvalidMessage);
  EXPECT_THROW(TransactionFromJson(Json{{"apply", {{{"put", "a"}}}}}), protocol::InvalidMessage);
  EXPECT_THROW(LeaseDurationFromJson(Json{{"life_ms", "x"}}), protocol::InvalidMessage);
  EXPECT_THROW(QueryCount("/kv?page=x", "page"), protocol::InvalidMessage);
}

TEST(LoadTestCodecTest, QueriesAndResponsesRoundTrip) {
  EXPECT_EQ(QueryField("/kv?under=c/&after=c/7&page=5", "after"), "c/7");
  EXPECT_EQ(QueryCount("/kv?under=c/&page=5", "page"), 5U);
  EXPECT_FALSE(QueryField("/kv", "page"));
  EXPECT_EQ(JobStateFromResponse(200, R"({"mood":"done"})"), ReportedState::kDone);
  EXPECT_EQ(JobStateFromResponse(201, R"({"mood":"queued"})"), ReportedState::kActive);
  EXPECT_EQ(JobStateFromResponse(200, "nonsense"), ReportedState::kNoAnswer);
  EXPECT_EQ(JobStateFromResponse(404, ""), ReportedState::kUnknown);
  EXPECT_EQ(JobStateFromResponse(422, ""), ReportedState::kRejected);
  EXPECT_EQ(JobStateFromResponse(503, ""), ReportedState::kNoAnswer);
  EXPECT_EQ(AnswerFromResponse(200, R"({"crest":5,"calls":[]})").token, FencingToken{5});
  EXPECT_EQ(AnswerFromResponse(421, R"({"home_roost":"n1"})").destination, "n1");
  EXPECT_EQ(AnswerFromResponse(503, "{}").kind, agent::Answer::Kind::kFailed);
}

class CloudTest : public ::testing::Test {
 protected:
  Cloud::Options Options() {
    Cloud::Options options;
    options.types = {{"plain", {8, 0, 32}, 10, 1, 1, 0.4, {10}, {"a", "b"}}};
    options.max_machines = 4;
    options.list_lag = {3};
    return options;
  }
  Cloud::Hooks Hooks() {
    return {[this](const CloudMachine& machine) {
              RecordHook("rented ", machine.id);
              return "127.0.0.1:9";
            },
            [this](const MachineId& id) { RecordHook("up ", id); },
            [this](const MachineId& id) { RecordHook("released ", id); }};
  }
  void RecordHook(const char* what, const MachineId& machine) {
    hook_calls.append(what).append(machine.value).append(", ");
  }
  RentalResult Provision(const std::string& name, std::uint32_t count,
                         const std::string& zone = "a") {
    return cloud.Provision({name, "plain", zone, false, count}, now);
  }
  void AdvanceTime(double seconds) {
    for (const Instant end = now + Seconds{seconds}; now < end;) {
      now = now + Seconds{0.5};
      cloud.Advance(now);
    }
  }
  // The names of the listed machines, each with the first letter of its state.
  std::string Listed() {
    std::string text;
    for (const ListedMachine& machine : cloud.ListAfter({}, 500, now).machines)
      text.append(machine.id.value).append(1, "srf"[static_cast<int>(machine.state)]).append(" ");
    return text;
  }

  std::string hook_calls;
  Instant now{100};
  Cloud cloud{Options(), Hooks()};
};

TEST_F(CloudTest, RentalIsIdempotentByName) {
  const RentalResult first = Provision("r-1", 2);
  EXPECT_EQ(first.machines.size(), 2U);
  EXPECT_EQ(Provision("r-1", 2).machines, first.machines);
  EXPECT_EQ(cloud.machines(), 2U);
  EXPECT_EQ(Provision("r-2", 3).machines.size(), 2U) << "limited by the free capacity of the cloud";
  EXPECT_EQ(Provision("r-3", 1).status, CloudStatus::kNoCapacity);
  cloud.Release({first.machines[0], {"vm-none"}});
  EXPECT_EQ(Provision("r-3", 1).status, CloudStatus::kOk)
      << "a name can be requested again if there was no capacity";
  EXPECT_EQ(Provision("r-4", 1, "c").status, CloudStatus::kInvalid);
  EXPECT_EQ(Provision("r-5", 51).status, CloudStatus::kInvalid);
}

TEST_F(CloudTest, ListReflectsMachineLifecycleAfterLag) {
  Provision("r-1", 1);
  EXPECT_EQ(hook_calls, "rented vm-000001, ");
  EXPECT_EQ(Listed(), "");
  AdvanceTime(4.5);
  EXPECT_EQ(Listed(), "vm-000001s ");
  AdvanceTime(20);
  EXPECT_EQ(hook_calls, "rented vm-000001, up vm-000001, ");
  EXPECT_EQ(Listed(), "vm-000001r ");
  cloud.Fail({"vm-000001"}, now);
  AdvanceTime(25);
  EXPECT_EQ(Listed(), "vm-000001r ") << "a failed machine is first listed as running";
  AdvanceTime(10);
  EXPECT_EQ(Listed(), "vm-000001f ");
  cloud.Release({{"vm-000001"}});
  EXPECT_TRUE(hook_calls.ends_with("released vm-000001, "));
  EXPECT_EQ(Listed(), "vm-000001f ") << "the list lags";
  AdvanceTime(5);
  EXPECT_EQ(Listed(), "");
}

}  // namespace
}  // namespace magpie::load_test
