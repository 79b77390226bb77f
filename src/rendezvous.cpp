#include "rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <set>

namespace plantain {

uint64_t HashName(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

uint64_t ScoreCandidate(uint64_t key_hash, uint64_t vm_hash) {
  const std::array<uint64_t, 2> pair{key_hash, vm_hash};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

uint64_t GetRendezvousScore(std::string_view key, std::string_view candidate) {
  return ScoreCandidate(HashName(key), HashName(candidate));
}

OwnerRank RankOwner(uint64_t key_hash, const std::vector<uint64_t>& vm_hashes, size_t self) {
  const uint64_t own = ScoreCandidate(key_hash, vm_hashes[self]);
  uint64_t best = own;
  OwnerRank result{0, self};
  for (size_t i = 0; i < vm_hashes.size(); ++i) {
    if (i == self) continue;
    const uint64_t score = ScoreCandidate(key_hash, vm_hashes[i]);
    if (score > own) ++result.rank;
    if (score > best) {
      best = score;
      result.owner = i;
    }
  }
  return result;
}

size_t FindOwner(uint64_t key_hash, const std::vector<uint64_t>& vm_hashes) {
  size_t owner = vm_hashes.size();
  uint64_t best = 0;
  for (size_t i = 0; i < vm_hashes.size(); ++i) {
    const uint64_t score = ScoreCandidate(key_hash, vm_hashes[i]);
    if (owner != vm_hashes.size() && score <= best) continue;
    owner = i;
    best = score;
  }
  return owner;
}

std::vector<size_t> PickTopRanked(uint64_t key_hash, const std::vector<uint64_t>& vm_hashes, size_t count) {
  std::vector<size_t> order(vm_hashes.size());
  std::iota(order.begin(), order.end(), 0);
  if (order.size() <= count) return order;
  std::vector<uint64_t> scores(vm_hashes.size());
  for (size_t i = 0; i < vm_hashes.size(); ++i) scores[i] = ScoreCandidate(key_hash, vm_hashes[i]);
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) { return scores[a] > scores[b]; });
  order.resize(count);
  std::sort(order.begin(), order.end());
  return order;
}

std::vector<size_t> PickNeighbours(uint64_t key_hash, const std::vector<uint64_t>& vm_hashes, size_t self,
                                   size_t all_neighbours_below) {
  const size_t count = vm_hashes.size();
  std::vector<size_t> ring(count);
  std::iota(ring.begin(), ring.end(), 0);
  std::vector<uint64_t> scores(count);
  for (size_t i = 0; i < count; ++i) scores[i] = ScoreCandidate(key_hash, vm_hashes[i]);
  std::sort(ring.begin(), ring.end(), [&](size_t a, size_t b) { return scores[a] < scores[b]; });
  const size_t position = static_cast<size_t>(std::find(ring.begin(), ring.end(), self) - ring.begin());
  std::set<size_t> chosen;
  for (size_t distance = 1; distance < count; distance = count <= all_neighbours_below ? distance + 1 : distance * 2) {
    chosen.insert(ring[(position + distance) % count]);
    chosen.insert(ring[(position + count - distance) % count]);
  }
  chosen.erase(self);
  return {chosen.begin(), chosen.end()};
}

}  // namespace plantain
