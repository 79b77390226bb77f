// Summaries of the models that each zone serves. Zones exchange them instead of the state of each endpoint.

#ifndef PLANTAIN_ZONE_SUMMARY_H_
#define PLANTAIN_ZONE_SUMMARY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "clock.h"
#include "member_type.h"

namespace plantain {

// Stores the newest summary of each zone. The numbers of zones and models are bounded. Performs no I/O.
class ZoneSummaries {
 public:
  ZoneSummaries(const Clock& clock, ZoneName own_zone);

  // Computes the summary of the own zone. Its sequence is the wall-clock time in microseconds, so that summaries of
  // different reporters can be compared.
  void UpdateOwnSummary(const MemberView& view, const VmId& reporter);

  // Stores a summary received from a peer. Returns false if it is invalid or not newer than the stored one.
  bool Take(ZoneSummaryInfo summary);

  // Returns up to `max` summaries with change numbers above `number`, in order, and sets `number` to the last of them.
  std::vector<const ZoneSummaryInfo*> GetChangesAfter(uint64_t& number, size_t max) const;

  // Returns the newest summaries of other zones.
  std::vector<ZoneSummaryInfo> GetOtherZones() const;

 private:
  struct Entry {
    ZoneSummaryInfo summary;
    uint64_t change = 0;
  };

  const Clock& m_clock;
  const ZoneName m_own_zone;
  std::map<ZoneName, Entry> m_entries;
  uint64_t m_change = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_ZONE_SUMMARY_H_
