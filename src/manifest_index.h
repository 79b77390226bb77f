// Index of the manifests that this VM knows and of the chunks in them.

#ifndef PLANTAIN_MANIFEST_INDEX_H_
#define PLANTAIN_MANIFEST_INDEX_H_

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "manifest_type.h"

namespace plantain {

// Position of a chunk in a manifest.
struct ChunkPosition {
  Digest manifest;
  uint32_t index = 0;
};

// Maps digests to manifests, and chunk digests to their positions in these manifests. Used on the transfer thread only.
class ManifestIndex {
 public:
  void Add(const std::shared_ptr<const Manifest>& manifest) {
    if (!m_manifests.emplace(manifest->digest, manifest).second) return;
    for (uint32_t i = 0; i < manifest->chunks.size(); ++i) {
      m_positions[manifest->chunks[i].digest].push_back({manifest->digest, i});
    }
  }

  void Remove(const Digest& digest) {
    const auto found = m_manifests.find(digest);
    if (found == m_manifests.end()) return;
    for (const ChunkRef& chunk : found->second->chunks) {
      const auto positions = m_positions.find(chunk.digest);
      if (positions == m_positions.end()) continue;
      std::erase_if(positions->second, [&](const ChunkPosition& position) { return position.manifest == digest; });
      if (positions->second.empty()) m_positions.erase(positions);
    }
    m_manifests.erase(found);
  }

  // Returns the manifest, or null.
  std::shared_ptr<const Manifest> Find(const Digest& digest) const {
    const auto found = m_manifests.find(digest);
    return found == m_manifests.end() ? nullptr : found->second;
  }

  // Returns all positions of the chunk, or an empty list.
  const std::vector<ChunkPosition>& FindPositions(const Digest& chunk) const {
    static const std::vector<ChunkPosition> none;
    const auto found = m_positions.find(chunk);
    return found == m_positions.end() ? none : found->second;
  }

  const std::map<Digest, std::shared_ptr<const Manifest>>& GetAll() const { return m_manifests; }

 private:
  std::map<Digest, std::shared_ptr<const Manifest>> m_manifests;
  std::unordered_map<Digest, std::vector<ChunkPosition>> m_positions;
};

}  // namespace plantain

#endif  // PLANTAIN_MANIFEST_INDEX_H_
