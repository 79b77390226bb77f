// Where weights come from and where they go, as chunk transfer sees it.

#ifndef PLANTAIN_WEIGHT_PORT_H_
#define PLANTAIN_WEIGHT_PORT_H_

#include <functional>
#include <memory>
#include <string>

#include "http_client.h"
#include "manifest_type.h"

namespace plantain {

// The platform's origin of weights. Used on the transfer thread.
class ChunkOrigin {
 public:
  virtual ~ChunkOrigin() = default;

  // Fetches the canonical bytes of a manifest; a status other than 200 in the response means that it was not given.
  // Returns null if the call needs no connection; `on_done` is called later in any case.
  virtual std::shared_ptr<HttpCall> FetchManifest(const Digest& manifest, Duration timeout,
                                                  std::function<void(absl::StatusOr<HttpResponse>)> on_done) = 0;

  // Fetches one chunk and reports it piece by piece.
  virtual std::shared_ptr<HttpCall> FetchChunk(const Digest& chunk, HttpCallbacks callbacks) = 0;
};

// The local engine's staging area. Used on the transfer thread.
class StageSink {
 public:
  virtual ~StageSink() = default;

  // Prepares the area for a manifest, then takes its chunks. `on_done` gets whether it was taken.
  virtual void PutManifest(const Manifest& manifest, std::function<void(bool)> on_done) = 0;
  virtual void PutChunk(const Manifest& manifest, uint32_t index, const std::string& content,
                        std::function<void(bool)> on_done) = 0;

  // Reads back a chunk of weights that the engine has loaded; the area still holds them. The bytes are not checked.
  // Fails with kChunkMissing if the area cannot be read.
  virtual void ReadChunk(const Manifest& manifest, uint32_t index,
                         std::function<void(absl::StatusOr<std::string>)> on_done) = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_WEIGHT_PORT_H_
