// Where an agent asks for the manifest of a version, and how soon again. No I/O.

#ifndef PLANTAIN_MANIFEST_SOURCE_H_
#define PLANTAIN_MANIFEST_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core_type.h"
#include "random.h"

namespace plantain {

// Load pattern: a version is published, and hundreds of agents want its manifest in the same moment. The origin's link
// carries little more than the chunks in the time that there is, and the origin accepts few connections. So the first
// agents of each zone ask the origin, and all others ask those, again and again for about a second. If the first ones
// fail, the next ones take their place one after the other.
class ManifestSource {
 public:
  // `agents` are those of the zone in an order that all of them know, this one included if it is listed.
  ManifestSource(std::vector<VmId> agents, const VmId& self);

  // Returns the peer to ask after `failures` failed attempts, or nothing to ask the origin.
  std::optional<VmId> Pick(uint32_t failures, Random& random) const;

  // Returns the time to wait before the next attempt.
  static Duration GetPause(uint32_t failures, Random& random);

 private:
  // Number of agents that may ask the origin after `failures` failed attempts.
  size_t CountFetchers(uint32_t failures) const;

  const std::vector<VmId> m_agents;
  size_t m_rank = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_MANIFEST_SOURCE_H_
