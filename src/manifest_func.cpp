#include "manifest_func.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstdlib>

#include "failure_type.h"
#include "hex_text.h"
#include "transfer.pb.h"

namespace plantain {
namespace {

// Cached, because each implicit algorithm fetch in OpenSSL 3 takes longer than hashing a small chunk.
const EVP_MD* GetSha256() {
  static const EVP_MD* const method = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  return method;
}

absl::Status MakeInvalid(std::string_view detail) { return MakeFailure(FailureCode::kManifestInvalid, detail); }

absl::Status CheckNames(const proto::Manifest& message) {
  if (message.model().empty() || message.model().size() > kMaxManifestNameBytes)
    return MakeInvalid("model name is empty or too long");
  if (message.adapter().size() > kMaxManifestNameBytes) return MakeInvalid("adapter name is too long");
  if (message.version().size() > kMaxManifestNameBytes) return MakeInvalid("version name is too long");
  return absl::OkStatus();
}

absl::Status CheckChunks(const proto::Manifest& message) {
  if (message.chunks_size() == 0) return MakeInvalid("no chunks");
  if (static_cast<size_t>(message.chunks_size()) > kMaxManifestChunks) return MakeInvalid("too many chunks");
  uint64_t total = 0;
  for (const proto::ChunkEntry& chunk : message.chunks()) {
    if (chunk.size() == 0 || chunk.size() > kMaxChunkBytes) return MakeInvalid("chunk size out of range");
    if (chunk.digest().size() != kDigestBytes) return MakeInvalid("chunk digest has the wrong length");
    total += chunk.size();
  }
  if (total != message.total_size()) return MakeInvalid("sum of chunk sizes differs from total size");
  if (message.total_digest().size() != kDigestBytes) return MakeInvalid("total digest has the wrong length");
  return absl::OkStatus();
}

}  // namespace

Digest ComputeDigest(std::string_view content) {
  std::string raw(kDigestBytes, '\0');
  unsigned size = 0;
  const int ok = EVP_Digest(content.data(), content.size(), reinterpret_cast<unsigned char*>(raw.data()), &size,
                            GetSha256(), nullptr);
  if (ok != 1 || size != kDigestBytes) std::abort();
  return Digest(std::move(raw));
}

std::string FormatDigest(const Digest& digest) { return FormatHex(digest.Get()); }

std::optional<Digest> ParseDigest(std::string_view hex) {
  std::optional<std::string> raw = ParseHex(hex);
  if (!raw.has_value() || raw->size() != kDigestBytes) return std::nullopt;
  return Digest(*std::move(raw));
}

absl::StatusOr<std::shared_ptr<const Manifest>> ParseManifest(const Digest& expected, std::string_view content) {
  if (content.size() > kMaxManifestBytes) return MakeInvalid("manifest is too large");
  if (ComputeDigest(content) != expected)
    return MakeFailure(FailureCode::kDigestMismatch, "manifest content does not match its digest");
  proto::Manifest message;
  if (!message.ParseFromArray(content.data(), static_cast<int>(content.size())))
    return MakeInvalid("manifest is not a valid protobuf message");
  if (absl::Status status = CheckNames(message); !status.ok()) return status;
  if (absl::Status status = CheckChunks(message); !status.ok()) return status;
  auto manifest = std::make_shared<Manifest>();
  manifest->digest = expected;
  manifest->model = ModelName(message.model());
  manifest->adapter = AdapterName(message.adapter());
  manifest->version = VersionName(message.version());
  manifest->total_size = Bytes(message.total_size());
  manifest->total_digest = Digest(message.total_digest());
  manifest->chunks.reserve(static_cast<size_t>(message.chunks_size()));
  for (const proto::ChunkEntry& chunk : message.chunks()) {
    manifest->chunks.push_back({Digest(chunk.digest()), chunk.size()});
  }
  manifest->content = std::string(content);
  return std::shared_ptr<const Manifest>(std::move(manifest));
}

std::string MakeManifest(const ModelName& model, const AdapterName& adapter, const VersionName& version,
                         const std::vector<std::string>& chunks) {
  proto::Manifest message;
  message.set_model(model.Get());
  message.set_adapter(adapter.Get());
  message.set_version(version.Get());
  std::string all_content;
  for (const std::string& chunk : chunks) {
    proto::ChunkEntry* entry = message.add_chunks();
    entry->set_size(static_cast<uint32_t>(chunk.size()));
    entry->set_digest(ComputeDigest(chunk).Get());
    all_content += chunk;
  }
  message.set_total_size(all_content.size());
  message.set_total_digest(ComputeDigest(all_content).Get());
  return message.SerializeAsString();
}

std::string PackBits(const std::vector<bool>& bits) {
  std::string bytes((bits.size() + 7) / 8, '\0');
  for (size_t i = 0; i < bits.size(); ++i) {
    if (bits[i]) bytes[i / 8] = static_cast<char>(static_cast<unsigned char>(bytes[i / 8]) | 1U << (i % 8));
  }
  return bytes;
}

std::vector<bool> UnpackBits(std::string_view bytes, size_t count) {
  std::vector<bool> bits(count, false);
  const size_t known = std::min(count, bytes.size() * 8);
  for (size_t i = 0; i < known; ++i) bits[i] = (static_cast<unsigned char>(bytes[i / 8]) >> (i % 8) & 1U) != 0;
  return bits;
}

}  // namespace plantain
