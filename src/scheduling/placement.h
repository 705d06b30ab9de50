// Selects a machine for a task by the slack rule of the PARIS/ELSA paper (Equations 1 and 2,
// Algorithm 2). The fetch of the task's image counts as part of its wait.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "model/time.h"

namespace magpie {

// The weights of the slack rule.
struct PlacementWeights {
  double alpha = 1.3;          // of the predicted wait
  double beta = 1;             // of the predicted run time
  double target_factor = 1.5;  // target of jobs without deadline or objective, in run times
};

// A machine on which a task fits, with the properties that the slack rule compares.
struct PlacementOption {
  bool on_demand = false;     // an on-demand machine, for a job that may run on spot machines
  double machine_cpus = 0;    // size of the machine
  double free_cpus = 0;       // before the task is placed
  bool available_now = true;  // the task can be sent to the machine at once
  Seconds wait;               // until the task could run, including its image fetch
  Seconds run_time;           // predicted, on this type of machine
};

// Equation 2 of the paper: target - alpha * wait - beta * run time. Negative for a late task.
Seconds Slack(Seconds target, const PlacementOption& option, const PlacementWeights& weights);

// Algorithm 2 of the paper, applied to a list. Returns the position of the smallest machine among
// the options that are available now and leave slack. If there is none, returns the position of the
// option that finishes first, available now or not; nullopt for an empty list. CandidateSelector
// makes the same choice with a CandidateIndex.
std::optional<std::size_t> ChooseOption(const std::vector<PlacementOption>& options, Seconds target,
                                        const PlacementWeights& weights);

}  // namespace magpie
