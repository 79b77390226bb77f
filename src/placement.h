// Determines which VMs are assigned which weights.

#ifndef PLANTAIN_PLACEMENT_H_
#define PLANTAIN_PLACEMENT_H_

#include <set>
#include <vector>

#include "document_func.h"
#include "engine_gate.h"
#include "member_type.h"

namespace plantain {

// A VM that is assigned a set of weights.
struct WeightPeer {
  VmId vm;
  ZoneName zone;
  IpAddress address;

  auto operator<=>(const WeightPeer&) const = default;
};

// Returns whether other VMs of its zone can rely on the member for chunk transfer and for the order of a rollout.
bool IsMemberAlive(const MemberInfo& member);

// Returns the endpoints whose pool is assigned the manifest, ordered by VM id. In the own zone, only members that are
// alive are returned. Members of other zones may be known from the VM list only, so those in unknown state are also
// returned.
std::vector<WeightPeer> GetWeightPeers(const Document& document, const MemberView& view, const ZoneName& own_zone,
                                       const Digest& manifest);

// Returns the zone whose owners fetch from the origin: the zone of the origin if it has a peer, otherwise the peers'
// zone that ranks first for the manifest by rendezvous hash.
ZoneName GetOriginFetchZone(const Document& document, const std::vector<WeightPeer>& peers, const Digest& manifest);

// Returns all manifests that the document lists for a slot. An engine may continue to serve any of them until the
// rollout allows this VM to load the assigned one.
std::set<Digest> GetListedManifests(const Document& document, const WeightSlot& slot);

// Returns whether all peers serve the manifest, so that none of them needs its chunks any more.
bool IsServedByAll(const MemberView& view, const std::vector<WeightPeer>& peers, const Digest& manifest);

}  // namespace plantain

#endif  // PLANTAIN_PLACEMENT_H_
