// Durable state of a worker, stored in SQLite: its agent epoch, the highest fencing token it has
// seen, its sequence numbers, and the completed tasks with results kept on the machine. The epoch,
// the token and the sequence numbers never decrease, even across restarts
// (PROTOCOL, "POST /checkin").
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

#include "agent/worker.h"

struct sqlite3;

namespace magpie::agent {

// A journal failure; the message is a single line for the operator. After a failure the agent must
// not start new tasks, and running tasks continue.
class JournalError : public std::runtime_error {
 public:
  enum class Kind : std::uint8_t {
    kDamaged,  // the file is not a journal, or is corrupt
    kNewer,    // the file was written by a later version of the agent
    kFull,     // the disk is full, or Options::max_pages is reached
    kOther,    // for example, access denied or an I/O error
  };
  JournalError(Kind kind, const std::string& text) : std::runtime_error(text), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

// Not thread-safe. A call's changes are on disk when it returns; if it throws JournalError, none of
// them are.
class Journal {
 public:
  struct Options {
    std::string path;
    std::uint32_t max_pages = 1U << 18;  // maximum file size, in pages of 4 KiB
    std::uint64_t sequence_step = 1000;  // sequence numbers reserved per write
  };

  // Opens the journal, or creates it if the file does not exist.
  explicit Journal(Options options);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // The returned sequence number is the highest reserved one; any number up to it may have been
  // sent.
  Worker::DurableState Load();
  // Must be called before the worker sends a message. Writes to disk only if a value exceeds what
  // is stored: sequence numbers are reserved in blocks of Options::sequence_step.
  void SaveCounters(std::uint64_t agent_epoch, std::uint64_t sequence, FencingToken token);
  // Must be called before the task is reported as done.
  void RecordCompletedTask(const TaskId& task);
  // Deletes the records of a job's completed tasks. Must be called only if none of the job's tasks
  // will be started again.
  void DeleteCompletedTasks(const JobId& job);

 private:
  struct DatabaseCloser {
    void operator()(sqlite3* db) const;
  };
  class Statement;
  void Execute(const char* sql);
  std::uint64_t QueryNumber(const char* sql);
  void CreateSchema();
  void Verify();
  // Throws JournalError with SQLite's last error; `action` names the operation that failed.
  [[noreturn]] void Fail(const char* action);

  Options options_;
  std::unique_ptr<sqlite3, DatabaseCloser> db_;
  std::uint64_t agent_epoch_ = 0;
  std::uint64_t reserved_ = 0;  // highest reserved sequence number
  FencingToken token_;
};

}  // namespace magpie::agent
