#include "records/records.h"

#include <algorithm>
#include <charconv>

#include "model/safety_checks.h"
#include "protocol/codec.h"

namespace magpie::records {

std::string MemberKey(const std::string& label) { return "c/m/" + label; }
std::string JobKey(const JobId& id) { return "j/" + id.value; }
std::string FinalKey(const JobId& id) { return "f/" + id.value; }

std::string ToKey(const RecordPageKey& key) {
  const std::string number = std::to_string(key.number);
  return key.job.value.empty() ? kPagePrefix + number : kBlockPrefix + key.job.value + '/' + number;
}

std::optional<RecordPageKey> ParseRecordPageKey(const std::string& key) {
  const auto slash = key.rfind('/');
  if (slash == std::string::npos) return std::nullopt;
  RecordPageKey page;
  if (slash > 1) {
    if (!key.starts_with(kBlockPrefix) || slash <= 2) return std::nullopt;
    page.job = {key.substr(2, slash - 2)};
    if (!IsJobId(page.job.value)) return std::nullopt;
  } else if (!key.starts_with(kPagePrefix)) {
    return std::nullopt;
  }
  const char* last = key.data() + key.size();
  const auto [end, error] = std::from_chars(key.data() + slash + 1, last, page.number);
  if (error != std::errc{} || end != last) return std::nullopt;
  return page;
}

Json ToJson(const JobRecord& record) {
  Json value = protocol::JobToRecord(record.spec);
  if (record.stopping) value[kStoppingField] = true;
  if (record.cancelled) value[kCancelledField] = true;
  return value;
}

JobRecord JobFromJson(const Json& value) {
  return {protocol::JobFromRecord(value), value.value(kStoppingField, false),
          value.value(kCancelledField, false)};
}

// A task is encoded as [index, attempt, done] or [index, attempt, done, machine, zone].
Json ToJson(const std::vector<RecordPageEntry>& records) {
  Json jobs = Json::object();
  for (const auto& [job, task] : records) {
    Json fields = Json::array({task.index, task.attempt.value, task.done ? 1 : 0});
    if (!task.machine.value.empty()) {
      fields.push_back(task.machine.value);
      fields.push_back(task.zone);
    }
    jobs[job.value].push_back(std::move(fields));
  }
  return {{"jobs", std::move(jobs)}};
}

static TaskRecord TaskRecordFromJson(const Json& fields) {
  constexpr std::size_t kFieldsOfBoundTask = 5;
  TaskRecord task;
  task.index = fields.at(0).get<std::uint32_t>();
  task.attempt = {fields.at(1).get<std::uint64_t>()};
  task.done = fields.at(2).get<int>() != 0;
  if (fields.size() >= kFieldsOfBoundTask) {
    task.machine = {fields.at(3).get<std::string>()};
    task.zone = fields.at(4).get<std::string>();
  }
  return task;
}

std::vector<RecordPageEntry> RecordPageFromJson(const RecordPageKey& key, const Json& value) {
  std::vector<RecordPageEntry> records;
  const auto add = [&](const JobId& job, const Json& tasks) {
    for (const Json& task : tasks) records.push_back({job, TaskRecordFromJson(task)});
  };
  if (key.job.value.empty()) {
    for (const auto& [job, tasks] : value.at("jobs").items()) add({job}, tasks);
  } else {
    add(key.job, value.at("tasks"));
  }
  return records;
}

Json ToJson(const FinalRecord& record) {
  return {{"end", record.state == JobOutcome::kDone ? "done" : "cancelled"},
          {"tasks", record.tasks}};
}

FinalRecord FinalFromJson(const Json& value) {
  return {value.at("end").get<std::string>() == "done" ? JobOutcome::kDone : JobOutcome::kCancelled,
          value.at("tasks").get<std::uint32_t>()};
}

std::vector<Condition> ConditionsOf(const Leadership& leadership) {
  return {{kLeaderKey, leadership.leader}, {kEpochKey, leadership.epoch}};
}

bool ProvesDeposition(const std::vector<std::string>& failed) {
  return std::any_of(failed.begin(), failed.end(),
                     [](const std::string& key) { return key == kLeaderKey || key == kEpochKey; });
}

Transaction ToTransaction(const WriteBatch& batch, const Leadership& leadership) {
  Transaction transaction;
  const auto require = [&](SafetyCheck check, const std::string& key, Revision revision) {
    if (!IsDisabled(check)) transaction.conditions.push_back({key, revision});
  };
  const auto put = [&](const std::string& key, Json value) {
    transaction.changes.push_back({key, std::move(value), std::nullopt});
  };
  const auto erase = [&](const std::string& key) {
    transaction.changes.push_back({key, std::nullopt, std::nullopt});
  };
  require(SafetyCheck::kLeaderKeyCondition, kLeaderKey, leadership.leader);
  require(SafetyCheck::kEpochCondition, kEpochKey, leadership.epoch);
  for (const auto& [job, revision] : batch.expected_job_revisions)
    require(SafetyCheck::kJobCondition, JobKey(job), revision);
  for (const auto& page : batch.puts) {
    require(SafetyCheck::kPageCondition, ToKey(page.key), page.expected);
    put(ToKey(page.key), ToJson(page.records));
  }
  for (const auto& page : batch.drops) {
    require(SafetyCheck::kPageCondition, ToKey(page.key), page.expected);
    erase(ToKey(page.key));
  }
  for (const auto& final : batch.finals) {
    require(SafetyCheck::kFinalCondition, FinalKey(final.job), Revision{0});
    put(FinalKey(final.job), ToJson(FinalRecord{final.state, final.tasks}));
    erase(JobKey(final.job));
  }
  return transaction;
}

}  // namespace magpie::records
