#include "controller/status_lines.h"

#include <cmath>
#include <cstddef>
#include <map>

#include "protocol/codec.h"

namespace magpie {
namespace {

using protocol::Json;

Json RowsToJson(const std::map<std::string, ServiceMetrics::Row>& rows) {
  Json json = Json::object();
  for (const auto& [name, row] : rows)
    json[name] = {{"accepted", row.accepted}, {"started", row.started},
                  {"done", row.done},         {"withdrawn", row.cancelled},
                  {"stopped", row.stopped},   {"open", row.open},
                  {"waiting", row.waiting},   {"oldest_wait_s", std::round(row.oldest_wait.value)}};
  return json;
}

double RoundToMilliseconds(Seconds seconds) { return std::round(1000 * seconds.value) / 1000; }

}  // namespace

std::string ServiceMetricsLine(const std::string& leader, bool cancellations_loaded,
                               const ServiceMetrics::Table& table) {
  return Json{{"served",
               {{"leader", leader},
                {"covered", cancellations_loaded},
                {"classes", RowsToJson(table.classes)},
                {"teams", RowsToJson(table.teams)}}}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string FailoverLine(const std::string& leader, Revision epoch,
                         const ReconciliationProgress& reconciliation,
                         const FailoverTimeline& timeline) {
  Json line{{"node", leader},
            {"epoch", epoch.value},
            {"machines", reconciliation.machines},
            {"orders", reconciliation.commands_issued}};
  for (std::size_t i = 0; i < FailoverTimeline::kSteps; ++i) {
    const auto step = static_cast<FailoverTimeline::Step>(i);
    const auto reached_at = timeline.ElapsedUntil(step);
    Json& field = line[std::string(FailoverTimeline::NameOf(step)) + "_s"];
    if (reached_at) field = RoundToMilliseconds(*reached_at);
  }
  return Json{{"start", line}}.dump();
}

}  // namespace magpie
