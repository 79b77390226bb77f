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

// Offered load of one entry in a pool that shares its slots by priority.
struct PriorityDemand {
  std::map<uint32_t, double> requests_per_s;
  // Mean time that a request holds a slot; 0 if not known.
  double held_s = 0;
};

// Offered load of one entry, in requests per second for each pool.
struct EntryDemand {
  VmId entry;
  ZoneName zone;
  std::map<PoolName, double> requests_per_s;
  // Of the pools that share their slots by priority, unless the entry does not state it.
  std::map<PoolName, PriorityDemand> by_priority{};
};

// Share of the slots of an endpoint, as a sub-range of 0 to 1.
struct ShareRange {
  double from = 0;
  double to = 1;

  double GetWidth() const { return to - from; }
};

// Shares of the endpoints of one pool. All entries with the same view compute ranges that cover 0 to 1 without overlap.
//
// Load pattern: more requests than slots, and several times as many entries as an endpoint has slots. If each entry had
// a share of each endpoint, it would rarely own a whole slot anywhere. So the slots of a zone go to the entries of that
// zone first, and only what they do not need goes to zones whose demand exceeds their slots. Each zone gets slots in
// proportion to its demand, so that none waits longer than another. In pools that share their slots by priority, the
// entries of a zone share in proportion to ComputePriorityDemand.
class SlotShares {
 public:
  // `slots` are the usable slots of the pool in each zone. An entry without demand keeps a narrow share, so that its
  // first requests need not wait until the other entries know of its demand. Zones keep a narrow share of each other's
  // endpoints, since some requests must run in certain regions.
  SlotShares(const std::vector<EntryDemand>& entries, const std::map<ZoneName, double>& slots, const VmId& self,
             const PoolName& pool);

  // Returns the range of endpoints of a zone that belongs to this entry: all of it if this entry is the only one or is
  // not among the entries.
  ShareRange GetRange(const ZoneName& endpoint_zone) const;

  // Returns this entry's part of the demand for the pool.
  double GetDemandShare() const { return m_demand_share; }

 private:
  std::map<ZoneName, ShareRange> m_ranges;
  // Range of endpoints in zones that have no usable slots.
  ShareRange m_default_range;
  double m_demand_share = 1;
};

// Slots of an endpoint from `first` to before `last`. Numbers of at least the endpoint's slots stand for the slots that
// remain after division by their number.
struct SlotRange {
  uint64_t first = 0;
  uint64_t last = 0;

  bool Contains(uint64_t slot) const { return slot >= first && slot < last; }
};

// Returns the slots of one endpoint that lie in a range.
SlotRange GetOwnSlotRange(const ShareRange& range, const EndpointId& endpoint, uint32_t slots);

// Returns how many slots of one endpoint lie in a range. Over adjacent ranges that cover 0 to 1 the results add up to
// `slots` exactly; fractions of a slot are rounded in favour of different entries at different endpoints.
uint32_t GetOwnSlots(const ShareRange& range, const EndpointId& endpoint, uint32_t slots);

}  // namespace plantain

#endif  // PLANTAIN_SLOT_SHARE_H_
