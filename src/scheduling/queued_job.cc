#include "scheduling/queued_job.h"

namespace magpie {

JobRank RankOf(const Job& job, const QuotaLedger& quotas) {
  const int negated_priority = -static_cast<int>(job.spec.priority);
  if (job.spec.priority == Priority::kProduction || job.within_guarantee)
    return {0, negated_priority};
  return {quotas.NextTaskIsGuaranteed(job) ? 1 : 2, negated_priority};
}

}  // namespace magpie
