// Manifests, which list the chunks of one set of weights.

#ifndef PLANTAIN_MANIFEST_TYPE_H_
#define PLANTAIN_MANIFEST_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core_type.h"

namespace plantain {

// Limits on manifests, so that a malicious or corrupt manifest cannot exhaust memory.
inline constexpr size_t kMaxManifestBytes = 4 * 1024 * 1024;
inline constexpr size_t kMaxManifestChunks = 65'536;
inline constexpr uint32_t kMaxChunkBytes = 8 * 1024 * 1024;
inline constexpr size_t kMaxManifestNameBytes = 256;
inline constexpr size_t kDigestBytes = 32;

// One chunk of a set of weights.
struct ChunkRef {
  Digest digest;
  uint32_t size = 0;

  bool operator==(const ChunkRef&) const = default;
};

// A validated manifest, immutable once parsed.
struct Manifest {
  // SHA-256 of `content`; identifies the manifest.
  Digest digest;
  ModelName model;
  // Empty for a base model.
  AdapterName adapter;
  VersionName version;
  Bytes total_size;
  // SHA-256 of the concatenated chunk contents.
  Digest total_digest;
  std::vector<ChunkRef> chunks;
  // The canonical bytes, as sent to peers and engines.
  std::string content;
};

}  // namespace plantain

#endif  // PLANTAIN_MANIFEST_TYPE_H_
