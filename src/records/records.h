// The records in the key-value store: their keys, their JSON and the transactions that write them.
//   c/leader        the leader's label; deleted with the leader's lease
//   c/epoch         the current leadership; the fencing token is made from its revision
//   c/m/<label>     a live controller; deleted with the controller's lease
//   j/<job>         an accepted job that is not final
//   p/<n>           bindings and results of tasks, in pages shared by all jobs
//   t/<job>/<n>     bindings and results of one job's tasks, in blocks written by earlier versions
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

// Keys and key prefixes.
inline constexpr char kControlPrefix[] = "c/";
inline constexpr char kLeaderKey[] = "c/leader";
inline constexpr char kEpochKey[] = "c/epoch";
inline constexpr char kJobPrefix[] = "j/";
inline constexpr char kPagePrefix[] = "p/";
inline constexpr char kBlockPrefix[] = "t/";

// Conversions between records and their keys; nullopt: not the key of a page or block.
std::string MemberKey(const std::string& label);
std::string JobKey(const JobId& id);
std::string FinalKey(const JobId& id);
std::string ToKey(const RecordPageKey& key);
std::optional<RecordPageKey> ParseRecordPageKey(const std::string& key);

// An accepted job. A cancellation has two steps: first the job's tasks must stop (`stopping`). The
// cancellation is acknowledged to users once every controller has recorded it (`cancelled`), or
// when the job is final. See cancellation/cancellation_broadcaster.h.
struct JobRecord {
  JobSpec spec;
  bool stopping = false;
  bool cancelled = false;
  // Whether the job's tasks must no longer run.
  bool must_stop() const { return stopping || cancelled; }
};
// Fields of a job record.
inline constexpr char kStoppingField[] = "stopping";
inline constexpr char kCancelledField[] = "cancelled";
Json ToJson(const JobRecord& record);
// Throws protocol::InvalidMessage or Json::exception.
JobRecord JobFromJson(const Json& value);

Json ToJson(const std::vector<RecordPageEntry>& records);
// Decodes a page or block. Throws Json::exception.
std::vector<RecordPageEntry> RecordPageFromJson(const RecordPageKey& key, const Json& value);

// The outcome of a final job.
struct FinalRecord {
  JobOutcome state = JobOutcome::kDone;
  std::uint32_t tasks = 0;
};
Json ToJson(const FinalRecord& record);
// Throws Json::exception.
FinalRecord FinalFromJson(const Json& value);

// Entitles a controller to command workers and to write: the revisions of the two keys that it won.
// The controller is deposed when either key changes.
struct Leadership {
  Revision leader;  // of c/leader
  Revision epoch;   // of c/epoch; the fencing token is made from it
  auto operator<=>(const Leadership&) const = default;
};

// Conditions that hold as long as the leadership lasts.
std::vector<Condition> ConditionsOf(const Leadership& leadership);
// Whether the failed keys include the key of one of these conditions. The leadership is then lost
// permanently, because revisions only grow.
bool ProvesDeposition(const std::vector<std::string>& failed);

// The transaction that writes a batch under the condition of the given leadership.
Transaction ToTransaction(const WriteBatch& batch, const Leadership& leadership);

}  // namespace magpie::records
