// Which version of a model's weights to fetch next, for the load pattern in which versions are named faster than a
// fleet can fetch them. No I/O.

#ifndef PLANTAIN_VERSION_PICK_H_
#define PLANTAIN_VERSION_PICK_H_

#include <optional>
#include <vector>

#include "fleet_type.h"

namespace plantain {

struct VersionTimes {
  // Time from the naming of a version to its being in use everywhere that no request may begin on an older one after.
  Duration limit{};
  // Time to fetch one version when nothing else is fetched.
  Duration fetch{};
  // Time from the end of the fetch until all endpoints have loaded it.
  Duration swap{};
  // Time before the limit at which entries stop using the older version.
  Duration margin{};
};

// Picks the version to have next, given those named for one model, oldest first, and the oldest one loaded anywhere in
// the pool (0 if none). The newest one is best if it is in use before an older one falls due, since each fetch that is
// skipped saves its time. Otherwise the choice leaves the shortest time in which the old weights may no longer be used
// and the new ones are not there yet: an older version whose fetch is far on is finished first. All VMs of a pool
// decide by the same times, so that they fetch the same version from each other.
WeightVersion PickVersion(const std::vector<WantedWeights>& named, WeightVersion loaded, const VersionTimes& times,
                          TimePoint now);

// Returns when entries stop using what is loaded, from which on endpoints gain nothing by waiting for each other;
// nothing if no version beyond `loaded` was named.
std::optional<TimePoint> GetLoadDeadline(const std::vector<WantedWeights>& named, WeightVersion loaded,
                                         const VersionTimes& times);

}  // namespace plantain

#endif  // PLANTAIN_VERSION_PICK_H_
