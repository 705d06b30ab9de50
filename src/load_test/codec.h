// Converts the JSON that the simulated key-value service, cloud, workers and users exchange with
// controllers. JSON keys that protocol/codec does not define are string literals in codec.cc.
// Malformed requests throw protocol::InvalidMessage; malformed responses count as failed requests.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/worker.h"
#include "load_test/cloud.h"
#include "load_test/history.h"
#include "load_test/state_service.h"
#include "protocol/codec.h"

namespace magpie::load_test {

using protocol::Json;

// --- Common

// The value of a field of a query such as "/kv?under=c/&page=5", if the field is present.
std::optional<std::string> QueryField(const std::string& target, std::string_view field);
std::optional<std::uint64_t> QueryCount(const std::string& target, std::string_view field);
std::string PathOf(const std::string& target);

// --- Key-value service
Transaction TransactionFromJson(const Json& body);
Seconds LeaseDurationFromJson(const Json& body);
Json ToJson(const StateEntry& entry);
Json ToJson(const StateRange& range);
Json ToJson(const StateCommit& commit);
Json ToJson(const StateLog& log);
Json LeaseToJson(LeaseId lease);
Json TickToJson(Revision tick);

// --- Cloud
RentalRequest RentalFromJson(const Json& body);
Json TypesToJson(const std::vector<MachineType>& types);
Json MachinesToJson(const std::vector<ListedMachine>& machines, bool more);

// --- Workers

// Parses a controller's response to a heartbeat.
agent::Answer AnswerFromResponse(int status, const std::string& body);
// The content of a direct command message from a controller to a worker. The token and the agent
// epoch have no value if the message lacks them.
struct DirectCommands {
  std::optional<FencingToken> token;
  std::optional<std::uint64_t> agent_epoch;
  std::vector<Command> commands;
};
DirectCommands DirectCommandsFromJson(const Json& body);

// --- Users
Json JobToRequest(const JobSpec& spec);
// The job state that a response reports; kNoAnswer if its status or body is unexpected.
ReportedState JobStateFromResponse(int status, const std::string& body);

}  // namespace magpie::load_test
