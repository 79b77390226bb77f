// Prefix-affinity routing: requests that share a prompt prefix are sent to the same engine to reuse its prefix cache.

#ifndef PLANTAIN_PREFIX_AFFINITY_H_
#define PLANTAIN_PREFIX_AFFINITY_H_

#include <array>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core_type.h"

namespace plantain {

// Chained hashes of a prompt's leading blocks; element i covers blocks 0 to i.
using PrefixHashes = std::vector<uint64_t>;

// Returns the chained hashes of a prompt's complete leading blocks, up to a maximum number. A prompt shorter than one
// block counts as one block.
PrefixHashes HashPrefix(std::string_view prompt);

// Endpoints that a prefix was sent to, as hashes of their VM ids, most recently added first; zero marks an unused
// element. A few are enough: a prefix in higher demand is spread by load.
using PrefixEndpoints = std::array<uint64_t, 4>;

// LRU table of the endpoints that each prefix was sent to, with a maximum number of prefixes. For unknown prefixes
// entries use rendezvous hashing of the first block, so that they select the same endpoint without exchanging messages.
class PrefixAffinityTable {
 public:
  explicit PrefixAffinityTable(size_t max_prefixes) : m_max_prefixes(max_prefixes) {}

  // Returns the endpoints of one prefix, or null if the prefix is not in the table.
  const PrefixEndpoints* Find(uint64_t prefix_hash) const;

  // Records that a prompt with these prefixes was sent to a VM. If the list of a prefix is full, the VM replaces the
  // element added first. Evicts the least recently used prefixes beyond the maximum.
  void RecordSent(const PrefixHashes& prefix, uint64_t vm_hash);

  size_t GetSize() const { return m_entries.size(); }

 private:
  struct Entry {
    PrefixEndpoints endpoints{};
    std::list<uint64_t>::iterator lru_position;
  };

  const size_t m_max_prefixes;
  std::unordered_map<uint64_t, Entry> m_entries;
  // Least recently used first.
  std::list<uint64_t> m_lru;
};

// Returns the rendezvous score of an endpoint for a prefix; the endpoint with the highest score is preferred.
uint64_t ScorePrefixEndpoint(uint64_t prefix_hash, uint64_t vm_hash);

}  // namespace plantain

#endif  // PLANTAIN_PREFIX_AFFINITY_H_
