// Tests of the agent's journal on files in a temporary directory.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "agent/journal.h"

namespace magpie::agent {
namespace {

class AgentJournalTest : public ::testing::Test {
 protected:
  AgentJournalTest() {
    std::string name = (std::filesystem::temp_directory_path() / "journal-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
      throw std::runtime_error("cannot create a temporary directory");
    directory_ = name;
  }
  ~AgentJournalTest() override { std::filesystem::remove_all(directory_); }

  Journal::Options DefaultOptions() const {
    Journal::Options options;
    options.path = (directory_ / "journal").string();
    return options;
  }
  void ExecuteSql(const char* sql) const {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open(DefaultOptions().path.c_str(), &db), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(db, sql, nullptr, nullptr, nullptr), SQLITE_OK);
    sqlite3_close(db);
  }
  std::optional<JournalError::Kind> OpenErrorKind() const {
    try {
      Journal journal(DefaultOptions());
    } catch (const JournalError& error) {
      EXPECT_NE(std::string(error.what()).find(DefaultOptions().path), std::string::npos)
          << "the message must name the file";
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos)
          << "the message must be a single line";
      return error.kind();
    }
    return std::nullopt;
  }

  std::filesystem::path directory_;
};

TEST_F(AgentJournalTest, NewJournalIsEmpty) {
  Journal journal(DefaultOptions());
  const Worker::DurableState state = journal.Load();
  EXPECT_EQ(state.agent_epoch, 0U);
  EXPECT_EQ(state.sequence, 0U);
  EXPECT_EQ(state.token.value, 0U);
  EXPECT_TRUE(state.done.empty());
}

TEST_F(AgentJournalTest, ReportedNumbersAreNeverReused) {
  {
    Journal journal(DefaultOptions());
    journal.Load();
    journal.SaveCounters(3, 17, FencingToken{41});
    journal.RecordCompletedTask({{"j-1"}, 4});
    journal.RecordCompletedTask({{"j-1"}, 4});
    journal.RecordCompletedTask({{"j-2"}, 0});
    journal.DeleteCompletedTasks({"j-2"});
  }
  Journal journal(DefaultOptions());
  const Worker::DurableState state = journal.Load();
  EXPECT_EQ(state.agent_epoch, 3U);
  EXPECT_GE(state.sequence, 17U);
  EXPECT_EQ(state.token.value, 41U);
  EXPECT_EQ(state.done, (std::set<TaskId>{{{"j-1"}, 4}}));
}

// The journal must not write to disk for each message, and must not allow a sequence number to be
// reused after a restart.
TEST_F(AgentJournalTest, SequenceNumbersAreReservedInBlocks) {
  Journal::Options options = DefaultOptions();
  options.sequence_step = 10;
  std::uint64_t last = 0;
  for (int restart = 0; restart < 3; ++restart) {
    Journal journal(options);
    std::uint64_t sequence = journal.Load().sequence;
    EXPECT_GE(sequence, last);
    for (int i = 0; i < 25; ++i) journal.SaveCounters(1, last = ++sequence, FencingToken{1});
  }
  Journal journal(options);
  EXPECT_GE(journal.Load().sequence, last);
  EXPECT_LE(journal.Load().sequence, last + 10) << "at most one reserved block is skipped";
}

TEST_F(AgentJournalTest, TwoAgentsWithOneJournalLoseNoState) {
  Journal first(DefaultOptions());
  Journal second(DefaultOptions());
  first.Load();
  second.Load();
  first.SaveCounters(9, 5000, FencingToken{90});
  second.SaveCounters(2, 10, FencingToken{91});
  const Worker::DurableState state = first.Load();
  EXPECT_EQ(state.agent_epoch, 9U);
  EXPECT_GE(state.sequence, 5000U);
  EXPECT_EQ(state.token.value, 91U);
}

TEST_F(AgentJournalTest, DamagedJournalIsReportedAndNotOverwritten) {
  std::ofstream(DefaultOptions().path) << std::string(8192, 'x');
  EXPECT_EQ(OpenErrorKind(), JournalError::Kind::kDamaged);
  EXPECT_EQ(std::filesystem::file_size(DefaultOptions().path), 8192U);
}

TEST_F(AgentJournalTest, OverwrittenDatabasePageIsDetected) {
  {
    Journal journal(DefaultOptions());
    for (std::uint32_t i = 0; i < 500; ++i)
      journal.RecordCompletedTask({{"job-of-some-length"}, i});
  }
  ExecuteSql("PRAGMA wal_checkpoint(TRUNCATE)");
  {
    std::fstream file(DefaultOptions().path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(3 * 4096);
    file << std::string(4096, 'x');
  }
  EXPECT_EQ(OpenErrorKind(), JournalError::Kind::kDamaged);
}

TEST_F(AgentJournalTest, ForeignDatabaseAndMissingRowAreRejected) {
  ExecuteSql("CREATE TABLE worker (one INTEGER)");
  EXPECT_EQ(OpenErrorKind(), JournalError::Kind::kDamaged);
  std::filesystem::remove(DefaultOptions().path);
  {
    Journal journal(DefaultOptions());
  }
  ExecuteSql("DELETE FROM worker");
  EXPECT_EQ(OpenErrorKind(), JournalError::Kind::kDamaged);
}

TEST_F(AgentJournalTest, NewerFormatIsNotModified) {
  {
    Journal journal(DefaultOptions());
  }
  ExecuteSql("PRAGMA user_version = 2");
  EXPECT_EQ(OpenErrorKind(), JournalError::Kind::kNewer);
}

TEST_F(AgentJournalTest, FullDiskLeavesNoPartialWrite) {
  Journal::Options options = DefaultOptions();
  {
    Journal journal(options);
  }
  options.max_pages = 6;
  Journal journal(options);
  journal.Load();
  std::uint32_t recorded = 0;
  std::optional<JournalError::Kind> kind;
  for (; recorded < 10000 && !kind; ++recorded) {
    try {
      journal.RecordCompletedTask({{"job-of-some-length-" + std::to_string(recorded)}, recorded});
    } catch (const JournalError& error) {
      kind = error.kind();
      --recorded;
    }
  }
  EXPECT_EQ(kind, JournalError::Kind::kFull);
  EXPECT_EQ(journal.Load().done.size(), recorded) << "exactly the records whose writes succeeded";
}

TEST_F(AgentJournalTest, UnusableDirectoryIsReported) {
  std::filesystem::create_directory(DefaultOptions().path);
  EXPECT_EQ(OpenErrorKind(), JournalError::Kind::kOther);
}

}  // namespace
}  // namespace magpie::agent
