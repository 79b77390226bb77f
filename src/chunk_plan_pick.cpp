// The part of ChunkPlan that selects the next fetch.

#include <algorithm>

#include "chunk_plan.h"

namespace plantain {
namespace {

// Owners of a higher rank wait no longer than this rank, so that a chunk is not missing for minutes in a large zone.
constexpr uint32_t kMaxWaitRank = 6;
// An owner outside the origin fetch zone falls back to the origin after this many hedge times without new chunks in
// other zones.
constexpr int kRemoteFallback = 4;
constexpr Duration kTakeoverPeriod = Milliseconds(50);
// Limit on duplicate requests in progress.
constexpr uint32_t kMaxHedges = 2;
// A request older than this multiple of the average duration is hedged, once no other chunk is left to request.
constexpr int kHedgeFactor = 2;
constexpr Duration kMinHedgeAge = Milliseconds(20);

}  // namespace

std::optional<Fetch> ChunkPlan::PickFetch(const FetchAllowance& allowance) {
  if (std::optional<Fetch> fetch = PickOwned(allowance)) return fetch;
  if (!allowance.peers || m_peer_fetches >= m_options.max_in_flight) return std::nullopt;
  if (std::optional<Fetch> fetch = PickFromPeers(allowance)) return fetch;
  return PickHedge(allowance);
}

void ChunkPlan::CheckTakeover() {
  const TimePoint now = m_clock.GetNow();
  if (now < m_next_takeover_check) return;
  m_next_takeover_check = now + kTakeoverPeriod;
  for (const size_t chunk : m_missing) {
    if (!m_chunks[chunk].is_owned && IsDue(chunk)) AddOwned(chunk);
  }
}

std::optional<Fetch> ChunkPlan::PickOwned(const FetchAllowance& allowance) {
  CheckTakeover();
  const std::vector<Source*> remote = allowance.shared ? GetOpenSources(false) : std::vector<Source*>();
  for (size_t i = 0; i < m_owned.size();) {
    const size_t index = m_owned[i];
    Chunk& chunk = m_chunks[index];
    const auto place = m_owned.begin() + static_cast<std::ptrdiff_t>(i);
    // A chunk that a peer in the zone has in the meantime is fetched from that peer.
    if (chunk.place == kNoPlace || HasUsableSource(index)) {
      chunk.is_owned = false;
      m_owned.erase(place);
      continue;
    }
    ++i;
    const bool is_origin_open = IsOriginOpen(chunk.want, allowance);
    if (!is_origin_open && remote.empty()) return std::nullopt;
    if (chunk.ref.size > allowance.room) continue;
    const bool is_shared_open = !chunk.is_drawn && m_shared_fetches < GetSharedWindow(chunk.want);
    Source* holder = is_shared_open ? FindHolder(index, remote) : nullptr;
    if (holder == nullptr && !(is_origin_open && (chunk.is_drawn || IsRemoteSilent()))) continue;
    chunk.is_owned = false;
    m_owned.erase(place);
    return Begin(index, holder, holder != nullptr);
  }
  return std::nullopt;
}

bool ChunkPlan::HasUsableSource(size_t chunk) const {
  if (m_chunks[chunk].sources == 0) return false;
  const TimePoint now = m_clock.GetNow();
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
    const Source& source = peer.second;
    return source.is_local && source.has[chunk] != 0 && now >= source.blocked_until;
  });
}

bool ChunkPlan::IsDue(size_t index) const {
  if (HasUsableSource(index)) return false;
  const Chunk& chunk = m_chunks[index];
  if (chunk.rank == 0) return true;
  // Owners queue at the origin, so a chunk is late only if no other new chunk has become available either.
  const TimePoint progress = std::max(m_started, m_last_new);
  return m_clock.GetNow() - progress > m_options.hedge * std::min(chunk.rank, kMaxWaitRank);
}

uint32_t ChunkPlan::GetOriginWindow(size_t want) const {
  return std::clamp<uint32_t>(m_options.max_origin / m_owner_counts[want], 1, m_options.max_in_flight);
}

