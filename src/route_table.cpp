#include "route_table.h"

#include <xxhash.h>

#include <algorithm>

namespace plantain {

RouteTable::RouteTable(std::shared_ptr<const ConfigView> config, const MemberView& members, const ZoneName& own_zone)
    : m_config(std::move(config)) {
  for (const ZoneSpec& zone : m_config->document.zones) m_zones[zone.name] = {zone.region, zone.is_in_service};
  AddKnownKeys();
  for (const MemberInfo& member : members.members) AddMember(member, own_zone);
  SortCandidates();
  m_entry_count = std::max<size_t>(m_entry_count, 1);
}

void RouteTable::AddKnownKeys() {
  for (const ModelSpec& model : m_config->document.models) {
    m_candidates[{model.name, {}, {}}];
    for (const AdapterSpec& adapter : model.adapters) m_candidates[{model.name, adapter.name, {}}];
  }
  for (const ServiceSpec& service : m_config->document.services) {
    m_candidates[{{}, {}, service.name}];
    m_services[service.name] = &service;
  }
}

void RouteTable::AddMember(const MemberInfo& member, const ZoneName& own_zone) {
  if (member.state == MemberState::kDead) return;
  if (member.kind == MemberKind::kEntry) {
    if (member.state != MemberState::kSuspect) ++m_entry_count;
    return;
  }
  if (member.kind != MemberKind::kEndpoint || member.address.IsEmpty()) return;
  m_endpoints[member.vm] = {member.address, member.incarnation, member.state == MemberState::kSuspect};
  const auto zone = m_zones.find(member.zone);
  if (zone == m_zones.end() || !zone->second.is_in_service) return;
  if (member.state == MemberState::kServing) AddEndpoint(member, GetDistance(member.zone, own_zone));
}

void RouteTable::AddEndpoint(const MemberInfo& member, ZoneDistance distance) {
  const size_t index = m_vms.size();
  RouteVm vm;
  vm.vm = member.vm;
  vm.zone = member.zone;
  vm.distance = distance;
  vm.address = member.address;
  vm.incarnation = member.incarnation;
  vm.limit = member.limit;
  vm.in_flight = member.in_flight;
  vm.is_cold = member.is_cold;
  vm.silence = member.silence;
  vm.hash = XXH3_64bits(member.vm.Get().data(), member.vm.Get().size());
  m_vms.push_back(std::move(vm));
  if (!member.service.IsEmpty()) {
    const auto service = m_services.find(member.service);
    if (service == m_services.end() || service->second->pool != member.pool) return;
    AddCandidate({{}, {}, member.service}, index, {});
    return;
  }
  for (const HoldingInfo& holding : member.holdings) {
    if (!holding.is_serving || !IsPlaced(member.pool, holding.model, holding.adapter)) continue;
    AddCandidate({holding.model, holding.adapter, {}}, index, holding.manifest);
  }
}

void RouteTable::AddCandidate(const RouteKey& key, size_t vm_index, const Digest& manifest) {
  const auto found = m_candidates.find(key);
  if (found != m_candidates.end()) found->second.push_back({vm_index, manifest});
}

void RouteTable::SortCandidates() {
  for (auto& [key, candidates] : m_candidates) {
    std::stable_sort(candidates.begin(), candidates.end(), [this](const auto& a, const auto& b) {
      const RouteVm& first = m_vms[a.vm_index];
      const RouteVm& second = m_vms[b.vm_index];
      return std::tie(first.distance, first.zone) < std::tie(second.distance, second.zone);
    });
  }
}

bool RouteTable::IsPlaced(const PoolName& pool, const ModelName& model, const AdapterName& adapter) const {
  for (const PlacementSpec& placement : m_config->document.placements) {
    if (placement.pool != pool || placement.model != model) continue;
    if (adapter.IsEmpty()) return true;
    for (const PlacedAdapter& placed : placement.adapters) {
      if (placed.name == adapter) return true;
    }
  }
  return false;
}

ZoneDistance RouteTable::GetDistance(const ZoneName& zone, const ZoneName& own_zone) const {
  if (zone == own_zone) return ZoneDistance::kOwnZone;
  const auto zone_info = m_zones.find(zone);
  const auto own_zone_info = m_zones.find(own_zone);
  if (zone_info == m_zones.end() || own_zone_info == m_zones.end()) return ZoneDistance::kOtherRegion;
  return zone_info->second.region == own_zone_info->second.region ? ZoneDistance::kOwnRegion
                                                                  : ZoneDistance::kOtherRegion;
}

const RouteCandidates& RouteTable::FindCandidates(const RouteKey& key) const {
  static const RouteCandidates none;
  const auto found = m_candidates.find(key);
  return found == m_candidates.end() ? none : found->second;
}

size_t RouteTable::GetCandidateCount() const {
  size_t count = 0;
  for (const auto& [key, candidates] : m_candidates) count += candidates.size();
  return count;
}

bool RouteTable::IsKnown(const RouteKey& key) const { return m_candidates.count(key) != 0; }

const ServiceCallSpec* RouteTable::FindCall(const ServiceName& service, const std::string& call) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return nullptr;
  for (const ServiceCallSpec& spec : found->second->calls) {
    if (spec.name == call) return &spec;
  }
  return nullptr;
}

EndpointChanges FindEndpointChanges(const std::map<VmId, EndpointContact>& before,
                                    const std::map<VmId, EndpointContact>& after) {
  EndpointChanges changes;
  for (const auto& [vm, old] : before) {
    const auto found = after.find(vm);
    if (found == after.end() || found->second.address != old.address) {
      changes.unreachable.push_back(vm);
    } else if (found->second.incarnation != old.incarnation) {
      changes.restarted.push_back(vm);
    } else if (found->second.is_suspect && !old.is_suspect) {
      changes.suspect.push_back(vm);
    }
  }
  return changes;
}

}  // namespace plantain
