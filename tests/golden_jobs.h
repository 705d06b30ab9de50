// The jobs in the golden files, as JobSpec values.
#pragma once

#include <gtest/gtest.h>

#include "model/job.h"
#include "model/time.h"

namespace magpie::testing {

// An array job with all fields set except the zone.
inline JobSpec GoldenArrayJob() {
  return {.id = {"j-000412"},
          .job_class = "train",
          .team = "vision",
          .kind = JobKind::kArray,
          .priority = Priority::kHigh,
          .tasks = 16,
          .per_task = {8, 1, 64},
          .image = "img-07",
          .image_gb = 6.2,
          .types = {{"g8", "c16"}},
          .zone = std::nullopt,
          .single_zone = true,
          .spread = false,
          .spot = true,
          .estimate = {240},
          .checkpoint_interval = {30},
          .save_duration = {4},
          .deadline = Seconds{900},
          .submitted = {}};
}

// A service in one zone, on any machine type, without deadline, checkpoints or saving.
inline JobSpec GoldenServiceJob() {
  return {.id = {"j-7"},
          .job_class = "counter-desk",
          .team = "query-desk",
          .kind = JobKind::kService,
          .priority = Priority::kProduction,
          .tasks = 3,
          .per_task = {0.5, 0, 1.25},
          .image = "img-01",
          .image_gb = 0.75,
          .types = std::nullopt,
          .zone = "kochi-port",
          .single_zone = false,
          .spread = true,
          .spot = false,
          .estimate = {0},
          .checkpoint_interval = {0},
          .save_duration = {0},
          .deadline = std::nullopt,
          .submitted = {}};
}

// A job without optional fields and with the maximum number of tasks.
inline JobSpec GoldenSmallestJob(Priority priority) {
  return {.id = {"j-000001"},
          .job_class = "hitlog-sort",
          .team = "array-ops",
          .kind = JobKind::kArray,
          .priority = priority,
          .tasks = 100000,
          .per_task = {1, 0, 2},
          .image = "",
          .image_gb = 0,
          .types = std::nullopt,
          .zone = std::nullopt,
          .single_zone = false,
          .spread = false,
          .spot = false,
          .estimate = {12.5},
          .checkpoint_interval = {0},
          .save_duration = {0},
          .deadline = std::nullopt,
          .submitted = {}};
}

inline void ExpectSameRequirements(const JobSpec& job, const JobSpec& expected) {
  EXPECT_EQ(job.per_task.cpus, expected.per_task.cpus);
  EXPECT_EQ(job.per_task.gpus, expected.per_task.gpus);
  EXPECT_EQ(job.per_task.memory_gb, expected.per_task.memory_gb);
  EXPECT_EQ(job.image, expected.image);
  EXPECT_EQ(job.image_gb, expected.image_gb);
  EXPECT_EQ(job.types, expected.types);
  EXPECT_EQ(job.zone, expected.zone);
  EXPECT_EQ(job.single_zone, expected.single_zone);
  EXPECT_EQ(job.spread, expected.spread);
  EXPECT_EQ(job.spot, expected.spot);
}

// Compares each field separately, so that a failure names the field.
inline void ExpectSameJob(const JobSpec& job, const JobSpec& expected) {
  EXPECT_EQ(job.id, expected.id);
  EXPECT_EQ(job.job_class, expected.job_class);
  EXPECT_EQ(job.team, expected.team);
  EXPECT_EQ(job.kind, expected.kind);
  EXPECT_EQ(job.priority, expected.priority);
  EXPECT_EQ(job.tasks, expected.tasks);
  ExpectSameRequirements(job, expected);
  EXPECT_EQ(job.estimate, expected.estimate);
  EXPECT_EQ(job.checkpoint_interval, expected.checkpoint_interval);
  EXPECT_EQ(job.save_duration, expected.save_duration);
  EXPECT_EQ(job.deadline, expected.deadline);
  EXPECT_EQ(job.submitted, expected.submitted);
}

}  // namespace magpie::testing
