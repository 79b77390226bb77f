// Generator of deterministic synthetic weights for the origin stand-in.

#ifndef PLANTAIN_WEIGHT_MAKER_H_
#define PLANTAIN_WEIGHT_MAKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace plantain::standin {

// Parsed form of `--weights model:adapter:version:bytes:chunk_bytes:seed[:shared_share:shared_seed]`.
struct WeightSpec {
  std::string model;
  std::string adapter;
  std::string version;
  uint64_t bytes = 0;
  uint64_t chunk_bytes = 0;
  uint64_t seed = 0;
  // Share of the chunks that are generated from `shared_seed`, so that versions have chunks in common.
  double shared_share = 0;
  uint64_t shared_seed = 0;
};

absl::StatusOr<WeightSpec> ParseWeightSpec(const std::string& text);

// Returns the bytes of one chunk; equal seeds, indexes and sizes give equal bytes.
std::string MakeChunk(uint64_t seed, uint32_t index, uint64_t size);

// Manifests and chunks by raw digest. Chunks are regenerated on each request instead of being kept in memory.
class WeightCatalog {
 public:
  struct Entry {
    WeightSpec spec;
    std::string manifest_digest;
    size_t chunks = 0;
  };

  // Adds one weight version and computes its manifest.
  void Add(const WeightSpec& spec);

  // Returns the serialized manifest, or null if unknown.
  const std::string* FindManifest(const std::string& digest) const;

  // Returns the bytes of a chunk, or nullopt if unknown.
  std::optional<std::string> FindChunk(const std::string& digest) const;

  // Returns the size of a chunk, or nullopt if unknown.
  std::optional<uint64_t> FindChunkSize(const std::string& digest) const;

  const std::vector<Entry>& GetEntries() const { return m_entries; }

 private:
  struct ChunkSource {
    uint64_t seed;
    uint32_t index;
    uint64_t size;
  };

  std::vector<Entry> m_entries;
  std::map<std::string, std::string> m_manifests;
  std::map<std::string, ChunkSource> m_chunks;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_WEIGHT_MAKER_H_
