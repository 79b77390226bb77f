// Log lines and metrics of slow starts.

#ifndef PLANTAIN_START_PACE_LOG_H_
#define PLANTAIN_START_PACE_LOG_H_

#include "forward_metrics.h"
#include "start_pace.h"

namespace plantain {

// Logs the slow starts that began or ended since the last call, and updates the metrics.
void ReportStartPace(StartPace& pace, ForwardMetrics& metrics);

}  // namespace plantain

#endif  // PLANTAIN_START_PACE_LOG_H_
