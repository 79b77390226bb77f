// Time limits of superseded weight versions. Does no I/O.

#ifndef PLANTAIN_WEIGHT_LIMIT_H_
#define PLANTAIN_WEIGHT_LIMIT_H_

#include <optional>
#include <vector>

#include "fleet_type.h"

namespace plantain {

// Returns the oldest version of a model that may start requests at `now`, given the time from the request for a version
// until older ones may no longer be used. Returns nothing if every version may.
std::optional<WeightVersion> GetMinStartVersion(const std::vector<WantedWeights>& wanted, const ModelName& model,
                                                Duration limit, TimePoint now);

// Returns the time from which no request may start on `version`. Returns nothing if no newer version is wanted.
std::optional<TimePoint> GetStartLimit(const std::vector<WantedWeights>& wanted, const ModelName& model,
                                       WeightVersion version, Duration limit);

}  // namespace plantain

#endif  // PLANTAIN_WEIGHT_LIMIT_H_
