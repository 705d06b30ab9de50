// JSON of the peers of controllers: requests and responses of the key-value service and the cloud,
// and responses to workers and users. Wire names that protocol/codec does not have are defined only
// here. Malformed input throws protocol::InvalidMessage.
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
agent::Answer AnswerFromReply(int status, const std::string& body);
struct DirectCommands {
  std::optional<FencingToken> token;
  std::optional<std::uint64_t> agent_epoch;
  std::vector<Command> commands;
};
DirectCommands DirectCommandsFromJson(const Json& body);

// --- Users
Json JobToRequest(const JobSpec& spec);
// The job state in a response. A response that violates the protocol counts as no answer.
ReportedState StateFromAnswer(int status, const std::string& body);

}  // namespace magpie::load_test
