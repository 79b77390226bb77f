// Interfaces of chunk transfer to the weight origin and to the engine's staging area.

#ifndef PLANTAIN_WEIGHT_PORT_H_
#define PLANTAIN_WEIGHT_PORT_H_

#include <functional>
#include <memory>
#include <string>

#include "http_client.h"
#include "manifest_type.h"

namespace plantain {

// Client of the platform's weight origin. Used on the transfer thread.
class ChunkOrigin {
 public:
  virtual ~ChunkOrigin() = default;

  // Fetches the canonical bytes of a manifest. A response status other than 200 means that the origin did not return
  // it. Returns null if the call needs no connection; `on_done` is always called, after this function returns.
  virtual std::shared_ptr<HttpCall> FetchManifest(const Digest& manifest, Duration timeout,
                                                  std::function<void(absl::StatusOr<HttpResponse>)> on_done) = 0;

  // Fetches one chunk of the given size and streams its content to the callbacks. A larger answer fails.
  virtual std::shared_ptr<HttpCall> FetchChunk(const Digest& chunk, Bytes size, HttpCallbacks callbacks) = 0;
};

// Client of the local engine's staging area. Used on the transfer thread.
class StagingArea {
 public:
  virtual ~StagingArea() = default;

  // PutManifest prepares the area for a manifest, after which PutChunk writes its chunks by index. `on_done` receives
  // whether the engine accepted the content.
  virtual void PutManifest(const Manifest& manifest, std::function<void(bool)> on_done) = 0;
  virtual void PutChunk(const Manifest& manifest, uint32_t index, const std::string& content,
                        std::function<void(bool)> on_done) = 0;

  // Reads back a chunk of loaded weights, which stay in the area. Does not verify the bytes. Fails with kChunkMissing
  // if the area cannot be read.
  virtual void ReadChunk(const Manifest& manifest, uint32_t index,
                         std::function<void(absl::StatusOr<std::string>)> on_done) = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_WEIGHT_PORT_H_
