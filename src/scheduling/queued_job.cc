#include "scheduling/queued_job.h"

namespace magpie {

JobRank RankOf(const Job& job, const QuotaLedger& quotas) {
  const int negative_priority = -static_cast<int>(job.spec.priority);
  if (job.spec.priority == Priority::kProduction || job.within_guarantee)
    return {0, negative_priority};
  return {quotas.NextTaskIsGuaranteed(job) ? 1 : 2, negative_priority};
}

}  // namespace magpie
