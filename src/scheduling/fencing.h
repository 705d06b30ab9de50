// What the leader may conclude from a worker's message.
//
// A task may be bound again only once it can no longer start on its previous machine. The proof
// rests on tokens, message order and agent epochs, not on clocks:
//
//  - A worker rejects commands with a token below the highest one that it has seen. Machine::token
//    is the token that commands carry; Machine::seen_token is the highest token that the worker is
//    known to have seen; Machine::fencing_token is above the tokens of all unanswered commands.
//    Once seen_token >= fencing_token, none of the unanswered commands can be executed.
//  - So a heartbeat that does not list a task proves its absence only if seen_token >=
//  fencing_token
//    and no direct command is in flight. An answer to a direct command proves nothing about a
//    heartbeat response that is still in flight. The next heartbeat does: the worker sends it after
//    it has received that response or timed out.
//  - Messages may be delayed, duplicated or reordered. A message is applied only if it is newer
//  than
//    all earlier ones, by (agent epoch, sequence number) and by token: a worker restarted under the
//    same name may have lost its sequence numbers and its token.
//  - The answer to a direct command is created after the command was sent. If its sequence number
//  or
//    token is older than those known when the command was sent, the worker has lost its state.
#pragma once

#include <vector>

#include "model/direct_command.h"
#include "model/worker_messages.h"
#include "scheduling/machine_state.h"

namespace magpie {

// What a worker sent a message as.
enum class MessageSource {
  kHeartbeat,
  kDirectCommandAnswer,
};

// Whether a message proves that tasks it does not list can no longer start on the machine.
bool ProvesAbsence(const Machine& machine, MessageSource source);

// Whether the heartbeat is newer than all earlier messages of the machine.
bool IsNewer(const Machine& machine, const Heartbeat& heartbeat);

// Whether the answer shows that the worker has lost its sequence numbers, token and tasks since the
// command was sent.
bool HasRestarted(const DirectCommand& direct_command, const Heartbeat& answer);

// Whether the term has no higher token left for the machine.
bool TokensExhausted(const Machine& machine);

// Addresses commands to the machine and adds the latest sequence number and token known of it.
DirectCommand MakeDirectCommand(const Machine& machine, std::vector<Command> commands);

}  // namespace magpie
