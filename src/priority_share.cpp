#include "priority_share.h"

#include <algorithm>
#include <numeric>
#include <set>

#include "priority_wait_queue.h"

namespace plantain {
namespace {

// Part of a zone's slots that each priority gets at least, as in PriorityWaitQueue.
constexpr double kFloor = 1.0 / PriorityWaitQueue::kFloorInterval;

using Rates = std::map<uint32_t, double>;

double GetOffered(const EntryDemand& entry, const PoolName& pool) {
  const auto found = entry.requests_per_s.find(pool);
  return found == entry.requests_per_s.end() ? 0 : std::max(0.0, found->second);
}

const PriorityDemand* FindSplit(const EntryDemand& entry, const PoolName& pool) {
  const auto found = entry.by_priority.find(pool);
  return found == entry.by_priority.end() || found->second.requests_per_s.empty() ? nullptr : &found->second;
}

double Sum(const Rates& rates) {
  return std::accumulate(rates.begin(), rates.end(), 0.0,
                         [](double sum, const auto& rate) { return sum + rate.second; });
}

// Returns the mean time that a request holds a slot, over the entries that know it; 0 if none does.
double GetHeldSeconds(const std::vector<EntryDemand>& entries, const PoolName& pool) {
  double sum = 0;
  double weight = 0;
  for (const EntryDemand& entry : entries) {
    const PriorityDemand* split = FindSplit(entry, pool);
    if (split == nullptr || split->held_s <= 0) continue;
    sum += GetOffered(entry, pool) * split->held_s;
    weight += GetOffered(entry, pool);
  }
  return weight > 0 ? sum / weight : 0;
}

size_t CountPriorities(const std::vector<EntryDemand>& entries, const PoolName& pool) {
  std::set<uint32_t> priorities;
  for (const EntryDemand& entry : entries) {
    const PriorityDemand* split = FindSplit(entry, pool);
    if (split == nullptr) continue;
    for (const auto& [priority, per_s] : split->requests_per_s) {
      if (per_s > 0) priorities.insert(priority);
    }
  }
  return priorities.size();
}

// Returns what each priority gets of a capacity, in requests/s.
Rates GrantByPriority(const Rates& demand, double capacity) {
  double reserved = 0;
  for (const auto& [priority, per_s] : demand) reserved += std::min(per_s, kFloor * capacity);
  double left = capacity;
  Rates granted;
  for (const auto& [priority, per_s] : demand) {
    const double floor = std::min(per_s, kFloor * capacity);
    reserved -= floor;
    granted[priority] = std::min(per_s, std::max(floor, left - reserved));
    left = std::max(0.0, left - granted[priority]);
  }
  return granted;
}

// Demand of the entries of one zone.
struct ZoneOffer {
  double offered = 0;
  Rates by_priority;
};

// Part of each priority's demand in a zone that is granted, and of what is left for each request/s of any priority.
struct ZoneGrant {
  double GetWeight(const Rates& demand) const {
    double weight = spare_part * Sum(demand);
    for (const auto& [priority, per_s] : demand) weight += per_s * granted_part.at(priority);
    return weight;
  }

  Rates granted_part;
  double spare_part = 0;
};

ZoneGrant GrantZone(const ZoneOffer& zone, double capacity) {
  ZoneGrant grant;
  const Rates granted = GrantByPriority(zone.by_priority, capacity);
  for (const auto& [priority, per_s] : zone.by_priority) {
    grant.granted_part[priority] = per_s > 0 ? granted.at(priority) / per_s : 0;
  }
  const double stated = Sum(zone.by_priority);
  if (stated > 0) grant.spare_part = std::max(0.0, capacity - Sum(granted)) / stated;
  return grant;
}

}  // namespace

std::vector<double> ComputePriorityDemand(const std::vector<EntryDemand>& entries,
                                          const std::map<ZoneName, double>& slots, const PoolName& pool) {
  std::vector<double> demands;
  for (const EntryDemand& entry : entries) demands.push_back(GetOffered(entry, pool));
  const double held_s = GetHeldSeconds(entries, pool);
  const double offered = std::accumulate(demands.begin(), demands.end(), 0.0);
  if (held_s <= 0 || offered <= 0 || CountPriorities(entries, pool) < 2) return demands;
  double capacity = 0;
  for (const auto& [zone, count] : slots) capacity += count / held_s;
  std::map<ZoneName, ZoneOffer> zones;
  for (const EntryDemand& entry : entries) {
    ZoneOffer& zone = zones[entry.zone];
    zone.offered += GetOffered(entry, pool);
    const PriorityDemand* split = FindSplit(entry, pool);
    if (split == nullptr) continue;
    for (const auto& [priority, per_s] : split->requests_per_s) zone.by_priority[priority] += per_s;
  }
  std::map<ZoneName, ZoneGrant> grants;
  for (const auto& [name, zone] : zones) grants[name] = GrantZone(zone, capacity * zone.offered / offered);
  std::map<ZoneName, double> sums;
  for (size_t i = 0; i < entries.size(); ++i) {
    const ZoneOffer& zone = zones.at(entries[i].zone);
    const ZoneGrant& grant = grants.at(entries[i].zone);
    const PriorityDemand* split = FindSplit(entries[i], pool);
    const double stated = Sum(zone.by_priority);
    if (split != nullptr) {
      demands[i] = grant.GetWeight(split->requests_per_s);
    } else if (stated > 0) {
      demands[i] *= grant.GetWeight(zone.by_priority) / stated;
    }
    sums[entries[i].zone] += demands[i];
  }
  for (size_t i = 0; i < entries.size(); ++i) {
    const double sum = sums.at(entries[i].zone);
    if (sum > 0) demands[i] *= zones.at(entries[i].zone).offered / sum;
  }
  return demands;
}

}  // namespace plantain
