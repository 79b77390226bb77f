// Data types of the chunk plan.

#ifndef PLANTAIN_CHUNK_PLAN_TYPE_H_
#define PLANTAIN_CHUNK_PLAN_TYPE_H_

#include <memory>
#include <optional>
#include <vector>

#include "manifest_type.h"
#include "placement.h"

namespace plantain {

// Identifies one request for a chunk.
using FetchId = StrongNumber<struct FetchIdTag, uint64_t>;

// A manifest whose chunks are to be fetched.
struct WantedManifest {
  std::shared_ptr<const Manifest> manifest;
  Digest digest;
  // All VMs that want the manifest, including this one.
  std::vector<WeightPeer> peers;
  // Zone whose owners fetch from the origin.
  ZoneName origin_fetch_zone;
  bool is_urgent = false;
};

struct Fetch {
  FetchId id;
  Digest chunk;
  uint32_t size = 0;
  // The peer to fetch from; empty for the origin.
  std::optional<VmId> peer;
  // Whether the chunk comes over the link between zones.
  bool is_cross_zone = false;
  bool is_urgent = false;
};

// What the rate limits and the memory limit allow at present.
struct FetchAllowance {
  bool peers = true;
  bool origin = true;
  bool cross_zone = true;
  // Bytes that can be stored in addition to those already requested.
  uint64_t available_bytes = UINT64_MAX;
};

enum class FetchFailure {
  // The digest of the bytes does not match.
  kCorrupt,
  // The peer does not have the chunk.
  kMissing,
  // The peer refused the request because it has too many in progress.
  kBusy,
  // The request was not sent, or the connection was lost.
  kLost,
};

// Settings of the chunk plan.
struct ChunkPlanOptions {
  VmId self;
  ZoneName zone;
  // Time without progress after which another source or owner is tried; called the hedge time.
  Duration hedge_time = std::chrono::seconds(1);
  // Limit on chunks requested from peers at once. A lower one leaves the receiving link idle while peers serve others.
  uint32_t max_in_flight = 8;
  // Limit on chunks requested from one peer at once, unless there are few peers. Further requests would only wait in
  // that peer's queue while the links of other peers are idle.
  uint32_t max_per_peer = 1;
  // Limit on chunks requested from the origin at once by all owners of a zone together; each may request at least one.
  uint32_t max_origin = 24;
  // Limit on chunks requested from other zones at once by all owners of a zone together; each may request at least one.
  // Further requests would only wait for the shared link.
  uint32_t max_cross_zone = 12;
  // In a zone of at most this many VMs, every VM uses every other one as a source (full mesh).
  size_t full_mesh_max_vms = 12;
  // Longest back-off from the origin after failures.
  Duration max_origin_backoff = std::chrono::minutes(1);
  // Number of VMs per zone that own chunks. With more owners the origin serves so many requests at once that no chunk
  // arrives early; with fewer their links limit the rate of fetches from the origin.
  size_t max_owners = 8;
};

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_PLAN_TYPE_H_
