// The list of safety checks, and the switches with which the fault sweep disables them.
//
// Only the fault sweep defines MAGPIE_SAFETY_CHECK_SWITCHES. In the service IsDisabled() is the
// constant false, and the compiler removes every use.
#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace magpie {

// The checks that the safety argument relies on (docs/design.md, "Why it is safe"). The fault
// sweep (tests/fault_sweep_test.cc) disables them one at a time and verifies that it then finds a
// violated rule.
enum class SafetyCheck : std::uint8_t {
  kNone,
  // --- conditions of the leader's transactions
  kLeaderKeyCondition,
  kEpochCondition,
  kJobCondition,   // a binding is not written if its job was cancelled meanwhile
  kPageCondition,  // a page is replaced only at the revision that the leader last read or wrote
  kFinalCondition,
  // --- submissions and results
  kSubmitCondition,      // a job id is accepted once, and not again after the job is final
  kFinalAfterUnbound,    // a cancelled job becomes final only once none of its tasks is bound
  kQuotaUntilDurable,    // an ended task counts against the quota until its end is durable
  kResultOnlyIfUnbound,  // a result of an earlier attempt counts only while the task is unbound
  // --- cancellations
  kStoppingBeforeAcknowledged,  // `stopping` is durable before peers are notified
  kAllControllersAcknowledged,  // all peers acknowledge before the user gets the response
  kCancelCondition,             // a cancellation is not written once the job has become final
  kCancellationStored,          // an announced cancellation is kept until a read includes it
  kResponseFilter,              // heartbeat responses start no task of a cancelled job
  kCommandFilter,               // direct commands start no task of a cancelled job
  kStopInResponse,              // heartbeat responses stop the reported tasks of cancelled jobs
  kJobsReadBeforeRenewal,       // a controller renews leases only after it has read the jobs
  kJobsReadBeforeStart,         // the leader starts tasks only after it has read the jobs
  // --- responses to users
  kReadAfterRequest,  // a request is answered from a read that began after the request arrived
  kLiveBeforeFinal,   // a job is looked up under j/ first, then under f/
  // --- starts
  kStartOnlyDurable,      // a task is started only once its binding is durable
  kNoStartWhileStopping,  // a task does not start if it must be stopped or its job is cancelled
  kQuotaBeforeStart,      // a task starts only while its team's limit and its job's zone rules hold
  kRewrittenUnbound,      // a page rewritten for other records contains no pending bindings
  kReadLatestRecord,      // if a task has several records, the latest counts
  // A direct command starts no task: a copy of it may arrive at a worker that has lost its token.
  kStartOnlyInResponse,
  // --- conditions for concluding that a task missing in a worker's message is not on the machine
  kCommandInFlight,  // no conclusion while a direct command is in flight
  // No conclusion from a direct command's response while a heartbeat response is in flight.
  kResponseInFlight,
  kFencingTokenSeen,    // no conclusion until the worker has seen the fencing token
  kRaiseAfterNoAnswer,  // the token is raised if a direct command may be executed later
  // Answered direct commands may arrive once more: when an attempt that they start is given up, the
  // token is raised above theirs, and its absence proves nothing until the worker has seen that.
  kRaiseWhenUnbound,
  kForgetOnlyIfProven,  // no forget command while a command may start the attempt again
  kHeartbeatOrder,      // a message older than the latest one is ignored
  kLaterAgentEpoch,     // a later agent epoch proves nothing until the worker has seen the token
  kEndBeforeThisEpoch,  // a task's reported end proves nothing until the worker has seen the token
  kAgentRestarted,      // a restarted worker that lost its sequence numbers and token is recognized
  kFenceAgentRestarted,  // such a worker gets a token higher than all earlier ones
  // --- leadership
  kLaterEpochHeartbeat,    // no commands in response to a heartbeat with a later epoch's token
  kLaterEpochCommand,      // a direct command's response with a later epoch's token is ignored
  kFollowerRaisesToken,    // a follower that renews a worker's lease raises the worker's token
  kNoRenewalWithoutToken,  // a follower renews no lease of a worker that has seen no token
  kCommittedByThisLeader,  // a write found in the store counts only if this controller still leads
  kEpochMatchesKey,        // the epoch was won with the current leader key
  kNonceMatchesProcess,    // the leader key was written by this run of the process
  kCount,
};

#ifdef MAGPIE_SAFETY_CHECK_SWITCHES
inline std::bitset<static_cast<std::size_t>(SafetyCheck::kCount)> disabled_safety_checks;
inline bool IsDisabled(SafetyCheck check) {
  return disabled_safety_checks[static_cast<std::size_t>(check)];
}
#else
constexpr bool IsDisabled(SafetyCheck) { return false; }
#endif

}  // namespace magpie
