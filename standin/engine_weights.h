// Weights of the engine stand-in: staging area, loaded weights and their verification.

#ifndef PLANTAIN_ENGINE_WEIGHTS_H_
#define PLANTAIN_ENGINE_WEIGHTS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "transfer.pb.h"

namespace plantain::standin {

// Model and adapter. An empty adapter denotes the base model.
using WeightKey = std::pair<std::string, std::string>;

// Result of a staging or loading step.
enum class WeightResult { kOk, kNoManifest, kBadManifest, kBadIndex, kDigestMismatch, kIncomplete, kNotLoaded };

// Returns the error type used in HTTP answers.
std::string GetWeightResultName(WeightResult result);

class EngineWeights {
 public:
  struct Loaded {
    // Manifest digest in hex.
    std::string manifest;
    std::vector<std::shared_ptr<const std::string>> chunks;
    // False if chunks are missing or corrupt, which is possible only without verification.
    bool is_valid = true;
  };

  // Without verification any bytes are accepted, so that tests can show that the agent verifies them itself.
  explicit EngineWeights(bool is_verifying) : m_is_verifying(is_verifying) {}

  // Starts staging a manifest, or keeps the staged chunks if it is already staged. Chunks of loaded weights count as
  // present.
  WeightResult StageManifest(const std::string& manifest_hex, const std::string& content);

  WeightResult StageChunk(const std::string& manifest_hex, uint32_t index, std::string bytes);

  // Checks whether the staged weights can be loaded, without loading them.
  WeightResult CheckLoad(const WeightKey& key, const std::string& manifest_hex) const;

  // Loads the staged weights for `key` and clears the staging area. No-op if `key` already has these weights loaded.
  WeightResult Load(const WeightKey& key, const std::string& manifest_hex);

  WeightResult Unload(const WeightKey& key);

  // Drops all staged and loaded weights.
  void Clear();

  void SetVerifying(bool is_verifying) { m_is_verifying = is_verifying; }

  const std::map<WeightKey, Loaded>& GetLoaded() const { return m_loaded; }
  const std::string& GetStagedManifest() const { return m_staged_hex; }

  // Returns the staged chunks as a bitmap, lowest bit first, in hex.
  std::string GetStagedMap() const;

 private:
  WeightResult Verify(const WeightKey& key) const;

  bool m_is_verifying;
  std::string m_staged_hex;
  proto::Manifest m_staged;
  std::vector<std::shared_ptr<const std::string>> m_staged_chunks;
  std::map<WeightKey, Loaded> m_loaded;
  // Chunks of staged and loaded weights by digest.
  std::map<std::string, std::weak_ptr<const std::string>> m_chunks;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_ENGINE_WEIGHTS_H_
