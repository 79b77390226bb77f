// The part of a beacon about slow start and the speed of endpoints.

#ifndef PLANTAIN_BEACON_PACE_H_
#define PLANTAIN_BEACON_PACE_H_

#include "pace_type.h"

namespace plantain::proto {
class Beacon;
}  // namespace plantain::proto

namespace plantain {

void EncodePace(const PaceReport& report, proto::Beacon& out);
// Leaves out values that no entry sends, and what exceeds the bounds of a report.
PaceReport DecodePace(const proto::Beacon& in);

}  // namespace plantain

#endif  // PLANTAIN_BEACON_PACE_H_
