// Content-addressed in-memory cache of chunks with a limit in bytes.

#ifndef PLANTAIN_CHUNK_STORE_H_
#define PLANTAIN_CHUNK_STORE_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "manifest_type.h"

namespace plantain {

// Stores verified chunks for peers and for the engine. When full, evicts the least recently used chunk that is not
// pinned. Used on one thread only.
class ChunkStore {
 public:
  explicit ChunkStore(Bytes limit) : m_limit(limit) {}

  // Verifies the digest and stores the chunk. Fails with kDigestMismatch, or with kMemoryLimit if evicting all unpinned
  // chunks would not free enough memory. Appends the digests of evicted chunks to `dropped`.
  absl::Status Put(const Digest& digest, std::string content, std::vector<Digest>& dropped);

  // Returns the chunk, or null, and marks it as most recently used.
  std::shared_ptr<const std::string> Get(const Digest& digest);

  bool Has(const Digest& digest) const { return m_entries.contains(digest); }

  // Pins a chunk, which excludes it from eviction. Pins are counted: each Pin needs its own Unpin.
  void Pin(const Digest& digest);
  void Unpin(const Digest& digest);

  // Removes a chunk even if it is pinned.
  void Drop(const Digest& digest);

  // Returns the bytes stored at present, which never exceed the limit.
  Bytes GetUsed() const { return m_used; }
  // Returns the bytes that could be stored if all unpinned chunks were evicted.
  Bytes GetAvailableBytes() const { return Bytes(m_limit.Get() - m_pinned.Get()); }
  Bytes GetLimit() const { return m_limit; }

 private:
  struct Entry {
    std::shared_ptr<const std::string> content;
    uint32_t pins = 0;
    std::list<Digest>::iterator position;
  };

  void Remove(std::unordered_map<Digest, Entry>::iterator entry);
  bool EvictToFit(uint64_t size, std::vector<Digest>& dropped);

  const Bytes m_limit;
  Bytes m_used;
  Bytes m_pinned;
  std::unordered_map<Digest, Entry> m_entries;
  // All chunks, pinned ones included, least recently used first.
  std::list<Digest> m_lru_order;
};

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_STORE_H_
