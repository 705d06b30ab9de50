// Identifiers of jobs, tasks, attempts and machines as distinct types.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace magpie {

// Chosen by the user; see IsJobId for the format.
struct JobId {
  std::string value;
  auto operator<=>(const JobId&) const = default;
};

// Chosen by the cloud; ids increase in the order of creation.
struct MachineId {
  std::string value;
  auto operator<=>(const MachineId&) const = default;
};

// A task of a job; tasks are numbered from 0.
struct TaskId {
  JobId job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};

// Number of an attempt of a task; 0: the task has never been bound to a machine.
struct Attempt {
  std::uint64_t value = 0;
  auto operator<=>(const Attempt&) const = default;
};

// Whether `text` is a valid job id: "j-" followed by digits, at most 40 characters.
bool IsJobId(const std::string& text);

}  // namespace magpie
