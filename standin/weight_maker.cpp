#include "weight_maker.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>

#include "digest_text.h"
#include "failure_type.h"
#include "transfer.pb.h"

namespace plantain::standin {
namespace {

constexpr size_t kMinFields = 6;
constexpr size_t kMaxFields = 8;

std::vector<std::string> SplitFields(const std::string& text) {
  std::vector<std::string> fields(1);
  for (const char c : text) {
    if (c == ':') {
      fields.emplace_back();
    } else {
      fields.back() += c;
    }
  }
  return fields;
}

bool ParseNumber(const std::string& text, uint64_t& out) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), out);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

// One step of the SplitMix64 generator.
uint64_t NextBits(uint64_t& state) {
  state += 0x9e3779b97f4a7c15ull;
  uint64_t bits = state;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ull;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebull;
  return bits ^ (bits >> 31);
}

uint64_t ChooseSeed(const WeightSpec& spec, uint32_t index) {
  if (spec.shared_share <= 0) return spec.seed;
  const uint64_t bits = XXH64(&index, sizeof(index), spec.seed);
  const double unit = static_cast<double>(bits >> 11) * 0x1.0p-53;
  return unit < spec.shared_share ? spec.shared_seed : spec.seed;
}

}  // namespace

absl::StatusOr<WeightSpec> ParseWeightSpec(const std::string& text) {
  const absl::Status failure =
      MakeFailure(FailureCode::kUsage, "--weights " + text +
                                           ": expected model:adapter:version:bytes:chunk_bytes:seed"
                                           "[:shared_share:shared_seed]");
  const std::vector<std::string> fields = SplitFields(text);
  if (fields.size() != kMinFields && fields.size() != kMaxFields) return failure;
  WeightSpec spec{fields[0], fields[1], fields[2]};
  if (!ParseNumber(fields[3], spec.bytes) || !ParseNumber(fields[4], spec.chunk_bytes)) return failure;
  if (!ParseNumber(fields[5], spec.seed) || spec.chunk_bytes == 0) return failure;
  if (fields.size() == kMaxFields) {
    spec.shared_share = strtod(fields[6].c_str(), nullptr);
    if (!ParseNumber(fields[7], spec.shared_seed)) return failure;
  }
  return spec;
}

std::string MakeChunk(uint64_t seed, uint32_t index, uint64_t size) {
  uint64_t state = XXH64(&index, sizeof(index), seed);
  std::string bytes(size, '\0');
  size_t at = 0;
  while (at < size) {
    const uint64_t bits = NextBits(state);
    const size_t step = std::min<size_t>(sizeof(bits), size - at);
    std::memcpy(bytes.data() + at, &bits, step);
    at += step;
  }
  return bytes;
}

void WeightCatalog::Add(const WeightSpec& spec) {
  proto::Manifest manifest;
  manifest.set_model(spec.model);
  manifest.set_adapter(spec.adapter);
  manifest.set_version(spec.version);
  manifest.set_total_size(spec.bytes);
  Sha256Stream total_hash;
  uint32_t index = 0;
  for (uint64_t at = 0; at < spec.bytes; at += spec.chunk_bytes, ++index) {
    const ChunkSource source{ChooseSeed(spec, index), index, std::min(spec.chunk_bytes, spec.bytes - at)};
    const std::string bytes = MakeChunk(source.seed, source.index, source.size);
    const std::string digest = HashSha256(bytes);
    total_hash.Add(bytes);
    proto::ChunkEntry* entry = manifest.add_chunks();
    entry->set_size(static_cast<uint32_t>(source.size));
    entry->set_digest(digest);
    m_chunks.emplace(digest, source);
  }
  manifest.set_total_digest(total_hash.Finish());
  const std::string content = manifest.SerializeAsString();
  const std::string manifest_digest = HashSha256(content);
  m_manifests.emplace(manifest_digest, content);
  m_entries.push_back({spec, manifest_digest, index});
}

const std::string* WeightCatalog::FindManifest(const std::string& digest) const {
  const auto found = m_manifests.find(digest);
  return found == m_manifests.end() ? nullptr : &found->second;
}

std::optional<std::string> WeightCatalog::FindChunk(const std::string& digest) const {
  const auto found = m_chunks.find(digest);
  if (found == m_chunks.end()) return std::nullopt;
  return MakeChunk(found->second.seed, found->second.index, found->second.size);
}

std::optional<uint64_t> WeightCatalog::FindChunkSize(const std::string& digest) const {
  const auto found = m_chunks.find(digest);
  if (found == m_chunks.end()) return std::nullopt;
  return found->second.size;
}

}  // namespace plantain::standin
