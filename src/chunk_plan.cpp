#include "chunk_plan.h"

#include <algorithm>

#include "chunk_peers.h"
#include "rendezvous.h"

namespace plantain {
namespace {

// Exclusion time of a peer after a stall and after corrupt bytes, in multiples of the hedge time. Doubles with each
// repeated failure. The first corrupt chunk excludes the peer only briefly, since link faults can affect any peer.
constexpr int kStallExclusion = 2;
constexpr int kCorruptExclusion = 1;
constexpr uint32_t kMaxBackoffExponent = 5;
constexpr uint32_t kOriginCorruptLimit = 3;
constexpr int kBusyExclusionDivisor = 20;
// The origin and the link between zones serve many owners at a limited rate, so their stall limit is longer.
constexpr int kSlowStallFactor = 4;
constexpr int kStallFactor = 4;
constexpr int kDurationSmoothing = 8;

}  // namespace

ChunkPlan::ChunkPlan(const Clock& clock, Random& random, ChunkPlanOptions options)
    : m_clock(clock), m_random(random), m_options(std::move(options)) {}

std::vector<Fetch> ChunkPlan::SetWants(std::vector<WantedManifest> wanted_manifests) {
  const TimePoint now = m_clock.GetNow();
  if (m_wanted_manifests.empty()) m_started = m_last_local_gain = m_last_remote_gain = now;
  m_wanted_manifests = std::move(wanted_manifests);
  BuildChunks();
  BuildSources();
  std::vector<Fetch> cancelled;
  for (auto pending = m_fetches.begin(); pending != m_fetches.end();) {
    const auto current = pending++;
    const auto found = m_index.find(current->second.fetch.chunk);
    const bool has_source = !current->second.fetch.peer.has_value() || m_peers.contains(*current->second.fetch.peer);
    if (found != m_index.end() && has_source) {
      current->second.chunk = found->second;
      ++m_chunks[found->second].fetches;
      RemoveMissing(found->second);
      continue;
    }
    cancelled.push_back(current->second.fetch);
    current->second.chunk = kNoPosition;
    EndFetch(current);
  }
  return cancelled;
}

void ChunkPlan::BuildChunks() {
  m_chunks.clear();
  m_index.clear();
  m_missing.clear();
  m_owned.clear();
  m_owner_counts.assign(m_wanted_manifests.size(), 0);
  for (size_t manifest_index = 0; manifest_index < m_wanted_manifests.size(); ++manifest_index) {
    std::vector<size_t> added;
    for (const ChunkRef& ref : m_wanted_manifests[manifest_index].manifest->chunks) {
      if (!m_index.try_emplace(ref.digest, m_chunks.size()).second) continue;
      added.push_back(m_chunks.size());
      Chunk chunk;
      chunk.ref = ref;
      chunk.hash = HashName(ref.digest.Get());
      chunk.manifest_index = manifest_index;
      m_chunks.push_back(std::move(chunk));
    }
    RankChunks(manifest_index, added);
  }
  for (size_t i = 0; i < m_chunks.size(); ++i) {
    if (!m_available.contains(m_chunks[i].ref.digest)) AddMissing(i);
  }
  // Each VM fetches its chunks in its own random order, so that the zone does not wait for the same chunks.
  for (size_t i = m_owned.size(); i > 1; --i) std::swap(m_owned[i - 1], m_owned[m_random.GetBelow(i)]);
  std::stable_sort(m_owned.begin(), m_owned.end(),
                   [this](size_t a, size_t b) { return m_chunks[a].manifest_index < m_chunks[b].manifest_index; });
}

void ChunkPlan::RankChunks(size_t manifest_index, const std::vector<size_t>& chunks) {
  const std::vector<WeightPeer> owners = PickOwners(m_options, m_wanted_manifests[manifest_index], m_options.zone);
  std::vector<uint64_t> hashes;
  size_t self = owners.size();
  for (size_t i = 0; i < owners.size(); ++i) {
    if (owners[i].vm == m_options.self) self = i;
    hashes.push_back(HashName(owners[i].vm.Get()));
  }
  m_owner_counts[manifest_index] = static_cast<uint32_t>(std::max<size_t>(1, owners.size()));
  const ZoneRing ring = GetZoneRing(m_options, m_wanted_manifests[manifest_index]);
  for (const size_t index : chunks) {
    Chunk& chunk = m_chunks[index];
    chunk.is_ring_entry = ring.IsRingEntry(chunk.hash);
    chunk.is_fetched_from_origin = m_wanted_manifests[manifest_index].origin_fetch_zone == m_options.zone;
    // VMs that are not owners rank after all owners.
    chunk.rank = self == owners.size() ? m_owner_counts[manifest_index] : RankOwner(chunk.hash, hashes, self).rank;
    if (chunk.rank == 0) AddOwned(index);
  }
}

std::vector<size_t> ChunkPlan::GetManifestChunks(size_t manifest_index) const {
  std::vector<size_t> chunks;
  chunks.reserve(m_wanted_manifests[manifest_index].manifest->chunks.size());
  for (const ChunkRef& ref : m_wanted_manifests[manifest_index].manifest->chunks)
    chunks.push_back(m_index.find(ref.digest)->second);
  return chunks;
}

void ChunkPlan::BuildSources() {
  std::map<VmId, WeightPeer> chosen;
  for (size_t manifest_index = 0; manifest_index < m_wanted_manifests.size(); ++manifest_index) {
    for (const WeightPeer& peer : PickChunkPeers(m_options, m_wanted_manifests[manifest_index]))
      chosen.emplace(peer.vm, peer);
  }
  chosen.erase(m_options.self);
  m_sources.clear();
  std::map<VmId, Source> peers;
  for (const auto& [vm, peer] : chosen) {
    m_sources.push_back(peer);
    Source source;
    const auto known = m_peers.find(vm);
    if (known != m_peers.end()) source = std::move(known->second);
    source.vm = vm;
    source.zone = peer.zone;
    source.is_local = peer.zone == m_options.zone;
    peers.emplace(vm, std::move(source));
  }
  m_peers = std::move(peers);
  for (auto& [vm, source] : m_peers) RebuildSourceChunks(source);
}

void ChunkPlan::RebuildSourceChunks(Source& source) {
  source.has_chunk.assign(m_chunks.size(), 0);
  for (size_t manifest_index = 0; manifest_index < m_wanted_manifests.size(); ++manifest_index) {
    const auto found = source.have_maps.find(m_wanted_manifests[manifest_index].manifest->digest);
    if (found == source.have_maps.end()) continue;
    const std::vector<size_t> chunks = GetManifestChunks(manifest_index);
    for (size_t i = 0; i < chunks.size() && i < found->second.size(); ++i) {
      if (found->second[i]) AddSourceChunk(source, chunks[i]);
    }
  }
}

void ChunkPlan::AddSourceChunk(Source& source, size_t chunk) {
  if (source.has_chunk[chunk] != 0) return;
  source.has_chunk[chunk] = 1;
  if (source.is_local) ++m_chunks[chunk].sources;
  if (!source.is_local && m_chunks[chunk].remotely_available_since == TimePoint())
    m_chunks[chunk].remotely_available_since = m_clock.GetNow();
}

void ChunkPlan::OnHaveMap(const VmId& peer, const Digest& manifest, const std::vector<bool>& bits) {
  std::vector<uint32_t> indices;
  for (size_t i = 0; i < bits.size(); ++i) {
    if (bits[i]) indices.push_back(static_cast<uint32_t>(i));
  }
  OnHaveDelta(peer, manifest, indices);
}

void ChunkPlan::OnHaveDelta(const VmId& peer, const Digest& manifest, const std::vector<uint32_t>& indices) {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) return;
  Source& source = found->second;
  for (size_t manifest_index = 0; manifest_index < m_wanted_manifests.size(); ++manifest_index) {
    const Manifest& known = *m_wanted_manifests[manifest_index].manifest;
    if (known.digest != manifest) continue;
    std::vector<bool>& have = source.have_maps[manifest];
    have.resize(known.chunks.size(), false);
    for (const uint32_t index : indices) {
      if (index >= known.chunks.size() || have[index]) continue;
      have[index] = true;
      const size_t chunk = m_index.find(known.chunks[index].digest)->second;
      const TimePoint now = m_clock.GetNow();
      if (!source.is_local) m_last_remote_gain = now;
      if (source.is_local && m_chunks[chunk].sources == 0) m_last_local_gain = now;
      AddSourceChunk(source, chunk);
    }
  }
}

