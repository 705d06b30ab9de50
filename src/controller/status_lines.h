// The two JSON lines that a leader logs about its work, parsed by tools/regress and
// tools/bench_report.py.
#pragma once

#include <string>

#include "failover/failover_timeline.h"
#include "metrics/service_metrics.h"
#include "scheduling/scheduler.h"

namespace magpie {

// `{"served":...}`: the service metrics of each class and team since the takeover.
// `cancellations_loaded`: whether the leader may renew workers' leases.
std::string ServiceMetricsLine(const std::string& leader, bool cancellations_loaded,
                               const ServiceMetrics::Table& table);

// `{"start":...}`: the time of each step of a takeover, in seconds since the process started to
// listen.
std::string FailoverLine(const std::string& leader, Revision epoch,
                         const ReconciliationProgress& reconciliation,
                         const FailoverTimeline& timeline);

}  // namespace magpie
