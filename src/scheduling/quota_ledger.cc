#include "scheduling/quota_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "model/safety_checks.h"

namespace magpie {
namespace {
constexpr double kRoundingTolerance = 1e-6;  // for rounding errors in sums of decimals

Resources UsageOf(const TeamUsage& usage, const std::string& team) {
  const auto it = usage.find(team);
  return it == usage.end() ? Resources{} : it->second;
}
}  // namespace

void QuotaLedger::Clear() {
  usage_.clear();
  claims_.clear();
}

const Team* QuotaLedger::FindTeam(const std::string& name) const {
  const auto it = std::find_if(teams_.begin(), teams_.end(),
                               [&](const Team& team) { return team.name == name; });
  return it == teams_.end() ? nullptr : &*it;
}

bool QuotaLedger::WithinQuota(const Job& job, const TeamUsage& usage, const Resources& more) const {
  const Team* team = FindTeam(job.spec.team);
  if (team == nullptr) return false;
  Resources use = UsageOf(usage, team->name);
  use += more;
  return (team->cpus_max <= 0 || use.cpus <= team->cpus_max + kRoundingTolerance) &&
         (team->gpus_max <= 0 || use.gpus <= team->gpus_max + kRoundingTolerance);
}

bool QuotaLedger::MayStart(const Job& job) const {
  if (IsDisabled(SafetyCheck::kQuotaBeforeStart)) return true;
  if (!WithinQuota(job, usage_, {})) return false;
  if (job.spec.single_zone && job.tasks_by_zone.size() > 1) return false;
  const std::uint32_t maximum = MaxTasksPerZone(job.spec);
  return std::all_of(job.tasks_by_zone.begin(), job.tasks_by_zone.end(),
                     [&](const auto& zone) { return zone.second <= maximum; });
}

bool QuotaLedger::IsGuaranteed(const std::string& team_name, const Resources& use) const {
  const Team* team = FindTeam(team_name);
  return team != nullptr && use.cpus <= team->cpus + kRoundingTolerance &&
         use.gpus <= team->gpus + kRoundingTolerance;
}

bool QuotaLedger::NextTaskIsGuaranteed(const Job& job) const {
  Resources use = UsageOf(usage_, job.spec.team);
  use += job.spec.per_task;
  return IsGuaranteed(job.spec.team, use);
}

void QuotaLedger::ClaimGuarantees(std::vector<Job*> arrived) {
  std::sort(arrived.begin(), arrived.end(), [](const Job* a, const Job* b) {
    return std::tie(a->spec.submitted, a->spec.id) < std::tie(b->spec.submitted, b->spec.id);
  });
  for (Job* job : arrived) {
    const JobSpec& spec = job->spec;
    if (job->cancelled || job->done == spec.tasks) continue;
    const double tasks = spec.tasks;
    job->claim = {tasks * spec.per_task.cpus, tasks * spec.per_task.gpus,
                  tasks * spec.per_task.memory_gb};
    Resources& claims = claims_[spec.team];
    claims += job->claim;
    job->within_guarantee = IsGuaranteed(spec.team, claims);
  }
}

void QuotaLedger::DropClaim(Job& job) { claims_[job.spec.team] -= std::exchange(job.claim, {}); }

bool IsZoneAllowed(const Job& job, const std::string& zone) {
  if (job.spec.zone && *job.spec.zone != zone) return false;
  const auto it = job.tasks_by_zone.find(zone);
  const std::uint32_t tasks_in_zone = it == job.tasks_by_zone.end() ? 0 : it->second;
  // A task bound in another zone may run there, even if only an earlier leader's record shows the
  // binding.
  if (job.spec.single_zone && job.tasks_by_zone.size() > (tasks_in_zone > 0 ? 1U : 0U))
    return false;
  return tasks_in_zone < MaxTasksPerZone(job.spec);
}

}  // namespace magpie
