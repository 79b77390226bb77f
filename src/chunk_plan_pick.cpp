// The part of ChunkPlan that selects the next fetch.

#include <algorithm>

#include "chunk_plan.h"

namespace plantain {
namespace {

// Owners of a higher rank wait no longer than this rank, so that a chunk is not missing for minutes in a large zone.
constexpr uint32_t kMaxWaitRank = 6;
// An owner outside the origin fetch zone falls back to the origin after this many hedge times without new chunks in
// other zones.
constexpr int kOriginFallbackFactor = 4;
constexpr Duration kTakeoverPeriod = Milliseconds(50);
// Limit on duplicate requests in progress.
constexpr uint32_t kMaxHedges = 2;
// A request older than this multiple of the average duration is hedged, once no other chunk is left to request.
constexpr int kHedgeFactor = 2;
constexpr Duration kMinHedgeAge = Milliseconds(20);

}  // namespace

std::optional<Fetch> ChunkPlan::StartNextFetch(const FetchAllowance& allowance) {
  if (std::optional<Fetch> fetch = StartOwnedFetch(allowance)) return fetch;
  if (!allowance.peers || m_peer_fetches >= m_options.max_in_flight) return std::nullopt;
  if (std::optional<Fetch> fetch = StartPeerFetch(allowance)) return fetch;
  return StartHedge(allowance);
}

void ChunkPlan::CheckTakeover() {
  const TimePoint now = m_clock.GetNow();
  if (now < m_next_takeover_check) return;
  m_next_takeover_check = now + kTakeoverPeriod;
  for (const size_t chunk : m_missing) {
    if (!m_chunks[chunk].is_owned && IsTakeoverDue(chunk)) AddOwned(chunk);
  }
}

std::optional<Fetch> ChunkPlan::StartOwnedFetch(const FetchAllowance& allowance) {
  CheckTakeover();
  const std::vector<Source*> remote = allowance.cross_zone ? GetOpenSources(false) : std::vector<Source*>();
  for (size_t i = 0; i < m_owned.size();) {
    const size_t index = m_owned[i];
    Chunk& chunk = m_chunks[index];
    const auto position = m_owned.begin() + static_cast<std::ptrdiff_t>(i);
    // A chunk that a peer in the zone has in the meantime is fetched from that peer.
    if (chunk.position == kNoPosition || HasUsableSource(index)) {
      chunk.is_owned = false;
      m_owned.erase(position);
      continue;
    }
    ++i;
    const bool is_origin_open = IsOriginOpen(chunk.manifest_index, allowance);
    if (!is_origin_open && remote.empty()) return std::nullopt;
    if (chunk.ref.size > allowance.available_bytes) continue;
    const bool is_cross_zone_open =
        !chunk.is_fetched_from_origin && m_cross_zone_fetches < GetCrossZoneWindow(chunk.manifest_index);
    Source* remote_source = is_cross_zone_open ? FindRemoteSource(index, remote) : nullptr;
    if (remote_source == nullptr && !(is_origin_open && (chunk.is_fetched_from_origin || IsRemoteStalled()))) continue;
    chunk.is_owned = false;
    m_owned.erase(position);
    return StartFetch(index, remote_source, remote_source != nullptr);
  }
  return std::nullopt;
}

bool ChunkPlan::HasUsableSource(size_t chunk) const {
  if (m_chunks[chunk].sources == 0) return false;
  const TimePoint now = m_clock.GetNow();
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
    const Source& source = peer.second;
    return source.is_local && source.has_chunk[chunk] != 0 && now >= source.excluded_until;
  });
}

bool ChunkPlan::IsTakeoverDue(size_t index) const {
  if (HasUsableSource(index)) return false;
  const Chunk& chunk = m_chunks[index];
  if (chunk.rank == 0) return true;
  // Owners queue at the origin, so a chunk is late only if no other new chunk has become available either.
  const TimePoint progress = std::max(m_started, m_last_local_gain);
  return m_clock.GetNow() - progress > m_options.hedge_time * std::min(chunk.rank, kMaxWaitRank);
}

uint32_t ChunkPlan::GetOriginWindow(size_t manifest_index) const {
  return std::clamp<uint32_t>(m_options.max_origin / m_owner_counts[manifest_index], 1, m_options.max_in_flight);
}

ChunkPlan::Source* ChunkPlan::FindRemoteSource(size_t chunk, const std::vector<Source*>& remote) const {
  const Chunk& wanted = m_chunks[chunk];
  const ZoneName& origin_fetch_zone = m_wanted_manifests[wanted.manifest_index].origin_fetch_zone;
  const bool is_any = m_clock.GetNow() - wanted.remotely_available_since > m_options.hedge_time;
  for (Source* source : remote) {
    if (source->has_chunk[chunk] == 0) continue;
    if (is_any || wanted.is_ring_entry == (source->zone == origin_fetch_zone)) return source;
  }
  return nullptr;
}

