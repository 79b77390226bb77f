// Reads weights that the engine has loaded back into memory, so that peers that lack them need not turn to the origin.

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
  // `on_chunk` gets each chunk that has been read, checked and stored, and those dropped to make room.
  ChunkRestore(StageSink& stage, ChunkStore& store,
               std::function<void(const Digest& chunk, const std::vector<Digest>& dropped)> on_chunk);

  // Reads the chunks of a manifest that memory lacks; a null pointer ends the work. Setting the same manifest again
  // changes nothing.
  void SetManifest(std::shared_ptr<const Manifest> manifest);

  void Stop();

 private:
  void Pump();
  void OnRead(uint64_t epoch, uint32_t index, absl::StatusOr<std::string> content);

  StageSink& m_stage;
  ChunkStore& m_store;
  const std::function<void(const Digest& chunk, const std::vector<Digest>& dropped)> m_on_chunk;
  std::shared_ptr<const Manifest> m_manifest;
  // Answers to reads of an earlier epoch are ignored.
  uint64_t m_epoch = 0;
  std::deque<uint32_t> m_missing;
  size_t m_in_flight = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_RESTORE_H_
