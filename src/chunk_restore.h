// Reads weights that the engine has loaded back into the chunk store, so that peers can fetch them from this VM instead
// of the origin.

#ifndef PLANTAIN_CHUNK_RESTORE_H_
#define PLANTAIN_CHUNK_RESTORE_H_

#include <deque>
#include <functional>
#include <memory>

#include "chunk_store.h"
#include "manifest_type.h"
#include "weight_port.h"

namespace plantain {

// Used on the transfer thread.
class ChunkRestore {
 public:
  // Calls `on_chunk` for each chunk that was read, verified and stored, with the chunks evicted for it.
  ChunkRestore(StagingArea& stage, ChunkStore& store,
               std::function<void(const Digest& chunk, const std::vector<Digest>& dropped)> on_chunk);

  // Starts to read the chunks of the manifest that the store lacks, in place of any earlier manifest; null stops
  // reading. Setting the same manifest again has no effect.
  void SetManifest(std::shared_ptr<const Manifest> manifest);

  void Stop();

 private:
  void ReadNextChunks();
  void OnRead(uint64_t epoch, uint32_t index, absl::StatusOr<std::string> content);

  StagingArea& m_stage;
  ChunkStore& m_store;
  const std::function<void(const Digest& chunk, const std::vector<Digest>& dropped)> m_on_chunk;
  std::shared_ptr<const Manifest> m_manifest;
  // Incremented with each manifest; results of reads from an earlier epoch are ignored.
  uint64_t m_epoch = 0;
  std::deque<uint32_t> m_missing;
  size_t m_in_flight = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_RESTORE_H_
