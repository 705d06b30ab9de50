// Compares the stored records and the transactions that write them with tests/golden/records/, byte
// for byte.
#include <functional>
#include <ostream>

#include "controller/job_api.h"
#include "election/leader_election.h"
#include "golden_file.h"
#include "golden_jobs.h"
#include "kv/http_key_value_store.h"
#include "protocol/codec.h"
#include "recording_store.h"
#include "records/records.h"

namespace magpie::testing {
namespace {

constexpr WallTime kSubmitted{1700000000.25};
constexpr char kLabel[] = "nestbox-0";
constexpr char kNonce[] = "8211";

Json ParsedRecord(const std::string& file) { return Json::parse(GoldenText(file)); }

// --- records that are decoded and encoded

struct StoredRecord {
  const char* name;
  const char* file;
  std::function<Json(const Json&)> reencode;
};
void PrintTo(const StoredRecord& record_case, std::ostream* out) { *out << record_case.file; }

class RecordGoldenRoundTripTest : public ::testing::TestWithParam<StoredRecord> {};

TEST_P(RecordGoldenRoundTripTest, EncodesToOriginalBytes) {
  const std::string text = GoldenText(GetParam().file);
  EXPECT_EQ(GetParam().reencode(Json::parse(text)).dump(), text);
}

Json ReencodeJob(const Json& value) { return records::ToJson(records::JobFromJson(value)); }
Json ReencodePage(const Json& value) {
  return records::ToJson(records::RecordPageFromJson({}, value));
}
Json ReencodeFinal(const Json& value) { return records::ToJson(records::FinalFromJson(value)); }

INSTANTIATE_TEST_SUITE_P(
    Records, RecordGoldenRoundTripTest,
    ::testing::Values(StoredRecord{"LiveJob", "records/job_live.json", ReencodeJob},
                      StoredRecord{"StoppingJob", "records/job_stopping.json", ReencodeJob},
                      StoredRecord{"CancelledJob", "records/job_cancelled.json", ReencodeJob},
                      StoredRecord{"JobCancelledInOneStep",
                                   "records/job_cancelled_in_one_step.json", ReencodeJob},
                      StoredRecord{"Page", "records/page.json", ReencodePage},
                      StoredRecord{"EmptyPage", "records/page_empty.json", ReencodePage},
                      StoredRecord{"FinalDone", "records/final_done.json", ReencodeFinal},
                      StoredRecord{"FinalCancelled", "records/final_cancelled.json",
                                   ReencodeFinal}),
    RowName{});

// --- jobs

struct StoredJob {
  const char* name;
  const char* file;
  JobSpec spec;
  bool stopping;
  bool cancelled;
};
void PrintTo(const StoredJob& record_case, std::ostream* out) { *out << record_case.file; }

class RecordGoldenJobTest : public ::testing::TestWithParam<StoredJob> {};

TEST_P(RecordGoldenJobTest, IsDecoded) {
  const records::JobRecord record = records::JobFromJson(ParsedRecord(GetParam().file));
  JobSpec expected = GetParam().spec;
  expected.submitted = kSubmitted;
  ExpectSameJob(record.spec, expected);
  EXPECT_EQ(record.stopping, GetParam().stopping);
  EXPECT_EQ(record.cancelled, GetParam().cancelled);
}

TEST_P(RecordGoldenJobTest, EncodingMatchesFile) {
  records::JobRecord record{GetParam().spec, GetParam().stopping, GetParam().cancelled};
  record.spec.submitted = kSubmitted;
  EXPECT_EQ(records::ToJson(record).dump(), GoldenText(GetParam().file));
}

INSTANTIATE_TEST_SUITE_P(
    Jobs, RecordGoldenJobTest,
    ::testing::Values(StoredJob{"Live", "records/job_live.json", GoldenArrayJob(), false, false},
                      StoredJob{"Stopping", "records/job_stopping.json", GoldenServiceJob(), true,
                                false},
                      StoredJob{"Cancelled", "records/job_cancelled.json",
                                GoldenSmallestJob(Priority::kNormal), true, true},
                      StoredJob{"CancelledInOneStep", "records/job_cancelled_in_one_step.json",
                                GoldenSmallestJob(Priority::kLow), false, true}),
    RowName{});

TEST(RecordGoldenTest, SubmittedJobIsEncodedAsLiveRecord) {
  JobSpec spec =
      protocol::JobFromUser(protocol::ParseObject(GoldenText("protocol/job_array.json")));
  spec.submitted = kSubmitted;
  EXPECT_EQ(protocol::JobToRecord(spec).dump(), GoldenText("records/job_live.json"));
}

// --- record pages and final records

void ExpectSameTaskRecords(const std::vector<RecordPageEntry>& page,
                           const std::vector<RecordPageEntry>& expected) {
  ASSERT_EQ(page.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    SCOPED_TRACE(i);
    EXPECT_EQ(page[i].job, expected[i].job);
    EXPECT_EQ(page[i].task.index, expected[i].task.index);
    EXPECT_EQ(page[i].task.attempt, expected[i].task.attempt);
    EXPECT_EQ(page[i].task.done, expected[i].task.done);
    EXPECT_EQ(page[i].task.machine, expected[i].task.machine);
    EXPECT_EQ(page[i].task.zone, expected[i].task.zone);
  }
}

std::vector<RecordPageEntry> GoldenPage() {
  return {{{"j-000412"}, {3, {2}, false, {"vm-000231"}, "a"}},
          {{"j-000412"}, {4, {1}, true, {}, ""}},
          {{"j-7"}, {0, {18446744073709551615U}, false, {"vm-000232"}, "kochi-port"}},
          {{"j-7"}, {1, {1}, false, {}, ""}}};
}

TEST(RecordGoldenTest, PageIsDecoded) {
  const Json value = ParsedRecord("records/page.json");
  ExpectSameTaskRecords(records::RecordPageFromJson({{}, 18}, value), GoldenPage());
}

TEST(RecordGoldenTest, PageEncodingMatchesFile) {
  EXPECT_EQ(records::ToJson(GoldenPage()).dump(), GoldenText("records/page.json"));
}

TEST(RecordGoldenTest, BlockOfEarlierVersionIsDecoded) {
  const Json value = ParsedRecord("records/block.json");
  const JobId job{"j-000412"};
  ExpectSameTaskRecords(records::RecordPageFromJson({job, 3}, value),
                        {{job, {0, {1}, false, {"vm-000231"}, "a"}},
                         {job, {1, {2}, true, {}, ""}},
                         {job, {99999, {3}, false, {}, ""}}});
}

TEST(RecordGoldenTest, FinalRecordsAreDecoded) {
  const auto done = records::FinalFromJson(ParsedRecord("records/final_done.json"));
  EXPECT_EQ(done.state, JobOutcome::kDone);
  EXPECT_EQ(done.tasks, 16U);
  const auto cancelled = records::FinalFromJson(ParsedRecord("records/final_cancelled.json"));
  EXPECT_EQ(cancelled.state, JobOutcome::kCancelled);
  EXPECT_EQ(cancelled.tasks, 100000U);
}

// --- keys

TEST(RecordGoldenTest, KeysMatchFile) {
  const JobId job{"j-000412"};
  const std::vector<std::string> keys{
      records::kControlPrefix,    records::kLeaderKey,     records::kEpochKey,
      records::kJobPrefix,        records::kPagePrefix,    records::kBlockPrefix,
      records::MemberKey(kLabel), records::JobKey(job),    records::FinalKey(job),
      records::ToKey({{}, 18}),   records::ToKey({job, 3})};
  EXPECT_EQ(keys, GoldenLines("records/keys.txt"));
}

TEST(RecordGoldenTest, OnlyPageAndBlockKeysAreParsed) {
  const std::vector<std::string> keys = GoldenLines("records/keys.txt");
  ASSERT_EQ(keys.size(), 11U);
  for (std::size_t i = 0; i + 2 < keys.size(); ++i)
    EXPECT_EQ(records::ParseRecordPageKey(keys[i]), std::nullopt) << keys[i];
  EXPECT_EQ(records::ParseRecordPageKey(keys[9]), (RecordPageKey{{}, 18}));
  EXPECT_EQ(records::ParseRecordPageKey(keys[10]), (RecordPageKey{{"j-000412"}, 3}));
}

// --- transactions

WriteBatch FullWriteBatch() {
  WriteBatch::Put changed_page;
  changed_page.key.number = 18;
  changed_page.expected = {40};
  changed_page.records.push_back({{"j-000412"}, {3, {2}, false, {"vm-000231"}, "a"}});
  changed_page.records.push_back({{"j-7"}, {0, {1}, true, {}, ""}});
  WriteBatch::Put new_page;
  new_page.key.number = 19;
  WriteBatch::Drop block;
  block.key = {{"j-000412"}, 3};
  block.expected = {12};

  WriteBatch batch;
  batch.puts = {changed_page, new_page};
  batch.drops = {block};
  batch.finals = {{{"j-000398"}, JobOutcome::kDone, 6}, {{"j-9"}, JobOutcome::kCancelled, 1}};
  batch.expected_job_revisions = {{{"j-000412"}, {31}}, {{"j-000398"}, {30}}};
  return batch;
}

TEST(RecordGoldenTest, FullWriteBatchIsOneTransaction) {
  const Transaction transaction = records::ToTransaction(FullWriteBatch(), {{41}, {42}});
  EXPECT_EQ(TransactionToJson(transaction).dump(),
            GoldenText("records/write_plan_transaction.json"));
}

TEST(RecordGoldenTest, ElectionTransactionsMatchFile) {
  RecordingStore store;
  LeaderElection election(store, kLabel, kNonce, {4});
  ASSERT_TRUE(election.Step().leadership);
  ASSERT_TRUE(election.Resign());
  EXPECT_EQ(store.transactions, GoldenLines("records/membership_transactions.txt"));
}

// Commits the puts of the transaction in `line` with their lease IDs.
void CommitPuts(FakeStore& store, const std::string& line) {
  Transaction transaction;
  const Json body = Json::parse(line);
  for (const Json& put : body.at("apply")) {
    Change change{put.at("put").get<std::string>(), put.at("v"), std::nullopt};
    if (put.contains("tenure")) change.lease = LeaseId{put.at("tenure").get<std::uint64_t>()};
    transaction.changes.push_back(std::move(change));
  }
  ASSERT_EQ(store.Commit(transaction).status, StoreStatus::kOk);
}

// Fills the store with the leader, epoch and member keys of the golden file.
void FillWithLeader(FakeStore& store) {
  const std::vector<std::string> lines = GoldenLines("records/membership_transactions.txt");
  ASSERT_EQ(lines.size(), 4U);
  ASSERT_EQ(store.Grant({4}).lease.value, 1U);
  for (std::size_t i = 0; i < 3; ++i) CommitPuts(store, lines[i]);
}

TEST(RecordGoldenTest, OtherControllerDecodesLeaderAndEpoch) {
  FakeStore store;
  FillWithLeader(store);
  LeaderElection other_election(store, "nestbox-1", "77", {4});
  const LeaderElection::View& view = other_election.Step();
  EXPECT_EQ(view.leader, kLabel);
  EXPECT_EQ(view.epoch, Revision{3});
  EXPECT_FALSE(view.leadership);
}

TEST(RecordGoldenTest, SameRunRecognizesItsLeadership) {
  FakeStore store;
  FillWithLeader(store);
  LeaderElection same_run_election(store, kLabel, kNonce, {4});
  const auto leadership = same_run_election.Step().leadership;
  ASSERT_TRUE(leadership);
  EXPECT_EQ(leadership->leader, Revision{2});
  EXPECT_EQ(leadership->epoch, Revision{3});
}

// --- transactions of users' requests

JobApi::Hooks SingleControllerHooks() {
  return {
      [] { return std::vector<MachineType>{{"g8", {96, 8, 768}, 200, 1, 12, 4.5, {45}, {"a"}}}; },
      [](const JobId&) { return std::nullopt; },
      [] { return WallTime{1000}; },
      [](Seconds) {},
      [] { return Instant{1}; },
      [](const JobId&, Revision) { return true; }};
}

TEST(RecordGoldenTest, SubmissionAndCancellationTransactionsMatchFile) {
  RecordingStore store;
  JobApi api(store, {{"vision"}}, {"a"}, Seconds{0}, {}, SingleControllerHooks());
  const HttpResponse accepted = api.Submit(GoldenText("protocol/job_array.json"));
  EXPECT_EQ(accepted.status, 201);
  EXPECT_EQ(accepted.body, GoldenText("protocol/job_answer_accepted.json"));
  const HttpResponse cancelled = api.Cancel("j-000412");
  EXPECT_EQ(cancelled.status, 200);
  EXPECT_EQ(cancelled.body, GoldenText("protocol/job_answer_cancelled.json"));
  EXPECT_EQ(store.transactions, GoldenLines("records/job_transactions.txt"));
}

}  // namespace
}  // namespace magpie::testing
