// Uploads verified chunks to the engine's staging area.

#ifndef PLANTAIN_STAGING_UPLOADER_H_
#define PLANTAIN_STAGING_UPLOADER_H_

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "chunk_store.h"
#include "exchange_type.h"
#include "loop.h"
#include "manifest_index.h"
#include "weight_port.h"

namespace plantain {

// Uploads the target manifest and then its chunks, with a limited number of concurrent uploads. Must only be used on
// the transfer thread.
class StagingUploader {
 public:
  // `on_staged` is called for each chunk that the engine has accepted.
  StagingUploader(Loop& loop, StagingArea& sink, ChunkStore& store, const ManifestIndex& manifest_index,
                  std::function<void(const Digest& chunk)> on_staged);
  ~StagingUploader();

  // Applies the staging state reported by the engine. Chunks that it lists as staged are not uploaded again.
  void SetState(const StagingState& state);

  // Queues a chunk that has been added to the store for upload.
  void OnChunkStored(const Digest& chunk);

  // Starts uploads of available chunks up to the concurrency limit.
  void StartUploads();

  void Stop();

  const Digest& GetTarget() const { return m_state.target; }
  bool IsTarget(const Digest& manifest) const { return !manifest.IsEmpty() && m_state.target == manifest; }
  // Returns whether the chunk is staged at every index at which it occurs in the target manifest.
  bool IsChunkStaged(const Digest& chunk) const;
  size_t GetStagedCount() const { return m_staged_count; }
  // Returns whether all chunks of the target are staged.
  bool IsComplete() const;

 private:
  void Reset();
  void ApplyReport();
  void PutManifest();
  void PutChunk(uint32_t index);
  void OnUploadDone(uint64_t epoch, std::optional<uint32_t> index, bool is_ok);
  void MarkStaged(uint32_t index);
  void RetryLater();

  Loop& m_loop;
  StagingArea& m_sink;
  ChunkStore& m_store;
  const ManifestIndex& m_manifest_index;
  const std::function<void(const Digest& chunk)> m_on_staged;
  std::unique_ptr<Timer> m_retry_timer;
  StagingState m_state;
  std::shared_ptr<const Manifest> m_manifest;
  // Incremented on each reset. Responses to uploads of an earlier epoch are ignored.
  uint64_t m_epoch = 0;
  bool m_is_manifest_uploaded = false;
  bool m_is_manifest_in_flight = false;
  std::vector<bool> m_staged;
  size_t m_staged_count = 0;
  std::set<uint32_t> m_in_flight;
  // Indices of chunks that are in the store and waiting for upload.
  std::deque<uint32_t> m_pending;
};

}  // namespace plantain

#endif  // PLANTAIN_STAGING_UPLOADER_H_
