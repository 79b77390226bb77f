#include "slot_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "priority_share.h"
#include "rendezvous.h"

namespace plantain {
namespace {

// Minimum demand of an entry, relative to the mean.
constexpr double kMinDemand = 0.1;
// Minimum part of a zone's slots that entries of each other zone own.
constexpr double kMinForeignShare = 0.02;

// Demand of the entries of one zone.
struct ZoneDemand {
  double sum = 0;
  // Demand of the entries before this process in the order of ids, and its own; 0 in other zones.
  double before_self = 0;
  double self = 0;
};

using ZoneDemands = std::map<ZoneName, ZoneDemand>;

double GetMinDemand(const std::vector<double>& demands) {
  double sum = 0;
  for (const double demand : demands) sum += demand;
  return sum > 0 ? kMinDemand * sum / static_cast<double>(demands.size()) : 1;
}

// `offered` are the demands of the entries, in their order.
ZoneDemands SumDemands(const std::vector<EntryDemand>& entries, const std::vector<double>& offered,
                       const EntryDemand& self) {
  ZoneDemands zones;
  const double min_demand = GetMinDemand(offered);
  for (size_t i = 0; i < entries.size(); ++i) {
    const EntryDemand& entry = entries[i];
    const double demand = std::max(min_demand, offered[i]);
    ZoneDemand& zone = zones[entry.zone];
    zone.sum += demand;
    if (entry.zone != self.zone) continue;
    if (entry.entry < self.entry) zone.before_self += demand;
    if (entry.entry == self.entry) zone.self = demand;
  }
  return zones;
}

double SumSlots(const std::map<ZoneName, double>& slots) {
  double sum = 0;
  for (const auto& [zone, count] : slots) sum += count;
  return sum;
}

// Slots that a zone has, and that its demand entitles it to.
struct ZoneBalance {
  double slots = 0;
  double entitled = 0;

  double GetExcess() const { return std::max(0.0, slots - entitled); }
  double GetDeficit() const { return std::max(0.0, entitled - slots); }
};

std::map<ZoneName, ZoneBalance> BalanceZones(const ZoneDemands& demands, const std::map<ZoneName, double>& slots) {
  std::map<ZoneName, ZoneBalance> zones;
  for (const auto& [zone, count] : slots) zones[zone].slots = count;
  double total_demand = 0;
  for (const auto& [zone, demand] : demands) total_demand += demand.sum;
  const double total_slots = SumSlots(slots);
  for (const auto& [zone, demand] : demands) zones[zone].entitled = total_slots * demand.sum / total_demand;
  return zones;
}

// Part of the slots of `endpoint_zone` that entries of `entry_zone` get, up to a common factor.
double GetZoneWeight(const ZoneName& entry_zone, const ZoneName& endpoint_zone,
                     const std::map<ZoneName, ZoneBalance>& zones, double total_deficit) {
  const ZoneBalance& entries = zones.at(entry_zone);
  const ZoneBalance& endpoints = zones.at(endpoint_zone);
  if (entry_zone == endpoint_zone) return std::min(entries.slots, entries.entitled);
  const double part = total_deficit > 0 ? endpoints.GetExcess() * entries.GetDeficit() / total_deficit : 0;
  return std::max(part, kMinForeignShare * endpoints.slots);
}

// Returns the range of `self` if the entries of each zone get a part of `weights`, and share it in proportion to
// demand.
ShareRange MakeRange(const std::map<ZoneName, double>& weights, const ZoneDemands& demands, const ZoneName& self_zone) {
  double total = 0;
  double before = 0;
  for (const auto& [zone, weight] : weights) {
    if (zone < self_zone) before += weight;
    total += weight;
  }
  const ZoneDemand& own = demands.at(self_zone);
  const double per_demand = weights.at(self_zone) / own.sum;
  const double from = before + own.before_self * per_demand;
  return {from / total, (from + own.self * per_demand) / total};
}

}  // namespace

SlotShares::SlotShares(const std::vector<EntryDemand>& entries, const std::map<ZoneName, double>& slots,
                       const VmId& self, const PoolName& pool) {
  const auto own =
      std::find_if(entries.begin(), entries.end(), [&](const EntryDemand& entry) { return entry.entry == self; });
  if (own == entries.end() || entries.size() < 2) return;
  const ZoneDemands demands = SumDemands(entries, ComputePriorityDemand(entries, slots, pool), *own);
  std::map<ZoneName, double> weights;
  double total_demand = 0;
  for (const auto& [zone, demand] : demands) {
    weights[zone] = demand.sum;
    total_demand += demand.sum;
  }
  m_default_range = MakeRange(weights, demands, own->zone);
  m_demand_share = demands.at(own->zone).self / total_demand;
  const std::map<ZoneName, ZoneBalance> zones = BalanceZones(demands, slots);
  double total_deficit = 0;
  for (const auto& [zone, balance] : zones) total_deficit += balance.GetDeficit();
  for (const auto& [endpoint_zone, count] : slots) {
    if (count <= 0) continue;
    for (auto& [zone, weight] : weights) weight = GetZoneWeight(zone, endpoint_zone, zones, total_deficit);
    m_ranges[endpoint_zone] = MakeRange(weights, demands, own->zone);
  }
}

ShareRange SlotShares::GetRange(const ZoneName& endpoint_zone) const {
  const auto found = m_ranges.find(endpoint_zone);
  return found == m_ranges.end() ? m_default_range : found->second;
}

SlotRange GetOwnSlotRange(const ShareRange& range, const EndpointId& endpoint, uint32_t slots) {
  const double shift =
      static_cast<double>(HashName(endpoint.Get())) / static_cast<double>(std::numeric_limits<uint64_t>::max());
  // The widths may add up to slightly less than 1 because of rounding errors.
  constexpr double kRounding = 1e-9;
  const double first = std::floor(range.from * slots + shift + kRounding);
  const double last = std::floor(range.to * slots + shift + kRounding);
  return {static_cast<uint64_t>(first), static_cast<uint64_t>(std::max(first, last))};
}

uint32_t GetOwnSlots(const ShareRange& range, const EndpointId& endpoint, uint32_t slots) {
  const SlotRange own = GetOwnSlotRange(range, endpoint, slots);
  return static_cast<uint32_t>(own.last - own.first);
}

}  // namespace plantain