void ChunkPlan::MarkAvailable(const Digest& chunk) {
  if (!m_available.insert(chunk).second) return;
  const auto found = m_index.find(chunk);
  if (found != m_index.end()) RemoveMissing(found->second);
}

void ChunkPlan::MarkMissing(const Digest& chunk) {
  if (m_available.erase(chunk) == 0) return;
  const auto found = m_index.find(chunk);
  if (found == m_index.end()) return;
  if (m_chunks[found->second].fetches == 0) AddMissing(found->second);
  if (m_chunks[found->second].rank == 0) AddOwned(found->second);
}

void ChunkPlan::AddOwned(size_t chunk) {
  if (m_chunks[chunk].is_owned) return;
  m_chunks[chunk].is_owned = true;
  m_owned.push_back(chunk);
}

void ChunkPlan::AddMissing(size_t chunk) {
  if (m_chunks[chunk].position != kNoPosition) return;
  m_chunks[chunk].position = m_missing.size();
  m_missing.push_back(chunk);
}

void ChunkPlan::RemoveMissing(size_t chunk) {
  const size_t position = m_chunks[chunk].position;
  if (position == kNoPosition) return;
  m_missing[position] = m_missing.back();
  m_chunks[m_missing[position]].position = position;
  m_missing.pop_back();
  m_chunks[chunk].position = kNoPosition;
}

