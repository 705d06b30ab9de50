// Jobs as users submit them (PROTOCOL, "POST /v2/runs").
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/ids.h"
#include "model/resources.h"
#include "model/time.h"

namespace magpie {

// What happens to a job's tasks when they run.
enum class JobKind {
  kArray,    // independent tasks, each of which runs to completion
  kService,  // tasks (replicas) that run until the job is cancelled
};

// Higher values may preempt lower ones.
enum class Priority { kLow = 0, kNormal = 1, kHigh = 2, kProduction = 3 };

// A job as it was submitted.
struct JobSpec {
  JobId id;
  std::string job_class;  // what an Objective refers to
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  std::uint32_t tasks = 1;
  Resources per_task;
  std::string image;  // empty: none is needed
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // allowed machine types; nullopt: all
  std::optional<std::string> zone;                // the only allowed zone; nullopt: all
  bool single_zone = false;                       // all tasks in the same zone
  bool spread = false;                            // MaxTasksPerZone applies
  bool spot = false;                              // spot machines are allowed
  Seconds estimate;             // the owner's guess of a task's run time, without the image fetch
  Seconds checkpoint_interval;  // interval of the checkpoints; 0: a task never saves
  Seconds save_duration;        // how long a task takes to save when it is stopped
  std::optional<Seconds> deadline;  // after `submitted`
  WallTime submitted;
};

// How many of a job's tasks one zone may hold at a time.
std::uint32_t MaxTasksPerZone(const JobSpec& spec);

}  // namespace magpie
