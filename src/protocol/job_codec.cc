// Jobs in the protocol's JSON and in stored records, which use the same field names.
#include <charconv>
#include <cstddef>
#include <utility>

#include "protocol/codec.h"
#include "protocol/json_fields.h"

namespace magpie::protocol {
namespace {

constexpr std::uint32_t kMaxTasks = 100000;
constexpr std::size_t kMaxTypes = 64;

constexpr WordMapping<JobKind> kJobKindWords[] = {{"batch", JobKind::kArray},
                                                  {"standing", JobKind::kService}};
constexpr WordMapping<Priority> kPriorityWords[] = {{"production", Priority::kProduction},
                                                    {"high", Priority::kHigh},
                                                    {"standard", Priority::kNormal},
                                                    {"low", Priority::kLow}};

JobSpec JobFromCommonFields(const Json& message) {
  JobSpec spec;
  spec.id = {RequiredText(message, "id")};
  if (!IsJobId(spec.id.value)) ThrowInvalid("id", "not a job id");
  spec.job_class = RequiredText(message, "flock");
  spec.team = RequiredText(message, "nest");
  spec.kind = RequiredWord(message, "gait", kJobKindWords);
  spec.priority = RequiredWord(message, "rank", kPriorityWords);
  const std::uint64_t tasks = RequiredCount(message, "pecks");
  if (tasks < 1 || tasks > kMaxTasks) ThrowInvalid("pecks", "out of range");
  spec.tasks = static_cast<std::uint32_t>(tasks);
  spec.per_task.cpus = RequiredAmount(message, "cpus");
  spec.per_task.gpus = RequiredAmount(message, "gpus");
  spec.per_task.memory_gb = RequiredAmount(message, "ram_gb");
  spec.image = ToText(RequiredField(message, "plumage"), "plumage", EmptyText::kAllowed);
  spec.image_gb = RequiredAmount(message, "image_gb");
  if (const Json* types = FindField(message, "perches")) {
    if (!types->is_array() || types->size() > kMaxTypes)
      ThrowInvalid("perches", "not a short list");
    spec.types.emplace();
    for (const Json& type : *types) spec.types->push_back(ToText(type, "perches"));
  }
  if (const Json* zone = FindField(message, "roost")) spec.zone = ToText(*zone, "roost");
  spec.single_zone = RequiredBool(message, "together");
  spec.spread = RequiredBool(message, "apart");
  spec.spot = RequiredBool(message, "borrowed_branches");
  spec.estimate = {RequiredAmount(message, "flight_s")};
  spec.checkpoint_interval = {RequiredAmount(message, "cache_every_s")};
  spec.save_duration = {RequiredAmount(message, "stash_s")};
  if (const Json* deadline = FindField(message, "dusk_s"))
    spec.deadline = Seconds{ToAmount(*deadline, "dusk_s")};
  return spec;
}

}  // namespace

JobSpec JobFromUser(const Json& body) { return JobFromCommonFields(body); }

Json JobToRecord(const JobSpec& spec) {
  Json record{{"id", spec.id.value},
              {"flock", spec.job_class},
              {"nest", spec.team},
              {"gait", ToWord(spec.kind, kJobKindWords)},
              {"rank", ToWord(spec.priority, kPriorityWords)},
              {"pecks", spec.tasks},
              {"cpus", spec.per_task.cpus},
              {"gpus", spec.per_task.gpus},
              {"ram_gb", spec.per_task.memory_gb},
              {"plumage", spec.image},
              {"image_gb", spec.image_gb},
              {"together", spec.single_zone},
              {"apart", spec.spread},
              {"borrowed_branches", spec.spot},
              {"flight_s", spec.estimate.value},
              {"cache_every_s", spec.checkpoint_interval.value},
              {"stash_s", spec.save_duration.value},
              {"at", spec.submitted.value}};
  if (spec.types) record["perches"] = *spec.types;
  if (spec.zone) record["roost"] = *spec.zone;
  if (spec.deadline) record["dusk_s"] = spec.deadline->value;
  return record;
}

JobSpec JobFromRecord(const Json& record) {
  JobSpec spec = JobFromCommonFields(CheckObject(record, "record"));
  const Json& submitted = RequiredField(record, "at");
  if (!submitted.is_number()) ThrowInvalid("at", "not a number");
  spec.submitted = {submitted.get<double>()};
  return spec;
}

Json JobStatusReplyToJson(const JobStatusReply& reply, bool counts) {
  Json message{{"id", reply.id.value}, {"mood", reply.state}};
  if (counts) {
    message["done"] = reply.done;
    message["running"] = reply.running;
  }
  return message;
}

std::string TaskIdToText(const TaskId& id) { return id.job.value + "/" + std::to_string(id.index); }

TaskId TaskIdFromText(const std::string& text) {
  const auto slash = text.find('/');
  if (slash == std::string::npos || !IsJobId(text.substr(0, slash)))
    ThrowInvalid("peck", "not a task");
  TaskId id{{text.substr(0, slash)}, 0};
  const char* first = text.data() + slash + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, id.index);
  if (error != std::errc{} || end != last || first == last) ThrowInvalid("peck", "not a task");
  return id;
}

}  // namespace magpie::protocol
