// What the leader may conclude from a worker's message.
//
// A task may be bound again only once it can no longer start on its previous machine. The proof
// rests on tokens, message order and agent epochs, not on clocks:
//
//  - A worker rejects commands with a token below the highest one that it has seen. Machine::token
//    is the token that commands carry; Machine::seen_token is the highest token that the worker is
//    known to have seen. Machine::fencing_token is above the tokens of all commands of earlier
//    leaders, and of this leader's direct commands with DeliveryStatus::kUnknown to the current
//    agent epoch. Once seen_token >= fencing_token, the worker rejects all of these.
//  - So a message that does not list a task proves the task's absence only if
//    seen_token >= fencing_token and no direct command is in flight. The response to a direct
//    command does not prove it while a heartbeat response with a `run` command is in flight. The
//    next heartbeat does: the worker sends it only after it has received the heartbeat response or
//    the request has timed out.
//  - A copy of a direct command may arrive after the command was executed and answered. While the
//    worker lists an attempt, also as ended, a `run` of it has no effect. So a copy can start an
//    attempt that the worker no longer lists, until the worker has seen a token above
//    HeldTask::start_token. When the leader gives up an attempt, it raises Machine::token above
//    that, so the command to forget the attempt delivers the higher token. The absence of a bound
//    attempt counts only if the worker has seen such a token, or has begun a later agent epoch.
//  - Messages may be delayed, duplicated or reordered. A message is applied only if its pair of
//    agent epoch and sequence number is above that of the last applied message and its token is
//    not below seen_token: a worker restarted under the same name may have lost its sequence
//    numbers and its token.
//  - The response to a direct command is created after the command was sent. If its pair of agent
//    epoch and sequence number is not above the one known when the command was sent, or its token
//    is below the one known then, the worker has lost its state.
#pragma once

#include <vector>

#include "model/direct_command.h"
#include "model/worker_messages.h"
#include "scheduling/machine_state.h"

namespace magpie {

// The kinds of messages from a worker.
enum class MessageSource {
  kHeartbeat,
  kDirectCommandResponse,
};

// Whether a message proves that tasks it does not list can no longer start on the machine.
bool ProvesAbsence(const Machine& machine, MessageSource source);

// Whether the heartbeat is newer than all messages applied to the machine before.
bool IsNewer(const Machine& machine, const Heartbeat& heartbeat);

// Whether the response shows that the worker has lost its sequence numbers, token and tasks since
// the last message that was applied before the command was sent.
bool HasRestarted(const DirectCommand& direct_command, const Heartbeat& response);

// Whether the term has no higher token left for the machine.
bool TokensExhausted(const Machine& machine);

// Records the token of a direct command in the machine's tasks that the command starts.
void RecordStarts(Machine& machine, const DirectCommand& direct_command);

// Raises the machine's token above those of the direct commands that start the attempt.
void RevokeStarts(Machine& machine, const HeldTask& attempt);

// Whether the worker rejects all direct commands of this leader that start the attempt.
bool RejectsStarts(const Machine& machine, const HeldTask& attempt);

// Raises the machine's token and its fencing token above those of the direct commands that start
// the attempt, so that a message with the higher token proves that the worker rejects them.
void FenceStarts(Machine& machine, const HeldTask& attempt);

// Builds a direct command to the machine. It includes the latest agent epoch, sequence number and
// token known of the machine, which HasRestarted compares with the response.
DirectCommand MakeDirectCommand(const Machine& machine, std::vector<Command> commands);

}  // namespace magpie
