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

// Whether a job's tasks run to completion or until they are cancelled.
enum class JobKind {
  kArray,    // independent tasks, each of which runs to completion
  kService,  // tasks (replicas) that run until the job is cancelled
};

// Jobs of a higher priority may preempt jobs of a lower one.
enum class Priority { kLow = 0, kNormal = 1, kHigh = 2, kProduction = 3 };

// A job as submitted.
struct JobSpec {
  JobId id;
  std::string job_class;  // the class that an Objective applies to
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  std::uint32_t tasks = 1;
  Resources per_task;
  std::string image;  // empty: the job needs no image
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // allowed machine types; nullopt: all
  std::optional<std::string> zone;                // the only allowed zone; nullopt: all
  bool single_zone = false;                       // all tasks must run in the same zone
  bool spread = false;                            // MaxTasksPerZone limits the tasks in one zone
  bool spot = false;                              // spot machines are allowed
  Seconds estimate;             // the user's estimate of a task's run time, without the image fetch
  Seconds checkpoint_interval;  // interval between checkpoints; 0: tasks never save their progress
  Seconds save_duration;        // time that a stopped task needs to save its progress
  std::optional<Seconds> deadline;  // relative to `submitted`
  WallTime submitted;
};

// The maximum number of the job's tasks in one zone at a time.
std::uint32_t MaxTasksPerZone(const JobSpec& spec);

}  // namespace magpie
