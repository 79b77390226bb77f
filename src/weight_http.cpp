#include "weight_http.h"

#include "failure_type.h"
#include "manifest_func.h"

namespace plantain {
namespace {

// Frees the connection of an abandoned call. Stalls are detected earlier, by the chunk plan.
constexpr Duration kOriginTimeout = std::chrono::minutes(5);
constexpr Duration kPutTimeout = std::chrono::seconds(10);
constexpr size_t kMaxPutAnswerBytes = 64 * 1024;
constexpr int kHttpOkFirst = 200;
constexpr int kHttpOkLast = 299;

bool IsSuccess(const absl::StatusOr<HttpResponse>& response) {
  return response.ok() && response->status >= kHttpOkFirst && response->status <= kHttpOkLast;
}

}  // namespace

std::shared_ptr<HttpCall> HttpChunkOrigin::FetchManifest(const Digest& manifest, Duration timeout,
                                                         std::function<void(absl::StatusOr<HttpResponse>)> on_done) {
  HttpCallOptions options(kMaxManifestBytes);
  options.timeout = timeout;
  const HttpRequest request{"GET", "/manifests/" + FormatDigest(manifest), {}, ""};
  return m_http.Fetch(m_origin, request, options, std::move(on_done));
}

std::shared_ptr<HttpCall> HttpChunkOrigin::FetchChunk(const Digest& chunk, Bytes size, HttpCallbacks callbacks) {
  HttpCallOptions options(size.Get());
  options.timeout = kOriginTimeout;
  const HttpRequest request{"GET", "/chunks/" + FormatDigest(chunk), {}, ""};
  return m_http.Send(m_origin, request, options, std::move(callbacks));
}

void HttpStagingArea::Put(const std::string& path, const std::string& body, std::function<void(bool)> on_done) {
  HttpCallOptions options(kMaxPutAnswerBytes);
  options.timeout = kPutTimeout;
  m_http.Fetch(
      m_engine, HttpRequest{"PUT", path, {}, body}, options,
      [on_done = std::move(on_done)](const absl::StatusOr<HttpResponse>& response) { on_done(IsSuccess(response)); });
}

void HttpStagingArea::PutManifest(const Manifest& manifest, std::function<void(bool)> on_done) {
  Put("/staging/" + FormatDigest(manifest.digest), manifest.content, std::move(on_done));
}

void HttpStagingArea::PutChunk(const Manifest& manifest, uint32_t index, const std::string& content,
                               std::function<void(bool)> on_done) {
  Put("/staging/" + FormatDigest(manifest.digest) + "/" + std::to_string(index), content, std::move(on_done));
}

void HttpStagingArea::ReadChunk(const Manifest& /*manifest*/, uint32_t /*index*/,
                                std::function<void(absl::StatusOr<std::string>)> on_done) {
  m_loop.Post([on_done = std::move(on_done)] {
    on_done(MakeFailure(FailureCode::kChunkMissing, "staging area does not support reads"));
  });
}

}  // namespace plantain