void ChunkPlan::EndFetch(std::map<FetchId, Pending>::iterator pending) {
  const Pending& ended = pending->second;
  m_bytes_in_flight -= ended.fetch.size;
  if (ended.fetch.peer.has_value()) {
    --(ended.fetch.is_cross_zone ? m_cross_zone_fetches : m_peer_fetches);
    const auto source = m_peers.find(*ended.fetch.peer);
    if (source != m_peers.end() && source->second.in_flight > 0) --source->second.in_flight;
  } else {
    --m_origin_fetches;
  }
  if (ended.chunk != kNoPosition) {
    Chunk& chunk = m_chunks[ended.chunk];
    if (chunk.fetches > 1 && m_hedges > 0) --m_hedges;
    --chunk.fetches;
    if (chunk.fetches == 0 && !m_available.contains(chunk.ref.digest)) AddMissing(ended.chunk);
  }
  m_fetches.erase(pending);
}

std::vector<Fetch> ChunkPlan::OnVerified(FetchId id) {
  std::vector<Fetch> cancelled;
  const auto pending = m_fetches.find(id);
  if (pending == m_fetches.end()) return cancelled;
  const TimePoint now = m_clock.GetNow();
  const size_t chunk = pending->second.chunk;
  if (pending->second.fetch.peer.has_value()) {
    if (!pending->second.fetch.is_cross_zone) UpdateMeanDuration(now - pending->second.start);
    const auto source = m_peers.find(*pending->second.fetch.peer);
    if (source != m_peers.end()) {
      source->second.progress = now;
      if (source->second.failure_count > 0) --source->second.failure_count;
    }
  } else {
    m_origin_failure_count = 0;
  }
  MarkAvailable(m_chunks[chunk].ref.digest);
  EndFetch(pending);
  for (auto other = m_fetches.begin(); other != m_fetches.end();) {
    const auto current = other++;
    if (current->second.chunk != chunk) continue;
    cancelled.push_back(current->second.fetch);
    EndFetch(current);
  }
  return cancelled;
}

