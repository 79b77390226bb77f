// Plain data of the chunk plan.

#ifndef PLANTAIN_CHUNK_PLAN_TYPE_H_
#define PLANTAIN_CHUNK_PLAN_TYPE_H_

#include <memory>
#include <optional>
#include <vector>

#include "manifest_type.h"
#include "placement.h"

namespace plantain {

// One request for a chunk.
using FetchId = StrongNumber<struct FetchIdTag, uint64_t>;

// One manifest whose chunks are wanted.
struct PlanWant {
  std::shared_ptr<const Manifest> manifest;
  Digest digest;
  // All VMs that want it, this one included.
  std::vector<WeightPeer> peers;
  // Zone whose owners draw from the origin.
  ZoneName drawing_zone;
  bool is_hurried = false;
};

struct Fetch {
  FetchId id;
  Digest chunk;
  uint32_t size = 0;
  // The peer to ask; nothing stands for the origin.
  std::optional<VmId> peer;
  // Whether the chunk comes over the link between zones.
  bool is_shared = false;
  bool is_hurried = false;
};

// What the pace and the memory allow at this moment.
struct FetchAllowance {
  bool peers = true;
  bool origin = true;
  bool shared = true;
  // Bytes that can be kept beyond those already asked for.
  uint64_t room = UINT64_MAX;
};

enum class FetchFailure {
  // The bytes have another digest.
  kCorrupt,
  // The peer does not have the chunk.
  kMissing,
  // The peer has too many requests at present.
  kBusy,
  // The request was not sent, or the connection was lost.
  kLost,
};

// Settings of the plan.
struct PlanOptions {
  VmId self;
  ZoneName zone;
  // Time without progress after which another source or owner is tried.
  Duration hedge = std::chrono::seconds(1);
  // Chunks asked of peers at once. Fewer leave the receiving link idle while peers serve others.
  uint32_t max_in_flight = 8;
  // Chunks asked of one peer at once, unless there are few peers. More of them only wait in that peer's queue while
  // other peers' links are idle.
  uint32_t max_per_peer = 1;
  // Chunks asked of the origin at once by all owners of a zone together, but at least one by each.
  uint32_t max_origin = 24;
  // Chunks asked of other zones at once by all owners of a zone together, but at least one by each. More of them only
  // wait at the shared link.
  uint32_t max_shared = 12;
  // A zone of at most this many VMs forms a full mesh.
  size_t all_neighbours_below = 12;
  // Longest time for which the origin is left alone after failures.
  Duration max_origin_pause = std::chrono::minutes(1);
  // VMs of a zone among which chunks have their owners. With more of them the origin would serve so many requests at
  // once that no chunk arrives early; with fewer their links would limit the draw.
  size_t max_owners = 8;
};

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_PLAN_TYPE_H_
