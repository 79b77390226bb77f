// Partitions the slots of each endpoint among the entries, so that entries with queued requests do not all send to the
// same free slot at once. Entries exchange only their demand. No I/O.

#ifndef PLANTAIN_SLOT_SHARE_H_
#define PLANTAIN_SLOT_SHARE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core_type.h"
#include "fleet_type.h"

namespace plantain {

// Offered load of one entry, in requests per second for each pool.
struct EntryDemand {
  VmId entry;
  std::map<PoolName, double> requests_per_s;
};

// Share of the slots of a pool, as a sub-range of 0 to 1.
struct ShareRange {
  double from = 0;
  double to = 1;
};

// Returns the range that belongs to `self`. Entries are ordered by id, and the width of each range is proportional to
// the entry's demand. An entry without demand keeps a narrow range, so that its first requests need not wait until the
// other entries know of its demand. An entry that is not among `entries`, or is the only one, gets the full range.
ShareRange GetShareRange(const std::vector<EntryDemand>& entries, const VmId& self, const PoolName& pool);

// Returns how many slots of one endpoint lie in a range. Over adjacent ranges that cover 0 to 1 the results add up to
// `slots` exactly; fractions of a slot are rounded in favour of different entries at different endpoints.
uint32_t GetOwnSlots(const ShareRange& range, const EndpointId& endpoint, uint32_t slots);

}  // namespace plantain

#endif  // PLANTAIN_SLOT_SHARE_H_
