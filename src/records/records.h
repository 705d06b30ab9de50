// The records in the state service: their keys, their JSON and the transactions that write them.
//   c/leader        the leader's label; deleted with its lease
//   c/epoch         the present leadership; the fencing token is made of its revision
//   c/m/<label>     a live controller; deleted with its lease
//   j/<job>         an accepted job that is not final
//   p/<n>           bindings and results of tasks, in pages shared by all jobs
//   t/<job>/<n>     the same in blocks of one job, as earlier versions wrote them
//   f/<job>         a final job, kept forever
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kv/key_value_store.h"
#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/write_batch.h"

namespace magpie::records {

// Keys and prefixes of keys.
inline constexpr char kControlPrefix[] = "c/";
inline constexpr char kLeaderKey[] = "c/leader";
inline constexpr char kEpochKey[] = "c/epoch";
inline constexpr char kJobPrefix[] = "j/";
inline constexpr char kPagePrefix[] = "p/";
inline constexpr char kBlockPrefix[] = "t/";

// Keys of records, and back; nullopt: not the key of a page or block.
std::string MemberKey(const std::string& label);
std::string JobKey(const JobId& id);
std::string FinalKey(const JobId& id);
std::string ToKey(const RecordPageKey& key);
std::optional<RecordPageKey> ParseRecordPageKey(const std::string& key);

// An accepted job. Its cancellation has two steps: first its tasks stop for good (`stopping`);
// it is acknowledged to users once every controller knows of it (`cancelled`), or when the job is
// final. See cancellation/cancellation_broadcaster.h.
struct JobRecord {
  JobSpec spec;
  bool stopping = false;
  bool cancelled = false;
  // Whether its tasks must no longer run.
  bool must_stop() const { return stopping || cancelled; }
};
// Fields of a job record.
inline constexpr char kStoppingField[] = "stopping";
inline constexpr char kCancelledField[] = "cancelled";
Json ToJson(const JobRecord& record);
// Raises protocol::InvalidMessage or Json::exception.
JobRecord JobFromJson(const Json& value);

Json ToJson(const std::vector<RecordPageEntry>& records);
// The contents of a page or block. Raises Json::exception.
std::vector<RecordPageEntry> RecordPageFromJson(const RecordPageKey& key, const Json& value);

// A job that is over.
struct FinalRecord {
  JobOutcome state = JobOutcome::kDone;
  std::uint32_t tasks = 0;
};
Json ToJson(const FinalRecord& record);
// Raises Json::exception.
FinalRecord FinalFromJson(const Json& value);

// What entitles a controller to command workers and to write: the revisions of the two keys that
// it won. It is deposed when either changes.
struct Leadership {
  Revision leader;  // of c/leader
  Revision epoch;   // of c/epoch; the fencing token is made of it
  auto operator<=>(const Leadership&) const = default;
};

// They hold as long as the leadership does.
std::vector<Condition> ConditionsOf(const Leadership& leadership);
// Whether one of these conditions is among those that failed. Then the leadership is lost for
// good, as revisions only grow.
bool ProvesDeposition(const std::vector<std::string>& failed);

// The transaction that writes a batch under the given leadership.
Transaction ToTransaction(const WriteBatch& batch, const Leadership& leadership);

}  // namespace magpie::records