void ChunkPlan::OnFailed(FetchId id, FetchFailure failure) {
  const auto pending = m_fetches.find(id);
  if (pending == m_fetches.end()) return;
  const size_t chunk = pending->second.chunk;
  if (!pending->second.fetch.peer.has_value()) {
    ++m_origin_failure_count;
    // A single corrupt chunk does not show that the origin as a whole is faulty.
    if (failure != FetchFailure::kCorrupt || m_origin_failure_count > kOriginCorruptLimit) {
      const uint32_t factor = 1U << std::min(m_origin_failure_count, kMaxBackoffExponent);
      m_origin_backoff_until =
          m_clock.GetNow() + std::min<Duration>(m_options.max_origin_backoff, m_options.hedge_time * factor / 2);
    }
    EndFetch(pending);
    AddOwned(chunk);
    return;
  }
  const auto found = m_peers.find(*pending->second.fetch.peer);
  EndFetch(pending);
  if (m_chunks[chunk].rank == 0) AddOwned(chunk);
  if (found == m_peers.end()) return;
  Source& source = found->second;
  switch (failure) {
    case FetchFailure::kCorrupt:
      ExcludeSource(source, m_options.hedge_time * kCorruptExclusion);
      break;
    case FetchFailure::kLost:
      ExcludeSource(source, m_options.hedge_time);
      break;
    case FetchFailure::kBusy:
      source.excluded_until = m_clock.GetNow() + m_options.hedge_time / kBusyExclusionDivisor;
      break;
    case FetchFailure::kMissing:
      if (source.has_chunk[chunk] != 0 && source.is_local) --m_chunks[chunk].sources;
      source.has_chunk[chunk] = 0;
      break;
  }
}

void ChunkPlan::OnBytesReceived(FetchId id) {
  const auto pending = m_fetches.find(id);
  if (pending != m_fetches.end()) pending->second.progress = m_clock.GetNow();
}

void ChunkPlan::ExcludeSource(Source& source, Duration base) {
  ++m_exclusions;
  source.excluded_until = m_clock.GetNow() + base * (1U << std::min(source.failure_count, kMaxBackoffExponent));
  ++source.failure_count;
}

void ChunkPlan::UpdateMeanDuration(Duration duration) {
  m_mean_duration = m_mean_duration == Duration::zero()
                        ? duration
                        : m_mean_duration + (duration - m_mean_duration) / kDurationSmoothing;
}

Duration ChunkPlan::GetStallLimit() const { return std::max(m_options.hedge_time, m_mean_duration * kStallFactor); }

std::vector<Fetch> ChunkPlan::ExpireStalledFetches() {
  const TimePoint now = m_clock.GetNow();
  std::vector<Fetch> expired;
  std::set<VmId> stalled;
  for (const auto& [id, pending] : m_fetches) {
    if (!pending.fetch.peer.has_value()) {
      if (now - pending.progress > GetStallLimit() * kSlowStallFactor) expired.push_back(pending.fetch);
      continue;
    }
    const auto source = m_peers.find(*pending.fetch.peer);
    const TimePoint progress =
        source == m_peers.end() ? pending.progress : std::max(pending.progress, source->second.progress);
    const int factor = pending.fetch.is_cross_zone ? kSlowStallFactor : 1;
    if (now - progress > GetStallLimit() * factor) stalled.insert(*pending.fetch.peer);
  }
  for (const auto& [id, pending] : m_fetches) {
    if (pending.fetch.peer.has_value() && stalled.contains(*pending.fetch.peer)) expired.push_back(pending.fetch);
  }
  for (const Fetch& fetch : expired) OnFailed(fetch.id, FetchFailure::kBusy);
  for (const VmId& vm : stalled) {
    const auto source = m_peers.find(vm);
    if (source != m_peers.end()) ExcludeSource(source->second, m_options.hedge_time * kStallExclusion);
  }
  return expired;
}

}  // namespace plantain
