#include "vm_list_sample.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

#include "rendezvous.h"

namespace plantain {
namespace {

constexpr size_t kMaxUnsampledRows = 1000;
// Number of members kept per other zone and pool; entries count as a pool. With 29 other zones and a few pools this
// gives about as many members as the own zone has.
constexpr size_t kMaxPerZoneAndPool = 6;

}  // namespace

std::vector<VmListRow> SampleVmList(std::vector<VmListRow> rows, const VmId& self, const ZoneName& zone) {
  if (rows.size() <= kMaxUnsampledRows) return rows;
  std::vector<VmListRow> kept;
  std::map<std::tuple<ZoneName, MemberKind, PoolName>, std::vector<std::pair<uint64_t, VmListRow*>>> groups;
  for (VmListRow& row : rows) {
    if (row.zone == zone) {
      kept.push_back(std::move(row));
    } else {
      groups[{row.zone, row.kind, row.pool}].emplace_back(GetRendezvousScore(self.Get(), row.vm.Get()), &row);
    }
  }
  for (auto& [key, group] : groups) {
    const size_t count = std::min(kMaxPerZoneAndPool, group.size());
    std::partial_sort(group.begin(), group.begin() + static_cast<std::ptrdiff_t>(count), group.end(),
                      [](const auto& a, const auto& b) { return a.first > b.first; });
    for (size_t i = 0; i < count; ++i) kept.push_back(std::move(*group[i].second));
  }
  return kept;
}

}  // namespace plantain