ChunkPlan::Source* ChunkPlan::FindHolder(size_t chunk, const std::vector<Source*>& remote) const {
  const Chunk& wanted = m_chunks[chunk];
  const ZoneName& drawing_zone = m_wants[wanted.want].drawing_zone;
  const bool is_any = m_clock.GetNow() - wanted.remote_since > m_options.hedge;
  for (Source* source : remote) {
    if (source->has[chunk] == 0) continue;
    if (is_any || wanted.is_entry == (source->zone == drawing_zone)) return source;
  }
  return nullptr;
}

uint32_t ChunkPlan::GetSharedWindow(size_t want) const {
  return std::clamp<uint32_t>(m_options.max_shared / m_owner_counts[want], 1, m_options.max_in_flight);
}

bool ChunkPlan::IsOriginOpen(size_t want, const FetchAllowance& allowance) const {
  return allowance.origin && m_clock.GetNow() >= m_origin_blocked_until && m_origin_fetches < GetOriginWindow(want);
}

bool ChunkPlan::IsRemoteSilent() const {
  return m_clock.GetNow() - std::max(m_started, m_last_remote_gain) > m_options.hedge * kRemoteFallback;
}

bool ChunkPlan::IsOpen(const Source& source) const {
  return m_clock.GetNow() >= source.blocked_until && source.in_flight < GetPeerWindow();
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

std::optional<Fetch> ChunkPlan::PickFromPeers(const FetchAllowance& allowance) {
  if (m_missing.empty()) return std::nullopt;
  for (Source* source : GetOpenSources(true)) {
    const size_t chunk = FindRarest(*source, allowance.room);
    if (chunk != kNoPlace) return Begin(chunk, source, false);
  }
  return std::nullopt;
}

size_t ChunkPlan::FindRarest(const Source& source, uint64_t room) {
  size_t best = kNoPlace;
  std::pair<size_t, uint32_t> best_key;
  uint64_t ties = 0;
  for (const size_t index : m_missing) {
    if (source.has[index] == 0) continue;
    const Chunk& chunk = m_chunks[index];
    if (chunk.ref.size > room) continue;
    const std::pair<size_t, uint32_t> key(chunk.want, chunk.sources);
    if (best != kNoPlace && key > best_key) continue;
    if (best == kNoPlace || key < best_key) ties = 0;
    ++ties;
    // Selects at random among equally rare chunks, so that neighbours fetch different ones.
    if (ties == 1 || m_random.GetBelow(ties) == 0) best = index;
    best_key = key;
  }
  return best;
}

std::optional<Fetch> ChunkPlan::PickHedge(const FetchAllowance& allowance) {
  if (!m_missing.empty() || m_hedges >= kMaxHedges) return std::nullopt;
  const TimePoint now = m_clock.GetNow();
  const Duration age = std::max(kMinHedgeAge, m_typical * kHedgeFactor);
  for (const auto& [id, pending] : m_fetches) {
    const Chunk& chunk = m_chunks[pending.chunk];
    if (chunk.fetches > 1 || now - pending.start < age || chunk.ref.size > allowance.room) continue;
    for (Source* source : GetOpenSources(true)) {
      if (source->has[pending.chunk] == 0 || pending.fetch.peer == source->vm) continue;
      ++m_hedges;
      return Begin(pending.chunk, source, false);
    }
  }
  return std::nullopt;
}

Fetch ChunkPlan::Begin(size_t chunk, Source* source, bool is_shared) {
  Chunk& wanted = m_chunks[chunk];
  RemoveMissing(chunk);
  ++wanted.fetches;
  Fetch fetch;
  fetch.id = m_next_id;
  m_next_id = m_next_id.Next();
  fetch.chunk = wanted.ref.digest;
  fetch.size = wanted.ref.size;
  fetch.is_shared = is_shared;
  fetch.is_hurried = m_wants[wanted.want].is_hurried;
  if (source != nullptr) {
    fetch.peer = source->vm;
    ++source->in_flight;
    ++(is_shared ? m_shared_fetches : m_peer_fetches);
  } else {
    ++m_origin_fetches;
  }
  m_bytes_in_flight += fetch.size;
  const TimePoint now = m_clock.GetNow();
  m_fetches.emplace(fetch.id, Pending{fetch, chunk, now, now});
  return fetch;
}

}  // namespace plantain
