// HTTP clients of the weight origin and of the engine's staging area, as specified in docs/design.md, section 9.

#ifndef PLANTAIN_WEIGHT_HTTP_H_
#define PLANTAIN_WEIGHT_HTTP_H_

#include "loop.h"
#include "weight_port.h"

namespace plantain {

class HttpChunkOrigin : public ChunkOrigin {
 public:
  HttpChunkOrigin(Loop& loop, MemoryBudget& answer_memory, HttpTarget origin)
      : m_http(loop, answer_memory), m_origin(std::move(origin)) {}

  std::shared_ptr<HttpCall> FetchManifest(const Digest& manifest, Duration timeout,
                                          std::function<void(absl::StatusOr<HttpResponse>)> on_done) override;
  std::shared_ptr<HttpCall> FetchChunk(const Digest& chunk, Bytes size, HttpCallbacks callbacks) override;

 private:
  HttpClient m_http;
  const HttpTarget m_origin;
};

class HttpStagingArea : public StagingArea {
 public:
  HttpStagingArea(Loop& loop, MemoryBudget& answer_memory, HttpTarget engine)
      : m_loop(loop), m_http(loop, answer_memory), m_engine(std::move(engine)) {}

  void PutManifest(const Manifest& manifest, std::function<void(bool)> on_done) override;
  void PutChunk(const Manifest& manifest, uint32_t index, const std::string& content,
                std::function<void(bool)> on_done) override;
  // Always fails with kChunkMissing, since the HTTP interface of the staging area does not support reads.
  void ReadChunk(const Manifest& manifest, uint32_t index,
                 std::function<void(absl::StatusOr<std::string>)> on_done) override;

 private:
  void Put(const std::string& path, const std::string& body, std::function<void(bool)> on_done);

  Loop& m_loop;
  HttpClient m_http;
  const HttpTarget m_engine;
};

}  // namespace plantain

#endif  // PLANTAIN_WEIGHT_HTTP_H_
