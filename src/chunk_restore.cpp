#include "chunk_restore.h"

#include <utility>

#include "event_log.h"
#include "failure_type.h"

namespace plantain {
namespace {

// Enough concurrent reads to hide the engine's response time on the local host.
constexpr size_t kMaxConcurrentReads = 4;

}  // namespace

ChunkRestore::ChunkRestore(StagingArea& stage, ChunkStore& store,
                           std::function<void(const Digest& chunk, const std::vector<Digest>& dropped)> on_chunk)
    : m_stage(stage), m_store(store), m_on_chunk(std::move(on_chunk)) {}

void ChunkRestore::SetManifest(std::shared_ptr<const Manifest> manifest) {
  if (manifest == m_manifest) return;
  m_manifest = std::move(manifest);
  ++m_epoch;
  m_missing.clear();
  m_in_flight = 0;
  if (m_manifest == nullptr) return;
  for (uint32_t i = 0; i < m_manifest->chunks.size(); ++i) {
    if (!m_store.Has(m_manifest->chunks[i].digest)) m_missing.push_back(i);
  }
  ReadNextChunks();
}

void ChunkRestore::Stop() { SetManifest(nullptr); }

void ChunkRestore::ReadNextChunks() {
  while (m_in_flight < kMaxConcurrentReads && !m_missing.empty()) {
    const uint32_t index = m_missing.front();
    m_missing.pop_front();
    ++m_in_flight;
    m_stage.ReadChunk(*m_manifest, index, [this, epoch = m_epoch, index](absl::StatusOr<std::string> content) {
      OnRead(epoch, index, std::move(content));
    });
  }
}

void ChunkRestore::OnRead(uint64_t epoch, uint32_t index, absl::StatusOr<std::string> content) {
  if (epoch != m_epoch) return;
  --m_in_flight;
  const Digest& chunk = m_manifest->chunks[index].digest;
  std::vector<Digest> dropped;
  absl::Status status = content.status();
  if (status.ok() && !m_store.Has(chunk)) status = m_store.Put(chunk, *std::move(content), dropped);
  if (status.ok()) {
    m_on_chunk(chunk, dropped);
  } else {
    // Not fatal: peers can fetch this chunk from another source.
    LogEvent(LogLevel::kInfo, "chunk_not_restored", {{"index", index}, MakeFailureField(status)});
  }
  ReadNextChunks();
}

}  // namespace plantain
