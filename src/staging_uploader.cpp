#include "staging_uploader.h"

#include "manifest_func.h"

namespace plantain {
namespace {

// Maximum concurrent chunk uploads; enough to hide the response time of an engine on the same host.
constexpr size_t kMaxConcurrentUploads = 4;
constexpr Duration kRetryDelay = Milliseconds(200);

}  // namespace

StagingUploader::StagingUploader(Loop& loop, StagingArea& sink, ChunkStore& store, const ManifestIndex& manifest_index,
                                 std::function<void(const Digest& chunk)> on_staged)
    : m_loop(loop), m_sink(sink), m_store(store), m_manifest_index(manifest_index), m_on_staged(std::move(on_staged)) {}

StagingUploader::~StagingUploader() = default;

void StagingUploader::Stop() {
  ++m_epoch;
  m_retry_timer.reset();
}

void StagingUploader::SetState(const StagingState& state) {
  const bool is_same = state.target == m_state.target && state.incarnation == m_state.incarnation;
  // The engine cleared its staging area without a restart, for example because another manifest was uploaded.
  const bool is_staging_lost = is_same && m_is_manifest_uploaded && m_in_flight.empty() &&
                               state.staged_manifest != state.target && m_state.staged_manifest == state.target;
  m_state = state;
  if (!is_same || is_staging_lost) Reset();
  ApplyReport();
  StartUploads();
}

void StagingUploader::Reset() {
  ++m_epoch;
  m_manifest.reset();
  m_is_manifest_uploaded = false;
  m_is_manifest_in_flight = false;
  m_staged.clear();
  m_staged_count = 0;
  m_in_flight.clear();
  m_pending.clear();
}

void StagingUploader::ApplyReport() {
  if (m_state.target.IsEmpty()) return;
  if (m_manifest == nullptr) {
    m_manifest = m_manifest_index.Find(m_state.target);
    if (m_manifest == nullptr) return;
    m_staged.assign(m_manifest->chunks.size(), false);
    for (uint32_t i = 0; i < m_staged.size(); ++i) {
      if (m_store.Has(m_manifest->chunks[i].digest)) m_pending.push_back(i);
    }
  }
  if (m_state.staged_manifest != m_state.target) return;
  m_is_manifest_uploaded = true;
  const std::vector<bool> bits = UnpackBits(m_state.staged_bits, m_staged.size());
  for (uint32_t i = 0; i < bits.size(); ++i) {
    if (bits[i]) MarkStaged(i);
  }
}

bool StagingUploader::IsComplete() const { return m_manifest != nullptr && m_staged_count == m_staged.size(); }

bool StagingUploader::IsChunkStaged(const Digest& chunk) const {
  bool is_found = false;
  for (const ChunkPosition& place : m_manifest_index.FindPositions(chunk)) {
    if (place.manifest != m_state.target || m_manifest == nullptr) continue;
    if (!m_staged[place.index]) return false;
    is_found = true;
  }
  return is_found;
}

void StagingUploader::StartUploads() {
  if (m_state.target.IsEmpty() || m_retry_timer != nullptr) return;
  if (m_manifest == nullptr) ApplyReport();
  if (m_manifest == nullptr) return;
  if (!m_is_manifest_uploaded) {
    PutManifest();
    return;
  }
  while (!m_pending.empty() && m_in_flight.size() < kMaxConcurrentUploads) {
    const uint32_t index = m_pending.front();
    m_pending.pop_front();
    const bool is_done = m_staged[index] || m_in_flight.contains(index);
    if (!is_done && m_store.Has(m_manifest->chunks[index].digest)) PutChunk(index);
  }
}

void StagingUploader::OnChunkStored(const Digest& chunk) {
  if (m_manifest == nullptr) return;
  for (const ChunkPosition& place : m_manifest_index.FindPositions(chunk)) {
    if (place.manifest == m_state.target) m_pending.push_back(place.index);
  }
  StartUploads();
}

void StagingUploader::PutManifest() {
  if (m_is_manifest_in_flight) return;
  m_is_manifest_in_flight = true;
  m_sink.PutManifest(*m_manifest, [this, epoch = m_epoch](bool is_ok) { OnUploadDone(epoch, std::nullopt, is_ok); });
}

void StagingUploader::PutChunk(uint32_t index) {
  const auto content = m_store.Get(m_manifest->chunks[index].digest);
  m_in_flight.insert(index);
  m_sink.PutChunk(*m_manifest, index, *content,
                  [this, epoch = m_epoch, index](bool is_ok) { OnUploadDone(epoch, index, is_ok); });
}

void StagingUploader::OnUploadDone(uint64_t epoch, std::optional<uint32_t> index, bool is_ok) {
  if (epoch != m_epoch) return;
  if (index.has_value()) {
    m_in_flight.erase(*index);
    if (is_ok) MarkStaged(*index);
    if (!is_ok) m_pending.push_back(*index);
  } else {
    m_is_manifest_in_flight = false;
    m_is_manifest_uploaded = is_ok;
  }
  if (!is_ok) {
    RetryLater();
    return;
  }
  StartUploads();
}

void StagingUploader::MarkStaged(uint32_t index) {
  if (m_staged[index]) return;
  m_staged[index] = true;
  ++m_staged_count;
  const Digest chunk = m_manifest->chunks[index].digest;
  if (IsChunkStaged(chunk)) m_on_staged(chunk);
}

void StagingUploader::RetryLater() {
  m_retry_timer = m_loop.RunAfter(kRetryDelay, [this] {
    m_retry_timer.reset();
    StartUploads();
  });
}

}  // namespace plantain
