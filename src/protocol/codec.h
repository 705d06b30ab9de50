// The JSON messages of the protocol (PROTOCOL). Only this package contains its field names, words
// and paths. Functions named ...From... validate their input and throw InvalidMessage if it is
// malformed.
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

// Thrown for a malformed message; the text names the field and the problem.
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

// Parses a JSON object; throws InvalidMessage if the text is anything else.
Json ParseObject(const std::string& text);

// Parses a job as submitted by a user; the submission time is not set.
JobSpec JobFromUser(const Json& body);
// Convert a job to and from the format of stored job records.
Json JobToRecord(const JobSpec& spec);
JobSpec JobFromRecord(const Json& record);

// The state of a job as reported to users.
struct JobStatusReply {
  JobId id;
  std::string state;  // kQueued, kRunning, kDone or kCancelled
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};
inline constexpr char kQueued[] = "queued";
inline constexpr char kRunning[] = "running";
inline constexpr char kDone[] = "done";
inline constexpr char kCancelled[] = "withdrawn";
// `counts`: whether to include the numbers of done and running tasks.
Json JobStatusReplyToJson(const JobStatusReply& reply, bool counts);

// The text form of a task id, such as "j-000412/3".
std::string TaskIdToText(const TaskId& id);
TaskId TaskIdFromText(const std::string& text);

Heartbeat HeartbeatFromJson(const Json& body);
Json HeartbeatToJson(const Heartbeat& heartbeat);
Json CommandsToJson(const std::vector<Command>& commands);
std::vector<Command> CommandsFromJson(const Json& list);
// The response to a heartbeat.
Json HeartbeatResponseToJson(FencingToken token, const std::vector<Command>& commands);
// The body of a 421 response that redirects a worker to another controller.
Json RedirectToJson(const std::string& node);
// The body of a direct command request.
Json DirectCommandToJson(FencingToken token, std::uint64_t agent_epoch,
                         const std::vector<Command>& commands);

std::vector<MachineType> TypesFromJson(const Json& body);
// The body of a provision request; `name` identifies the request when it is repeated.
Json ProvisionToJson(const std::string& name, const std::string& type, const std::string& zone,
                     bool spot, std::uint32_t count);
std::vector<MachineId> MachineIdsFromJson(const Json& body);
Json MachineIdsToJson(const std::vector<MachineId>& ids);
// One page of the machine list.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // the list continues after this page
};
MachinePage MachinePageFromJson(const Json& body);
// Path and query of the page that starts after machine `after`, with at most `page_size` machines.
std::string MachineListQuery(const MachineId& after, std::uint32_t page_size);

}  // namespace magpie::protocol
