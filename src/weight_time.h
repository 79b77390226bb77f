// Times of a change of weights that entries and agents share.

#ifndef PLANTAIN_WEIGHT_TIME_H_
#define PLANTAIN_WEIGHT_TIME_H_

#include "core_type.h"

namespace plantain {

// Time before the limit of a version from which entries send nothing more to endpoints with older weights; a request
// may wait in the endpoint's queue before it begins.
inline constexpr Duration kVersionMargin = Milliseconds(1300);

}  // namespace plantain

#endif  // PLANTAIN_WEIGHT_TIME_H_
