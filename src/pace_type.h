// What entries tell each other about endpoints in slow start and about the speed of endpoints.

#ifndef PLANTAIN_PACE_TYPE_H_
#define PLANTAIN_PACE_TYPE_H_

#include <cstdint>
#include <vector>

#include "core_type.h"
#include "fleet_type.h"

namespace plantain {

// Answers that one entry has got from a run of an endpoint in slow start.
struct StartCount {
  EndpointId endpoint;
  Incarnation incarnation;
  // Raised by each begin of a slow start and by each reduction of the number of slots.
  uint32_t epoch = 0;
  // Number of slots when the epoch began.
  uint32_t base = 0;
  // Answers of requests sent in this epoch that began in about the expected time.
  uint32_t good = 0;
  // Whether the number has reached all slots.
  bool is_done = false;
};

// Speed of a run of an endpoint as one entry observed it lately.
struct SpeedReport {
  EndpointId endpoint;
  Incarnation incarnation;
  // Time until answers begin relative to the usual time of the pool, so 2 is half as fast.
  double slowness = 1;
  // Number of answers that it is the median of.
  uint32_t answers = 0;
};

struct PaceReport {
  std::vector<StartCount> starts;
  std::vector<SpeedReport> speeds;
};

// Maximum number of each kind in one report.
inline constexpr size_t kMaxStartCounts = 32;
inline constexpr size_t kMaxSpeedReports = 16;

}  // namespace plantain

#endif  // PLANTAIN_PACE_TYPE_H_
