// Rendezvous (highest random weight) hashing: all processes rank the same VMs identically for a key without exchanging
// messages.

#ifndef PLANTAIN_RENDEZVOUS_H_
#define PLANTAIN_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plantain {

// Returns a 64-bit hash of a name or digest.
uint64_t HashName(std::string_view name);

// Returns the score of a VM for a key, both given as hashes; the VM with the highest score has rank 0.
uint64_t ScoreCandidate(uint64_t key_hash, uint64_t vm_hash);

// Returns the score of a candidate for a key, both given by name; the candidate with the highest score has rank 0.
uint64_t GetRendezvousScore(std::string_view key, std::string_view candidate);

// Rank of one VM for a key.
struct OwnerRank {
  // 0 for the owner, which is the VM with the highest score.
  uint32_t rank = 0;
  // Index of the owner in the list of VMs.
  size_t owner = 0;
};

// Returns the rank of `vm_hashes[self]` among `vm_hashes`, the hashes of the VM ids.
OwnerRank RankOwner(uint64_t key_hash, const std::vector<uint64_t>& vm_hashes, size_t self);

// Returns the index of the owner, or `vm_hashes.size()` if there are no VMs.
size_t FindOwner(uint64_t key_hash, const std::vector<uint64_t>& vm_hashes);

// Returns the indices of the `count` VMs with the highest scores, in ascending order of index.
std::vector<size_t> PickTopRanked(uint64_t key_hash, const std::vector<uint64_t>& vm_hashes, size_t count);

// Returns the neighbours of `vm_hashes[self]` in an overlay graph of all VMs. The VMs form a ring, ordered by their
// scores for `key_hash`; the neighbours are the VMs at distances 1, 2, 4, ... in both directions. Every VM thus has the
// same in-degree and out-degree, and paths have at most log2(n) hops. With at most `full_mesh_max_vms` VMs, all are
// neighbours of each other.
std::vector<size_t> PickNeighbours(uint64_t key_hash, const std::vector<uint64_t>& vm_hashes, size_t self,
                                   size_t all_neighbours_below);

}  // namespace plantain

#endif  // PLANTAIN_RENDEZVOUS_H_
