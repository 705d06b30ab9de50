// Carries out the leader's transactions, whatever becomes of their answers.
#pragma once

#include <functional>
#include <vector>

#include "core/scheduler.h"
#include "governor/governor.h"
#include "state/records.h"
#include "state/store.h"

namespace magpie {

struct WriteOutcome {
  enum class End {
    kWritten,   // at `stamp`
    kRejected,  // nothing was written, and nothing of it can be any more
    kGivenUp,   // no longer leading
  } end = End::kGivenUp;
  Stamp stamp;
  bool deposed = false;  // the leader's key or the epoch has changed
  // A page is not as the leader, who alone writes them, has it in its books: with these
  // it would be refused for ever, so it must read everything anew.
  bool stale = false;
  struct Job {
    records::JobRecord record;
    Stamp stamp;
  };
  std::vector<Job> reloaded;  // after a rejection: the jobs as they are now
};

class PlanWriter {
 public:
  struct Hooks {
    std::function<bool()> still_leading;
    std::function<void(Seconds)> pause;
  };
  PlanWriter(Store& store, Hooks hooks);

  // Repeats the same transaction until it is certain whether it was carried
  // out. Each try has the same conditions, so only one can ever land, and a
  // conflict after it means that no other try can land later.
  WriteOutcome Write(const WritePlan& plan, const records::Leadership& leadership);

 private:
  void Wait();
  std::optional<Stamp> Landed(const WritePlan& plan, const records::Leadership& leadership);
  void Reload(const WritePlan& plan, WriteOutcome& outcome);

  Store& store_;
  Hooks hooks_;
  Backoff backoff_;  // between the tries of one write
};

}  // namespace magpie
