#include "placement.h"

#include <algorithm>
#include <map>

#include "rendezvous.h"

namespace plantain {
namespace {

bool IsAssigned(const Document& document, const PoolName& pool, const Digest& manifest) {
  const std::vector<Assignment> assignments = GetAssignments(document, pool);
  return std::any_of(assignments.begin(), assignments.end(),
                     [&](const Assignment& assignment) { return assignment.manifest == manifest; });
}

bool IsServing(const MemberInfo& member, const Digest& manifest) {
  return std::any_of(member.holdings.begin(), member.holdings.end(),
                     [&](const HoldingInfo& holding) { return holding.manifest == manifest && holding.is_serving; });
}

}  // namespace

bool IsMemberAlive(const MemberInfo& member) {
  return member.state == MemberState::kStarting || member.state == MemberState::kServing;
}

std::vector<WeightPeer> GetWeightPeers(const Document& document, const MemberView& view, const ZoneName& own_zone,
                                       const Digest& manifest) {
  std::map<PoolName, bool> assigned;
  std::vector<WeightPeer> peers;
  for (const MemberInfo& member : view.members) {
    const bool is_state_unknown = member.zone != own_zone && member.state == MemberState::kUnknown;
    if (member.kind != MemberKind::kEndpoint || !(IsMemberAlive(member) || is_state_unknown)) continue;
    const auto [entry, is_new] = assigned.try_emplace(member.pool, false);
    if (is_new) entry->second = IsAssigned(document, member.pool, manifest);
    if (entry->second) peers.push_back({member.vm, member.zone, member.address});
  }
  std::sort(peers.begin(), peers.end());
  return peers;
}

ZoneName GetOriginFetchZone(const Document& document, const std::vector<WeightPeer>& peers, const Digest& manifest) {
  std::set<ZoneName> zones;
  for (const WeightPeer& peer : peers) zones.insert(peer.zone);
  if (zones.empty() || zones.contains(document.origin_zone)) return document.origin_zone;
  const std::vector<ZoneName> names(zones.begin(), zones.end());
  std::vector<uint64_t> hashes;
  for (const ZoneName& name : names) hashes.push_back(HashName(name.Get()));
  return names[FindOwner(HashName(manifest.Get()), hashes)];
}

std::set<Digest> GetListedManifests(const Document& document, const WeightSlot& slot) {
  std::set<Digest> manifests;
  const auto add = [&](const std::vector<WeightsVersion>& versions) {
    for (const WeightsVersion& version : versions) manifests.insert(version.manifest);
  };
  for (const ModelSpec& model : document.models) {
    if (model.name != slot.model) continue;
    if (slot.adapter.IsEmpty()) add(model.versions);
    for (const AdapterSpec& adapter : model.adapters) {
      if (adapter.name == slot.adapter) add(adapter.versions);
    }
  }
  return manifests;
}

bool IsServedByAll(const MemberView& view, const std::vector<WeightPeer>& peers, const Digest& manifest) {
  std::set<VmId> serving;
  for (const MemberInfo& member : view.members) {
    if (IsServing(member, manifest)) serving.insert(member.vm);
  }
  return std::all_of(peers.begin(), peers.end(), [&](const WeightPeer& peer) { return serving.contains(peer.vm); });
}

}  // namespace plantain
