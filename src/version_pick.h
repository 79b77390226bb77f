// Selects the version of a model's weights to fetch next, for the load pattern in which versions are published faster
// than a fleet can fetch them. Does no I/O.

#ifndef PLANTAIN_VERSION_PICK_H_
#define PLANTAIN_VERSION_PICK_H_

#include <optional>
#include <vector>

#include "fleet_type.h"

namespace plantain {

struct VersionTimes {
  // Time from the publication of a version after which no request may start on an older version.
  Duration limit{};
  // Time to fetch one version without concurrent fetches.
  Duration fetch{};
  // Time from the end of the fetch until all endpoints have loaded the version.
  Duration swap{};
  // Time before the limit at which entries stop using the older version; see kVersionMargin.
  Duration margin{};
};

// Returns the version to fetch next, given the published versions of one model, oldest first, and the oldest version
// loaded anywhere in the pool (0 if none). Selects the newest version if it can be in use before an older one is due,
// since skipped fetches save time. Otherwise minimizes the time in which the old weights may no longer be used and the
// new ones are not loaded yet, so an older version whose fetch is nearly complete is finished first. All VMs of a pool
// use the same times, so that they select the same version and can fetch it from each other.
WeightVersion PickVersion(const std::vector<WantedWeights>& published, WeightVersion loaded, const VersionTimes& times,
                          TimePoint now);

// Returns the time at which entries stop using the loaded version. From then on endpoints gain nothing by waiting for
// each other before a swap. Returns nothing if no version newer than `loaded` was published.
std::optional<TimePoint> GetLoadDeadline(const std::vector<WantedWeights>& published, WeightVersion loaded,
                                         const VersionTimes& times);

}  // namespace plantain

#endif  // PLANTAIN_VERSION_PICK_H_
