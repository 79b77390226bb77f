// Selects the peers with which a VM exchanges chunk availability for a manifest.

#ifndef PLANTAIN_CHUNK_PEERS_H_
#define PLANTAIN_CHUNK_PEERS_H_

#include <vector>

#include "chunk_plan_type.h"

namespace plantain {

// Returns the neighbours of this VM in its own zone. If this VM is an owner, also returns the other owners of its zone
// and those of the zones that it fetches from. The number of peers is bounded.
std::vector<WeightPeer> PickChunkPeers(const ChunkPlanOptions& options, const WantedManifest& want);

// Returns the VMs of a zone that can own chunks of a manifest, at most `options.max_owners`.
std::vector<WeightPeer> PickOwners(const ChunkPlanOptions& options, const WantedManifest& want, const ZoneName& zone);

// Position of this VM's zone in the ring of zones that do not fetch from the origin. Each manifest has its own ring. A
// chunk enters the ring at the zone given by its hash and is forwarded from zone to zone, so that the zone that fetches
// from the origin sends each chunk to only one other zone.
struct ZoneRing {
  // Number of zones in the ring; 0 if this zone fetches from the origin.
  size_t size = 0;
  size_t position = 0;
  // Preceding zone in the ring; the own zone if it is the only one.
  ZoneName previous;

  // Returns whether a chunk enters the ring here, coming from the zone that fetches from the origin.
  bool IsRingEntry(uint64_t chunk) const { return size > 0 && chunk % size == position; }
};

ZoneRing GetZoneRing(const ChunkPlanOptions& options, const WantedManifest& want);

// Returns the rank of this VM for the manifest among the peers in its zone. The VM with rank 0 fetches the manifest for
// the zone.
uint32_t GetManifestRank(const ChunkPlanOptions& options, const WantedManifest& want);

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_PEERS_H_
