// The checks of the safety argument (docs/design.md, "Why it is safe"), by name, so that the fault
// sweep (tests/fault_sweep_test.cc) can show that it finds a broken rule without each of them.
//
// The service is compiled without MAGPIE_SAFETY_CHECK_SWITCHES: IsDisabled() is then the constant
// false and the compiler drops every use. Only the fault sweep defines it.
#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace magpie {

// One check each.
enum class SafetyCheck : std::uint8_t {
  kNone,
  // --- conditions of the leader's transactions
  kLeaderKeyCondition,
  kEpochCondition,
  kJobCondition,   // a binding is not written past a cancellation
  kPageCondition,  // a page is replaced only as it was last seen
  kFinalCondition,
  // --- acceptance and ends
  kSubmitCondition,      // a job is accepted once, and not after it is over
  kFinalAfterUnbound,    // cancelled jobs are final only when no task is bound
  kQuotaUntilDurable,    // the quota of a task that ended is held until that is durable
  kResultOnlyIfUnbound,  // a result of another attempt counts only while none is on a machine
  // --- cancellations
  kStoppingBeforeAcknowledged,  // `stopping` is durable before controllers are told
  kAllControllersAcknowledged,  // before the user is
  kCancelCondition,             // a cancellation can't pass the end of its job
  kCancellationStored,          // a controller keeps what it was told of
  kResponseFilter,              // no run of a cancelled job in a reply
  kCommandFilter,               // nor in a direct command
  kStopInResponse,              // each reply stops the listed tasks of cancelled jobs
  kJobsReadBeforeRenewal,       // leases are renewed only by controllers that have read the jobs
  kJobsReadBeforeStart,         // the same for starts
  // --- answers to users
  kReadAfterRequest,  // a question is answered from a read begun after it
  kLiveBeforeFinal,   // a job is looked up in j/ first, then in f/
  // --- starts
  kStartOnlyDurable,
  kNoStartWhileStopping,
  kQuotaBeforeStart,  // what is held keeps limits and zone rules
  kRewrittenUnbound,  // a binding carried along with other records is written as unbound
  kReadLatestRecord,  // of several records of a task the latest counts
  // --- what a worker's absence of a task proves
  kCommandInFlight,
  kResponseInFlight,
  kFencingTokenSeen,
  kRaiseAfterNoAnswer,   // the token is raised after a command without an answer
  kForgetOnlyIfProven,   // an attempt is forgotten only if no command can start it again
  kHeartbeatOrder,       // older reports are not taken in
  kLaterAgentEpoch,      // a later session proves nothing before our token was seen
  kEndBeforeThisEpoch,   // nor does an end
  kAgentRestarted,       // a worker that lost its numbers is recognized
  kFenceAgentRestarted,  // and gets a token above all earlier ones
  // --- leadership
  kLaterEpochHeartbeat,  // a worker that has seen a later epoch is not commanded
  kLaterEpochCommand,
  kFollowerRaisesToken,    // a follower that keeps a lease raises the worker's token
  kCommittedByThisLeader,  // a write found in place is ours only if we still lead
  kEpochMatchesKey,        // the epoch was won with the key that stands
  kNonceMatchesProcess,    // the key is of this run of the process
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
