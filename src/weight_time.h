// Timing constants of weight version changes, shared by entries and agents.

#ifndef PLANTAIN_WEIGHT_TIME_H_
#define PLANTAIN_WEIGHT_TIME_H_

#include "core_type.h"

namespace plantain {

// Time before a version's limit at which entries stop sending requests to endpoints with older weights. The margin is
// needed because a request may wait in the endpoint's queue before it starts.
inline constexpr Duration kVersionMargin = Milliseconds(1300);

// Time before a version's limit at which requests that have not started on it are withdrawn. Covers the delay of the
// news about the newer version and of the cancellation.
inline constexpr Duration kWithdrawalMargin = Milliseconds(500);

}  // namespace plantain

#endif  // PLANTAIN_WEIGHT_TIME_H_
