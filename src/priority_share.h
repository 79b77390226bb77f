// Demand with which entries share the slots of a pool by priority. No I/O.

#ifndef PLANTAIN_PRIORITY_SHARE_H_
#define PLANTAIN_PRIORITY_SHARE_H_

#include <map>
#include <vector>

#include "slot_share.h"

namespace plantain {

// Returns a demand for each entry, in their order, so that shares in proportion to it give the slots of a zone first to
// its demand of high priority. Each priority gets what those above it leave, and at least a floor. What no priority
// needs is shared in proportion to the offered demand. The sum of each zone stays that of the offered demand, so that
// zones share slots as in any pool.
//
// Load pattern: callers are hashed to entries, so that one has urgent requests waiting while another serves less urgent
// ones. Entries that do not state their demand by priority count as having the mix of their zone. If fewer than two
// priorities are stated, or nobody knows how long a request holds a slot, the offered demand is returned unchanged.
std::vector<double> ComputePriorityDemand(const std::vector<EntryDemand>& entries,
                                          const std::map<ZoneName, double>& slots, const PoolName& pool);

}  // namespace plantain

#endif  // PLANTAIN_PRIORITY_SHARE_H_
