// Schedules chunk fetches: decides which chunk to fetch next and from which source. Does no I/O.

#ifndef PLANTAIN_CHUNK_PLAN_H_
#define PLANTAIN_CHUNK_PLAN_H_

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "chunk_plan_type.h"
#include "clock.h"
#include "random.h"

namespace plantain {

// Tracks the wanted chunks and the sources that have them. Each chunk has one owner per zone. Owners in the origin
// fetch zone fetch from the origin, owners in other zones fetch from a peer in another zone, and all other VMs fetch
// from peers in their own zone, rarest chunk first.
class ChunkPlan {
 public:
  ChunkPlan(const Clock& clock, Random& random, ChunkPlanOptions options);

  // Replaces the wanted manifests, given in the order in which they are needed. Returns the fetches in progress that
  // are no longer wanted and must be cancelled.
  std::vector<Fetch> SetWants(std::vector<WantedManifest> wanted_manifests);

  // Records that a verified chunk is stored on this VM or staged in the engine, so that it is not fetched.
  void MarkAvailable(const Digest& chunk);
  // Records that a chunk is no longer stored or staged.
  void MarkMissing(const Digest& chunk);
  bool IsAvailable(const Digest& chunk) const { return m_available.contains(chunk); }

  // Returns the peers whose chunk lists this VM needs. Their number is bounded regardless of the size of the zone.
  const std::vector<WeightPeer>& GetSources() const { return m_sources; }

  // Records chunks that a peer has: as a bit map, or as the indices of chunks that it has gained.
  void OnHaveMap(const VmId& peer, const Digest& manifest, const std::vector<bool>& bits);
  void OnHaveDelta(const VmId& peer, const Digest& manifest, const std::vector<uint32_t>& indices);

  // Starts the next fetch and returns it, or returns nothing if no fetch is possible at present.
  std::optional<Fetch> StartNextFetch(const FetchAllowance& allowance);

  // Ends a fetch whose chunk has been verified. Returns other fetches of the same chunk, to be cancelled.
  std::vector<Fetch> OnVerified(FetchId id);
  // Ends a failed fetch. Its chunk can be fetched again.
  void OnFailed(FetchId id, FetchFailure failure);
  // Records that bytes of a fetch have arrived.
  void OnBytesReceived(FetchId id);

  // Ends fetches without progress within the stall limit and returns them, to be cancelled. Excludes their sources for
  // a time.
  std::vector<Fetch> ExpireStalledFetches();

  bool IsComplete() const { return m_missing.empty() && m_fetches.empty(); }
  uint64_t GetBytesInFlight() const { return m_bytes_in_flight; }
  // Number of peers excluded so far, for metrics.
  uint64_t GetExclusions() const { return m_exclusions; }

 private:
  struct Chunk {
    ChunkRef ref;
    uint64_t hash = 0;
    size_t manifest_index = 0;
    // This VM's rank among the owners of its zone.
    uint32_t rank = 0;
    // Whether this zone fetches the chunk from the origin.
    bool is_fetched_from_origin = false;
    // Whether this zone gets the chunk from the origin fetch zone rather than from the previous zone in the ring.
    bool is_ring_entry = false;
    // Time at which a peer in another zone was first known to have the chunk.
    TimePoint remotely_available_since;
    // Whether the chunk is in `m_owned`.
    bool is_owned = false;
    // Known peers in this zone that have the chunk.
    uint32_t sources = 0;
    uint32_t fetches = 0;
    // Index in `m_missing`, or `kNoPosition`.
    size_t position = kNoPosition;
  };

  struct Source {
    VmId vm;
    bool is_local = false;
    ZoneName zone;
    std::map<Digest, std::vector<bool>> have_maps;
    // Non-zero for chunks that the source has, by index in `m_chunks`.
    std::vector<char> has_chunk;
    uint32_t in_flight = 0;
    TimePoint excluded_until;
    TimePoint progress;
    uint32_t failure_count = 0;
  };

  struct Pending {
    Fetch fetch;
    size_t chunk = 0;
    TimePoint start;
    TimePoint progress;
  };

  static constexpr size_t kNoPosition = SIZE_MAX;

  void BuildChunks();
  void RankChunks(size_t manifest_index, const std::vector<size_t>& chunks);
  void BuildSources();
  void RebuildSourceChunks(Source& source);
  void AddSourceChunk(Source& source, size_t chunk);
  std::vector<size_t> GetManifestChunks(size_t manifest_index) const;

  void AddOwned(size_t chunk);
  void AddMissing(size_t chunk);
  void RemoveMissing(size_t chunk);

  void CheckTakeover();
  std::optional<Fetch> StartOwnedFetch(const FetchAllowance& allowance);
  Source* FindRemoteSource(size_t chunk, const std::vector<Source*>& remote) const;
  bool IsOriginOpen(size_t manifest_index, const FetchAllowance& allowance) const;
  std::optional<Fetch> StartPeerFetch(const FetchAllowance& allowance);
  std::optional<Fetch> StartHedge(const FetchAllowance& allowance);
  size_t FindRarest(const Source& source, uint64_t available_bytes);
  std::vector<Source*> GetOpenSources(bool is_local);
  bool IsOpen(const Source& source) const;
  uint32_t GetPeerWindow() const;
  // Returns whether a peer in this zone has the chunk and is not excluded at present.
  bool HasUsableSource(size_t chunk) const;
  bool IsTakeoverDue(size_t chunk) const;
  bool IsRemoteStalled() const;
  uint32_t GetOriginWindow(size_t manifest_index) const;
  uint32_t GetCrossZoneWindow(size_t manifest_index) const;

  Fetch StartFetch(size_t chunk, Source* source, bool is_cross_zone);
  void EndFetch(std::map<FetchId, Pending>::iterator pending);
  void ExcludeSource(Source& source, Duration base);
  void UpdateMeanDuration(Duration duration);
  Duration GetStallLimit() const;

  const Clock& m_clock;
  Random& m_random;
  const ChunkPlanOptions m_options;
  std::vector<WantedManifest> m_wanted_manifests;
  std::vector<Chunk> m_chunks;
  std::unordered_map<Digest, size_t> m_index;
  std::unordered_set<Digest> m_available;
  // Chunks neither held nor being fetched.
  std::vector<size_t> m_missing;
  // Chunks that this VM owns or has taken over from their owner, in fetch order.
  std::vector<size_t> m_owned;
  // Number of owners in this zone, by index in `m_wanted_manifests`.
  std::vector<uint32_t> m_owner_counts;
  std::vector<WeightPeer> m_sources;
  std::map<VmId, Source> m_peers;
  std::map<FetchId, Pending> m_fetches;
  FetchId m_next_id{1};
  uint64_t m_bytes_in_flight = 0;
  uint32_t m_peer_fetches = 0;
  uint32_t m_origin_fetches = 0;
  uint32_t m_cross_zone_fetches = 0;
  uint32_t m_hedges = 0;
  TimePoint m_started;
  // Last time at which a chunk first became available from a peer in this zone.
  TimePoint m_last_local_gain;
  TimePoint m_last_remote_gain;
  TimePoint m_origin_backoff_until;
  uint32_t m_origin_failure_count = 0;
  TimePoint m_next_takeover_check;
  // Moving average of the time from the request to the verified chunk.
  Duration m_mean_duration{};
  uint64_t m_exclusions = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_PLAN_H_
