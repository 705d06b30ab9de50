// A digest of the externally visible decisions of controllers: transactions sent to the key-value
// store, commands to workers, responses to heartbeats, calls to the cloud, responses to users and
// messages between controllers. Each decision is a line of text in wire format with its virtual
// time; the lines are hashed in order. A change that must not alter any decision leaves the digest
// of every seeded scenario unchanged (tools/same-decisions). Recording uses no random numbers and
// does not block, so it does not affect a scenario.
#pragma once

// Same definition as in model/id_hash.h.
#ifndef XXH_INLINE_ALL
#define XXH_INLINE_ALL
#endif
#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <ostream>
#include <string>

#include "kv/key_value_store.h"
#include "net/http_server.h"
#include "protocol/codec.h"
#include "scheduling/scheduler.h"

namespace magpie::testing {

enum class DecisionKind {
  kTransaction,
  kCommand,
  kHeartbeatResponse,
  kCloudCall,
  kUserResponse,
  kPeerMessage,
};

struct Decision {
  DecisionKind kind = DecisionKind::kTransaction;
  Instant at;          // virtual time
  std::string sender;  // name of the controller
  std::string receiver;
  std::string body;  // in wire format
};

// These texts are part of digests and traces, so they must not change when types are renamed.
inline const char* ToText(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kTransaction:
      return "transaction";
    case DecisionKind::kCommand:
      return "command";
    case DecisionKind::kHeartbeatResponse:
      return "heartbeat-answer";
    case DecisionKind::kCloudCall:
      return "cloud-call";
    case DecisionKind::kUserResponse:
      return "user-answer";
    case DecisionKind::kPeerMessage:
      return "peer-message";
  }
  return "unknown";
}

// The shortest text that identifies this time exactly.
inline std::string ToText(Instant at) {
  std::array<char, 32> text{};
  const auto result = std::to_chars(text.data(), text.data() + text.size(), at.value);
  return {text.data(), result.ptr};
}

inline std::string ToText(const Decision& decision) {
  std::string line = ToText(decision.at);
  line += ' ';
  line += ToText(decision.kind);
  line += ' ';
  line += decision.sender;
  line += " > ";
  line += decision.receiver;
  line += ": ";
  line += decision.body;
  return line;
}

// Conditions are written as [key, revision], changes as [key, value, lease]. A null value deletes
// the key; with a null lease, the key has no lease.
inline std::string BodyOf(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const Condition& condition : transaction.conditions)
    conditions.push_back(Json::array({condition.key, condition.revision.value}));
  Json changes = Json::array();
  for (const Change& change : transaction.changes)
    changes.push_back(Json::array({change.key, change.value.value_or(Json()),
                                   change.lease ? Json(change.lease->value) : Json()}));
  return Json::array({conditions, changes}).dump();
}

inline std::string BodyOf(const DirectCommand& direct_command) {
  return protocol::DirectCommandToJson(direct_command.token, direct_command.agent_epoch,
                                       direct_command.commands)
      .dump();
}

inline std::string BodyOf(const HttpResponse& response) {
  return std::to_string(response.status) + " retry-after " +
         std::to_string(response.retry_after_s) + " " + response.body;
}

inline std::string BodyOf(const CloudCall& call) {
  switch (call.kind) {
    case CloudCall::Kind::kList:
      return "list";
    case CloudCall::Kind::kRelease:
      return "release " + protocol::MachineIdsToJson(call.release).dump();
    case CloudCall::Kind::kProvision:
      return "rent " + protocol::ProvisionToJson(call.scale_out.name, call.scale_out.kind.type,
                                                 call.scale_out.kind.zone, call.scale_out.kind.spot,
                                                 call.scale_out.count)
                           .dump();
  }
  return "unknown";
}

class DecisionDigest {
 public:
  // If `trace` is set, each decision is also printed to it as a line.
  explicit DecisionDigest(std::ostream* trace = nullptr) : trace_(trace) {}

  void Add(const Decision& decision) {
    const std::string line = ToText(decision) + "\n";
    hash_ = XXH3_64bits_withSeed(line.data(), line.size(), hash_);
    ++count_;
    if (trace_ != nullptr) *trace_ << line;
  }
  std::uint64_t value() const { return hash_; }
  std::uint64_t count() const { return count_; }

 private:
  std::ostream* trace_;
  std::uint64_t hash_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace magpie::testing
