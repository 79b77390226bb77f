#include "slot_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "rendezvous.h"

namespace plantain {
namespace {

// Minimum width of an entry's range, relative to the width with equal demand.
constexpr double kMinShare = 0.1;

double GetDemand(const EntryDemand& entry, const PoolName& pool) {
  const auto found = entry.requests_per_s.find(pool);
  return found == entry.requests_per_s.end() ? 0 : std::max(0.0, found->second);
}

}  // namespace

ShareRange GetShareRange(const std::vector<EntryDemand>& entries, const VmId& self, const PoolName& pool) {
  double sum = 0;
  bool is_listed = false;
  for (const EntryDemand& entry : entries) {
    sum += GetDemand(entry, pool);
    is_listed = is_listed || entry.entry == self;
  }
  if (!is_listed || entries.size() < 2) return {};
  const double min_width = sum > 0 ? kMinShare * sum / static_cast<double>(entries.size()) : 1;
  double total = 0;
  double before = 0;
  double own = 0;
  for (const EntryDemand& entry : entries) {
    const double width = std::max(min_width, GetDemand(entry, pool));
    total += width;
    if (entry.entry < self) before += width;
    if (entry.entry == self) own = width;
  }
  return {before / total, (before + own) / total};
}

uint32_t GetOwnSlots(const ShareRange& range, const EndpointId& endpoint, uint32_t slots) {
  const double shift =
      static_cast<double>(HashName(endpoint.Get())) / static_cast<double>(std::numeric_limits<uint64_t>::max());
  // The widths may add up to slightly less than 1 because of rounding errors.
  constexpr double kRounding = 1e-9;
  const double first = std::floor(range.from * slots + shift + kRounding);
  const double last = std::floor(range.to * slots + shift + kRounding);
  return static_cast<uint32_t>(std::max(0.0, last - first));
}

}  // namespace plantain
