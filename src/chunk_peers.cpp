#include "chunk_peers.h"

#include <algorithm>
#include <set>

#include "rendezvous.h"

namespace plantain {
namespace {

std::vector<WeightPeer> GetPeersInZone(const WantedManifest& want, const ZoneName& zone) {
  std::vector<WeightPeer> peers;
  std::copy_if(want.peers.begin(), want.peers.end(), std::back_inserter(peers),
               [&](const WeightPeer& peer) { return peer.zone == zone; });
  return peers;
}

std::vector<uint64_t> HashPeers(const std::vector<WeightPeer>& peers) {
  std::vector<uint64_t> hashes;
  for (const WeightPeer& peer : peers) hashes.push_back(HashName(peer.vm.Get()));
  return hashes;
}

size_t FindSelf(const std::vector<WeightPeer>& peers, const VmId& self) {
  const auto found = std::find_if(peers.begin(), peers.end(), [&](const WeightPeer& peer) { return peer.vm == self; });
  return static_cast<size_t>(found - peers.begin());
}

void AddUnique(const WeightPeer& peer, std::vector<WeightPeer>& peers) {
  if (std::find(peers.begin(), peers.end(), peer) == peers.end()) peers.push_back(peer);
}

// Adds the other owners of the own zone, whose chunks this VM takes over if they fail, and the owners in the zones that
// it fetches from. Does nothing if this VM is not an owner.
void AddOwners(const ChunkPlanOptions& options, const WantedManifest& want, std::vector<WeightPeer>& selected) {
  const std::vector<WeightPeer> owners = PickOwners(options, want, options.zone);
  if (FindSelf(owners, options.self) == owners.size()) return;
  for (const WeightPeer& owner : owners) {
    if (owner.vm != options.self) AddUnique(owner, selected);
  }
  const ZoneRing ring = GetZoneRing(options, want);
  if (ring.size == 0) return;
  for (const ZoneName& zone : {want.origin_fetch_zone, ring.previous}) {
    if (zone == options.zone) continue;
    for (const WeightPeer& peer : PickOwners(options, want, zone)) AddUnique(peer, selected);
  }
}

}  // namespace

std::vector<WeightPeer> PickOwners(const ChunkPlanOptions& options, const WantedManifest& want, const ZoneName& zone) {
  const std::vector<WeightPeer> peers = GetPeersInZone(want, zone);
  std::vector<WeightPeer> owners;
  for (const size_t i : PickTopRanked(HashName(want.digest.Get()), HashPeers(peers), options.max_owners)) {
    owners.push_back(peers[i]);
  }
  return owners;
}

std::vector<WeightPeer> PickChunkPeers(const ChunkPlanOptions& options, const WantedManifest& want) {
  std::vector<WeightPeer> selected;
  const std::vector<WeightPeer> local = GetPeersInZone(want, options.zone);
  const size_t self = FindSelf(local, options.self);
  if (self < local.size()) {
    const uint64_t key_hash = HashName(want.digest.Get());
    for (const size_t i : PickNeighbours(key_hash, HashPeers(local), self, options.full_mesh_max_vms)) {
      selected.push_back(local[i]);
    }
  }
  AddOwners(options, want, selected);
  return selected;
}

ZoneRing GetZoneRing(const ChunkPlanOptions& options, const WantedManifest& want) {
  ZoneRing ring;
  if (want.origin_fetch_zone == options.zone) return ring;
  std::set<std::pair<uint64_t, ZoneName>> zones;
  const uint64_t key_hash = HashName(want.digest.Get());
  for (const WeightPeer& peer : want.peers) {
    if (peer.zone != want.origin_fetch_zone)
      zones.emplace(ScoreCandidate(key_hash, HashName(peer.zone.Get())), peer.zone);
  }
  const std::vector<std::pair<uint64_t, ZoneName>> order(zones.begin(), zones.end());
  const auto self = std::find_if(order.begin(), order.end(), [&](const auto& z) { return z.second == options.zone; });
  if (self == order.end()) return ring;
  ring.size = order.size();
  ring.position = static_cast<size_t>(self - order.begin());
  ring.previous = order[(ring.position + ring.size - 1) % ring.size].second;
  return ring;
}

uint32_t GetManifestRank(const ChunkPlanOptions& options, const WantedManifest& want) {
  const std::vector<WeightPeer> local = GetPeersInZone(want, options.zone);
  const size_t self = FindSelf(local, options.self);
  if (self >= local.size()) return 0;
  return RankOwner(HashName(want.digest.Get()), HashPeers(local), self).rank;
}

}  // namespace plantain
