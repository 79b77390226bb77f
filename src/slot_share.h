// Splits the slots of each endpoint among the entries, for the load pattern in which several entries, each with
// requests waiting, see the same free slot at once. No I/O, and no messages but the demand that entries tell each
// other.

#ifndef PLANTAIN_SLOT_SHARE_H_
#define PLANTAIN_SLOT_SHARE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core_type.h"
#include "fleet_type.h"

namespace plantain {

// Requests/s that callers offer to one entry, for each pool.
struct EntryDemand {
  VmId entry;
  std::map<PoolName, double> per_s;
};

// A part of the slots of a pool, from 0 to 1.
struct ShareRange {
  double from = 0;
  double to = 1;
};

// Returns the part that belongs to `self`: entries in the order of their ids, each as wide as its share of the demand.
// An entry without demand keeps a narrow part, so that its first requests need not wait for news of them. All of it
// belongs to an entry that is not among `entries`, or alone.
ShareRange GetShareRange(const std::vector<EntryDemand>& entries, const VmId& self, const PoolName& pool);

// Returns how many slots of one endpoint lie in a part. Over parts that cover 0 to 1 they add up to `slots` exactly;
// fractions of a slot fall to different entries at different endpoints.
uint32_t GetOwnSlots(const ShareRange& range, const EndpointId& endpoint, uint32_t slots);

}  // namespace plantain

#endif  // PLANTAIN_SLOT_SHARE_H_
