// The protocol's JSON (PROTOCOL). Its field names, words and paths are known in this package alone.
// What comes in is checked: functions named ...From... raise InvalidMessage for what is malformed.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/fencing_token.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/machine.h"
#include "model/worker_messages.h"

namespace magpie::protocol {

using Json = nlohmann::json;

// A message is malformed; the text names the field and what is wrong with it.
class InvalidMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Paths of the protocol.
inline constexpr char kJobsPath[] = "/v2/runs";
inline constexpr char kCancelSuffix[] = "withdraw";
inline constexpr char kHealthPath[] = "/healthz";
inline constexpr char kHeartbeatPath[] = "/checkin";
inline constexpr char kCommandsPath[] = "/do";
inline constexpr char kInspectPath[] = "/inspect";
inline constexpr char kTypesPath[] = "/flavors";
inline constexpr char kMachinesPath[] = "/rentals";
inline constexpr char kReleasePath[] = "/rentals/release";

// Parses text; raises InvalidMessage when it is no JSON object.
Json ParseObject(const std::string& text);

// A job as users submit it (its submission time is not set).
JobSpec JobFromUser(const Json& body);
// A job as the stored records have it.
Json JobToRecord(const JobSpec& spec);
JobSpec JobFromRecord(const Json& record);

// What users are told of a job.
struct JobStatusReply {
  JobId id;
  std::string state;  // one of the words below
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};
inline constexpr char kQueued[] = "queued";
inline constexpr char kRunning[] = "running";
inline constexpr char kDone[] = "done";
inline constexpr char kCancelled[] = "withdrawn";
// `counts`: with the numbers of tasks.
Json JobStatusReplyToJson(const JobStatusReply& answer, bool counts);

// A task id as "j-000412/3".
std::string TaskIdToText(const TaskId& id);
TaskId TaskIdFromText(const std::string& text);

Heartbeat HeartbeatFromJson(const Json& body);
Json HeartbeatToJson(const Heartbeat& heartbeat);
Json CommandsToJson(const std::vector<Command>& commands);
std::vector<Command> CommandsFromJson(const Json& list);
// The response to a heartbeat.
Json HeartbeatResponseToJson(FencingToken token, const std::vector<Command>& commands);
// The body of a 421 that sends a worker to another controller.
Json RedirectToJson(const std::string& node);
// The body of direct commands.
Json DirectCommandToJson(FencingToken token, std::uint64_t agent_epoch,
                         const std::vector<Command>& commands);

std::vector<MachineType> TypesFromJson(const Json& body);
// The body of a request for machines; `name` identifies it when it is repeated.
Json ProvisionToJson(const std::string& name, const std::string& type, const std::string& zone,
                     bool spot, std::uint32_t count);
std::vector<MachineId> MachineIdsFromJson(const Json& body);
Json MachineIdsToJson(const std::vector<MachineId>& ids);
// A part of the machine list.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // there are machines after the last one
};
MachinePage MachinePageFromJson(const Json& body);
// Path and query of the part after `after`, of at most `page_size` machines.
std::string MachineListQuery(const MachineId& after, std::uint32_t page_size);

}  // namespace magpie::protocol
