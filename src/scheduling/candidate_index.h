// Orders the machines of one planning round by preference for tasks of one size and image.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "model/resources.h"
#include "model/time.h"

namespace magpie {

// Ranks machines by the slack rule (Algorithm 2 of the PARIS/ELSA paper) for all jobs with the same
// task size and image, so that each of these jobs does not compare all machines again.
//
// Invariant: an entry is valid only while its version equals that of its machine. Code that changes
// a machine of the plan increments the machine's version and adds the machine again.
class CandidateIndex {
 public:
  // A machine of the plan on which a task could run.
  struct Candidate {
    // Until a task could run there: until there is capacity, including the image fetch, or until
    // the worker can be told to start it, if that is later.
    Seconds wait;
    double free_cpus = 0;             // machines with fewer free CPUs are preferred
    std::uint32_t machine_index = 0;  // in PlacementPlan::machines()
    std::uint32_t version = 0;        // of the machine when this entry was added
    // Orders preferred candidates first.
    bool operator<(const Candidate& other) const;
  };
  // Versions of the planned machines, by machine index.
  using Versions = std::vector<std::uint32_t>;

  // A heap with the preferred candidate on top. Outdated entries are removed at the top.
  class Heap {
   public:
    void Add(const Candidate& candidate);
    // Returns the preferred valid candidate without removing it.
    std::optional<Candidate> Best(const Versions& versions);
    // Whether the machines of the plan have been added; the caller adds them on first use.
    bool filled = false;

   private:
    std::vector<Candidate> candidates_;
  };

  // The candidates of one kind of machine.
  struct KindCandidates {
    Heap available_now;  // machines that accept commands and have free capacity for a task now
    Heap all;  // available now or later; filled only if `available_now` has no suitable candidate
  };

  CandidateIndex(Resources per_task, std::uint32_t image, double image_gb)
      : per_task_(per_task), image_(image), image_gb_(image_gb) {}

  // Whether this index applies to tasks of this size and image.
  bool Matches(const Resources& per_task, std::uint32_t image, double image_gb) const;
  KindCandidates& CandidatesOfKind(std::size_t kind);
  const Resources& per_task() const { return per_task_; }
  std::uint32_t image() const { return image_; }
  double image_gb() const { return image_gb_; }

  std::size_t applied_changes = 0;  // entries of PlacementPlan::changes() applied so far
  std::uint64_t last_used = 0;      // number of the plan's last lookup that returned this index

 private:
  Resources per_task_;
  std::uint32_t image_ = 0;
  double image_gb_ = 0;
  std::vector<KindCandidates> kinds_;  // by kind number
};

}  // namespace magpie
