// Streams verified chunks into the engine's staging area.

#ifndef PLANTAIN_STAGE_PUMP_H_
#define PLANTAIN_STAGE_PUMP_H_

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "chunk_store.h"
#include "exchange_type.h"
#include "loop.h"
#include "manifest_book.h"
#include "weight_port.h"

namespace plantain {

// Puts the target manifest and then its chunks, a few at a time. Used on the transfer thread.
class StagePump {
 public:
  // `on_staged` gets each chunk that the engine has taken.
  StagePump(Loop& loop, StageSink& sink, ChunkStore& store, const ManifestBook& book,
            std::function<void(const Digest& chunk)> on_staged);
  ~StagePump();

  // Takes the engine's own report. What it lists as staged is not sent again.
  void SetState(const StageState& state);

  // A chunk has been stored and may be sent.
  void OnChunkStored(const Digest& chunk);

  // Sends what is available.
  void Pump();

  void Stop();

  const Digest& GetTarget() const { return m_state.target; }
  bool IsTarget(const Digest& manifest) const { return !manifest.IsEmpty() && m_state.target == manifest; }
  // Whether the engine has taken the chunk at each of its places in the target.
  bool IsChunkStaged(const Digest& chunk) const;
  size_t GetStagedCount() const { return m_staged_count; }
  bool IsComplete() const;

 private:
  void Reset();
  void AdoptReport();
  void PutManifest();
  void PutChunk(uint32_t index);
  void OnPut(uint64_t epoch, std::optional<uint32_t> index, bool is_ok);
  void MarkStaged(uint32_t index);
  void RetryLater();

  Loop& m_loop;
  StageSink& m_sink;
  ChunkStore& m_store;
  const ManifestBook& m_book;
  const std::function<void(const Digest& chunk)> m_on_staged;
  std::unique_ptr<Timer> m_retry_timer;
  StageState m_state;
  std::shared_ptr<const Manifest> m_manifest;
  // Answers to puts of an earlier epoch are ignored.
  uint64_t m_epoch = 0;
  bool m_is_manifest_put = false;
  bool m_is_manifest_in_flight = false;
  std::vector<bool> m_staged;
  size_t m_staged_count = 0;
  std::set<uint32_t> m_in_flight;
  // Indices whose chunks are kept here and not yet sent.
  std::deque<uint32_t> m_ready;
};

}  // namespace plantain

#endif  // PLANTAIN_STAGE_PUMP_H_