uint32_t ChunkPlan::GetCrossZoneWindow(size_t manifest_index) const {
  return std::clamp<uint32_t>(m_options.max_cross_zone / m_owner_counts[manifest_index], 1, m_options.max_in_flight);
}

bool ChunkPlan::IsOriginOpen(size_t manifest_index, const FetchAllowance& allowance) const {
  return allowance.origin && m_clock.GetNow() >= m_origin_backoff_until &&
         m_origin_fetches < GetOriginWindow(manifest_index);
}

bool ChunkPlan::IsRemoteStalled() const {
  return m_clock.GetNow() - std::max(m_started, m_last_remote_gain) > m_options.hedge_time * kOriginFallbackFactor;
}

bool ChunkPlan::IsOpen(const Source& source) const {
  return m_clock.GetNow() >= source.excluded_until && source.in_flight < GetPeerWindow();
}

uint32_t ChunkPlan::GetPeerWindow() const {
  const auto count = static_cast<uint32_t>(std::max<size_t>(1, m_peers.size()));
  return std::max(m_options.max_per_peer, (m_options.max_in_flight + count - 1) / count);
}

std::vector<ChunkPlan::Source*> ChunkPlan::GetOpenSources(bool is_local) {
  std::vector<Source*> open;
  for (auto& [vm, source] : m_peers) {
    if (source.is_local == is_local && IsOpen(source)) open.push_back(&source);
  }
  for (size_t i = open.size(); i > 1; --i) std::swap(open[i - 1], open[m_random.GetBelow(i)]);
  std::stable_sort(open.begin(), open.end(),
                   [](const Source* a, const Source* b) { return a->in_flight < b->in_flight; });
  return open;
}

std::optional<Fetch> ChunkPlan::StartPeerFetch(const FetchAllowance& allowance) {
  if (m_missing.empty()) return std::nullopt;
  for (Source* source : GetOpenSources(true)) {
    const size_t chunk = FindRarest(*source, allowance.available_bytes);
    if (chunk != kNoPosition) return StartFetch(chunk, source, false);
  }
  return std::nullopt;
}

size_t ChunkPlan::FindRarest(const Source& source, uint64_t available_bytes) {
  size_t best = kNoPosition;
  std::pair<size_t, uint32_t> best_key;
  uint64_t ties = 0;
  for (const size_t index : m_missing) {
    if (source.has_chunk[index] == 0) continue;
    const Chunk& chunk = m_chunks[index];
    if (chunk.ref.size > available_bytes) continue;
    const std::pair<size_t, uint32_t> key(chunk.manifest_index, chunk.sources);
    if (best != kNoPosition && key > best_key) continue;
    if (best == kNoPosition || key < best_key) ties = 0;
    ++ties;
    // Selects at random among equally rare chunks, so that neighbours fetch different ones.
    if (ties == 1 || m_random.GetBelow(ties) == 0) best = index;
    best_key = key;
  }
  return best;
}

std::optional<Fetch> ChunkPlan::StartHedge(const FetchAllowance& allowance) {
  if (!m_missing.empty() || m_hedges >= kMaxHedges) return std::nullopt;
  const TimePoint now = m_clock.GetNow();
  const Duration age = std::max(kMinHedgeAge, m_mean_duration * kHedgeFactor);
  for (const auto& [id, pending] : m_fetches) {
    const Chunk& chunk = m_chunks[pending.chunk];
    if (chunk.fetches > 1 || now - pending.start < age || chunk.ref.size > allowance.available_bytes) continue;
    for (Source* source : GetOpenSources(true)) {
      if (source->has_chunk[pending.chunk] == 0 || pending.fetch.peer == source->vm) continue;
      ++m_hedges;
      return StartFetch(pending.chunk, source, false);
    }
  }
  return std::nullopt;
}

Fetch ChunkPlan::StartFetch(size_t chunk, Source* source, bool is_cross_zone) {
  Chunk& wanted = m_chunks[chunk];
  RemoveMissing(chunk);
  ++wanted.fetches;
  Fetch fetch;
  fetch.id = m_next_id;
  m_next_id = m_next_id.Next();
  fetch.chunk = wanted.ref.digest;
  fetch.size = wanted.ref.size;
  fetch.is_cross_zone = is_cross_zone;
  fetch.is_urgent = m_wanted_manifests[wanted.manifest_index].is_urgent;
  if (source != nullptr) {
    fetch.peer = source->vm;
    ++source->in_flight;
    ++(is_cross_zone ? m_cross_zone_fetches : m_peer_fetches);
  } else {
    ++m_origin_fetches;
  }
  m_bytes_in_flight += fetch.size;
  const TimePoint now = m_clock.GetNow();
  m_fetches.emplace(fetch.id, Pending{fetch, chunk, now, now});
  return fetch;
}

}  // namespace plantain
