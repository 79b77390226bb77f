#include "prefix_affinity.h"

#include <xxhash.h>

#include <algorithm>

namespace plantain {
namespace {

// Small enough to distinguish short system prompts; engines cache in larger blocks.
constexpr size_t kBlockBytes = 64;
// Hashing more than 4 KiB rarely changes the best endpoint, and each block takes an entry in the table.
constexpr size_t kMaxBlocks = 64;

}  // namespace

PrefixHashes HashPrefix(std::string_view prompt) {
  PrefixHashes hashes;
  if (prompt.empty()) return hashes;
  if (prompt.size() < kBlockBytes) return {XXH3_64bits(prompt.data(), prompt.size())};
  uint64_t hash = 0;
  const size_t blocks = std::min(prompt.size() / kBlockBytes, kMaxBlocks);
  hashes.reserve(blocks);
  for (size_t i = 0; i < blocks; ++i) {
    hash = XXH3_64bits_withSeed(prompt.data() + i * kBlockBytes, kBlockBytes, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

const PrefixEndpoints* PrefixAffinityTable::Find(uint64_t prefix_hash) const {
  const auto found = m_entries.find(prefix_hash);
  return found == m_entries.end() ? nullptr : &found->second.endpoints;
}

void PrefixAffinityTable::RecordSent(const PrefixHashes& prefix, uint64_t vm_hash) {
  for (const uint64_t hash : prefix) {
    const auto [found, is_new] = m_entries.try_emplace(hash);
    Entry& entry = found->second;
    if (is_new) {
      entry.lru_position = m_lru.insert(m_lru.end(), hash);
    } else {
      m_lru.splice(m_lru.end(), m_lru, entry.lru_position);
    }
    PrefixEndpoints& endpoints = entry.endpoints;
    if (std::find(endpoints.begin(), endpoints.end(), vm_hash) != endpoints.end()) continue;
    std::shift_right(endpoints.begin(), endpoints.end(), 1);
    endpoints[0] = vm_hash;
  }
  while (m_entries.size() > m_max_prefixes) {
    m_entries.erase(m_lru.front());
    m_lru.pop_front();
  }
}

uint64_t ScorePrefixEndpoint(uint64_t prefix_hash, uint64_t vm_hash) {
  const uint64_t pair[2] = {prefix_hash, vm_hash};
  return XXH3_64bits(pair, sizeof(pair));
}

}  // namespace plantain
