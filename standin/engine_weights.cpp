#include "engine_weights.h"

#include "digest_text.h"
#include "hex_text.h"

namespace plantain::standin {

std::string GetWeightResultName(WeightResult result) {
  switch (result) {
    case WeightResult::kOk:
      return "ok";
    case WeightResult::kNoManifest:
      return "no_manifest";
    case WeightResult::kBadManifest:
      return "bad_manifest";
    case WeightResult::kBadIndex:
      return "bad_index";
    case WeightResult::kDigestMismatch:
      return "digest_mismatch";
    case WeightResult::kIncomplete:
      return "incomplete";
    case WeightResult::kNotLoaded:
      return "not_loaded";
  }
  return "unknown";
}

WeightResult EngineWeights::StageManifest(const std::string& manifest_hex, const std::string& content) {
  if (FormatHex(HashSha256(content)) != manifest_hex) return WeightResult::kDigestMismatch;
  proto::Manifest manifest;
  if (!manifest.ParseFromString(content)) return WeightResult::kBadManifest;
  if (manifest_hex == m_staged_hex) return WeightResult::kOk;
  m_staged_hex = manifest_hex;
  m_staged = std::move(manifest);
  m_staged_chunks.assign(m_staged.chunks_size(), nullptr);
  for (int i = 0; i < m_staged.chunks_size(); ++i) {
    const auto known = m_chunks.find(m_staged.chunks(i).digest());
    if (known != m_chunks.end()) m_staged_chunks[i] = known->second.lock();
  }
  return WeightResult::kOk;
}

WeightResult EngineWeights::StageChunk(const std::string& manifest_hex, uint32_t index, std::string bytes) {
  if (manifest_hex != m_staged_hex) return WeightResult::kNoManifest;
  if (index >= m_staged_chunks.size()) return WeightResult::kBadIndex;
  const std::string& digest = m_staged.chunks(static_cast<int>(index)).digest();
  if (m_is_verifying && HashSha256(bytes) != digest) return WeightResult::kDigestMismatch;
  m_staged_chunks[index] = std::make_shared<const std::string>(std::move(bytes));
  m_chunks[digest] = m_staged_chunks[index];
  return WeightResult::kOk;
}

WeightResult EngineWeights::CheckLoad(const WeightKey& key, const std::string& manifest_hex) const {
  const auto loaded = m_loaded.find(key);
  if (loaded != m_loaded.end() && loaded->second.manifest == manifest_hex) return WeightResult::kOk;
  if (manifest_hex != m_staged_hex) return WeightResult::kNoManifest;
  if (!m_is_verifying) return WeightResult::kOk;
  for (const auto& chunk : m_staged_chunks) {
    if (chunk == nullptr) return WeightResult::kIncomplete;
  }
  return WeightResult::kOk;
}

WeightResult EngineWeights::Verify(const WeightKey& key) const {
  if (m_staged.model() != key.first || m_staged.adapter() != key.second) return WeightResult::kBadManifest;
  Sha256Stream total_hash;
  for (const auto& chunk : m_staged_chunks) {
    if (chunk == nullptr) return WeightResult::kIncomplete;
    total_hash.Add(*chunk);
  }
  return total_hash.Finish() == m_staged.total_digest() ? WeightResult::kOk : WeightResult::kDigestMismatch;
}

WeightResult EngineWeights::Load(const WeightKey& key, const std::string& manifest_hex) {
  const WeightResult check = CheckLoad(key, manifest_hex);
  if (check != WeightResult::kOk) return check;
  const auto loaded = m_loaded.find(key);
  if (loaded != m_loaded.end() && loaded->second.manifest == manifest_hex) return WeightResult::kOk;
  const WeightResult verified = Verify(key);
  if (m_is_verifying && verified != WeightResult::kOk) return verified;
  m_loaded[key] = Loaded{manifest_hex, std::move(m_staged_chunks), verified == WeightResult::kOk};
  m_staged_chunks.clear();
  m_staged.Clear();
  m_staged_hex.clear();
  return WeightResult::kOk;
}

WeightResult EngineWeights::Unload(const WeightKey& key) {
  return m_loaded.erase(key) > 0 ? WeightResult::kOk : WeightResult::kNotLoaded;
}

void EngineWeights::Clear() {
  m_staged_hex.clear();
  m_staged.Clear();
  m_staged_chunks.clear();
  m_loaded.clear();
  m_chunks.clear();
}

std::string EngineWeights::GetStagedMap() const {
  std::string bits((m_staged_chunks.size() + 7) / 8, '\0');
  for (size_t i = 0; i < m_staged_chunks.size(); ++i) {
    if (m_staged_chunks[i] != nullptr) bits[i / 8] = static_cast<char>(bits[i / 8] | (1 << (i % 8)));
  }
  return FormatHex(bits);
}

}  // namespace plantain::standin
