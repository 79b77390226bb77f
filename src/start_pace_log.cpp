#include "start_pace_log.h"

#include "event_log.h"

namespace plantain {

void ReportStartPace(StartPace& pace, ForwardMetrics& metrics) {
  for (const StartPace::Change& change : pace.TakeChanges()) {
    LogEvent(LogLevel::kInfo, "endpoint_start_pace",
             {{"endpoint", change.endpoint},
              {"phase", change.is_end ? "end" : "begin"},
              {"source", change.is_from_peer ? "peer" : "own"},
              {"ms", ToMilliseconds(change.time)},
              {"refused", change.refused}});
    metrics.CountStartRefusals(change.refused);
  }
  metrics.SetStartingEndpoints(pace.GetCount(), pace.GetSlots());
}

}  // namespace plantain
