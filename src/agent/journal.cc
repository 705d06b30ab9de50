#include "agent/journal.h"

#include <sqlite3.h>

#include <algorithm>
#include <utility>

namespace magpie::agent {
namespace {
constexpr std::uint64_t kSchemaVersion = 1;
constexpr std::uint64_t kApplicationId = 0x6d616770;  // "magp" in ASCII

JournalError::Kind KindOf(int code) {
  switch (code & 0xff) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
    case SQLITE_FORMAT:
    case SQLITE_MISMATCH:
      return JournalError::Kind::kDamaged;
    case SQLITE_FULL:
      return JournalError::Kind::kFull;
    default:
      return JournalError::Kind::kOther;
  }
}
}  // namespace

void Journal::DatabaseCloser::operator()(sqlite3* db) const { sqlite3_close_v2(db); }

// A prepared statement, finalized when it is destroyed.
class Journal::Statement {
 public:
  Statement(Journal& journal, const char* sql) : journal_(journal) {
    if (sqlite3_prepare_v2(journal.db_.get(), sql, -1, &statement_, nullptr) != SQLITE_OK)
      journal.Fail(sql);
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& Bind(int index, std::uint64_t value) {
    if (sqlite3_bind_int64(statement_, index, static_cast<std::int64_t>(value)) != SQLITE_OK)
      journal_.Fail("bind parameter");
    return *this;
  }
  Statement& Bind(int index, const std::string& value) {
    if (sqlite3_bind_text(statement_, index, value.data(), static_cast<int>(value.size()),
                          SQLITE_TRANSIENT) != SQLITE_OK)
      journal_.Fail("bind parameter");
    return *this;
  }
  // Advances to the next row. Returns false if there is none.
  bool Step() {
    const int code = sqlite3_step(statement_);
    if (code != SQLITE_ROW && code != SQLITE_DONE) journal_.Fail(sqlite3_sql(statement_));
    return code == SQLITE_ROW;
  }
  std::uint64_t Number(int column) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }
  std::string Text(int column) {
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    return text == nullptr ? "" : text;
  }

 private:
  Journal& journal_;
  sqlite3_stmt* statement_ = nullptr;
};

Journal::Journal(Options options) : options_(std::move(options)) {
  sqlite3* db = nullptr;
  const int code = sqlite3_open_v2(options_.path.c_str(), &db,
                                   SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  db_.reset(db);
  if (code != SQLITE_OK) Fail("open");
  Execute("PRAGMA journal_mode = WAL");
  Execute("PRAGMA synchronous = FULL");
  const std::string size_limit = "PRAGMA max_page_count = " + std::to_string(options_.max_pages);
  Execute(size_limit.c_str());
  if (QueryNumber("SELECT count(*) FROM sqlite_schema") == 0)
    CreateSchema();
  else
    Verify();
}

Journal::~Journal() = default;

void Journal::CreateSchema() {
  const std::string sql =
      "BEGIN IMMEDIATE;"
      "CREATE TABLE worker (one INTEGER PRIMARY KEY CHECK (one = 1), session INTEGER NOT NULL,"
      " reserved INTEGER NOT NULL, token INTEGER NOT NULL) STRICT;"
      "INSERT INTO worker VALUES (1, 0, 0, 0);"
      "CREATE TABLE done (job TEXT NOT NULL, task INTEGER NOT NULL, PRIMARY KEY (job, task))"
      " STRICT, WITHOUT ROWID;"
      "PRAGMA application_id = " +
      std::to_string(kApplicationId) + ";PRAGMA user_version = " + std::to_string(kSchemaVersion) +
      ";COMMIT";
  Execute(sql.c_str());
}

void Journal::Verify() {
  const auto throw_damaged = [this](const std::string& problem) {
    throw JournalError(JournalError::Kind::kDamaged, options_.path + ": " + problem);
  };
  if (QueryNumber("PRAGMA application_id") != kApplicationId)
    throw_damaged("not an agent journal (unexpected application_id)");
  const std::uint64_t version = QueryNumber("PRAGMA user_version");
  if (version > kSchemaVersion)
    throw JournalError(JournalError::Kind::kNewer,
                       options_.path + ": journal schema version " + std::to_string(version) +
                           " is newer than the latest supported version " +
                           std::to_string(kSchemaVersion));
  Statement check(*this, "PRAGMA integrity_check(1)");
  if (!check.Step() || check.Text(0) != "ok") throw_damaged("integrity check failed");
  if (QueryNumber("SELECT count(*) FROM worker") != 1)
    throw_damaged("the worker table does not have exactly one row");
}

Worker::DurableState Journal::Load() {
  Worker::DurableState state;
  {
    Statement row(*this, "SELECT session, reserved, token FROM worker");
    if (!row.Step()) Fail("read worker row");
    state.agent_epoch = agent_epoch_ = row.Number(0);
    state.sequence = reserved_ = row.Number(1);
    state.token = token_ = FencingToken{row.Number(2)};
  }
  Statement done(*this, "SELECT job, task FROM done");
  while (done.Step())
    state.done.insert({{done.Text(0)}, static_cast<std::uint32_t>(done.Number(1))});
  return state;
}

// The SQL max() keeps stored values from decreasing: two agents that share a journal by mistake
// would otherwise overwrite each other's higher values.
void Journal::SaveCounters(std::uint64_t agent_epoch, std::uint64_t sequence, FencingToken token) {
  if (agent_epoch <= agent_epoch_ && sequence <= reserved_ && token <= token_) return;
  const std::uint64_t new_reserved =
      sequence <= reserved_ ? reserved_ : sequence + options_.sequence_step;
  Statement update(*this,
                   "UPDATE worker SET session = max(session, ?1), reserved = max(reserved, ?2),"
                   " token = max(token, ?3)");
  update.Bind(1, agent_epoch).Bind(2, new_reserved).Bind(3, token.value).Step();
  agent_epoch_ = std::max(agent_epoch_, agent_epoch);
  reserved_ = new_reserved;
  token_ = std::max(token_, token);
}

void Journal::RecordCompletedTask(const TaskId& task) {
  Statement insert(*this, "INSERT OR IGNORE INTO done VALUES (?1, ?2)");
  insert.Bind(1, task.job.value).Bind(2, task.index).Step();
}

void Journal::DeleteCompletedTasks(const JobId& job) {
  Statement deletion(*this, "DELETE FROM done WHERE job = ?1");
  deletion.Bind(1, job.value).Step();
}

void Journal::Execute(const char* sql) {
  if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) Fail("execute");
}

std::uint64_t Journal::QueryNumber(const char* sql) {
  Statement statement(*this, sql);
  return statement.Step() ? statement.Number(0) : 0;
}

void Journal::Fail(const char* action) {
  const int code = db_ == nullptr ? SQLITE_NOMEM : sqlite3_extended_errcode(db_.get());
  const std::string text = db_ == nullptr ? "out of memory" : sqlite3_errmsg(db_.get());
  throw JournalError(KindOf(code), options_.path + ": " + text + " (" + action + ")");
}

}  // namespace magpie::agent
