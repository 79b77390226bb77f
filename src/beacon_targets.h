// Recipients of beacons. Bounds the number of messages that a process sends, whatever the size of the fleet. No I/O.

#ifndef PLANTAIN_BEACON_TARGETS_H_
#define PLANTAIN_BEACON_TARGETS_H_

#include <cstddef>
#include <vector>

#include "core_type.h"

namespace plantain {

// Processes that a beacon may go to. Both lists are sorted and contain no process twice.
struct BeaconTargets {
  std::vector<VmId> own_zone;
  // Processes of other zones, and those whose zone is not known yet.
  std::vector<VmId> other;
};

// Serves a list of any length in turns: each beacon goes to the next part of the list, so that nobody is left out when
// the list is longer than one beacon may reach.
class RotatingTargets {
 public:
  explicit RotatingTargets(size_t max_targets) : m_max_targets(max_targets) {}

  // Returns the next `max_targets` of `candidates`, which are sorted, or all of them if there are no more. Candidates
  // may come and go between two calls.
  std::vector<VmId> GetNext(const std::vector<VmId>& candidates);

  // Number of calls until each of `count` candidates has had its turn.
  size_t CountTurns(size_t count) const { return count == 0 ? 1 : (count + m_max_targets - 1) / m_max_targets; }

 private:
  const size_t m_max_targets;
  // The last candidate that had its turn.
  VmId m_last;
};

}  // namespace plantain

#endif  // PLANTAIN_BEACON_TARGETS_H_
