#include "manifest_source.h"

#include <algorithm>

namespace plantain {
namespace {

// Agents of a zone that ask the origin at first.
constexpr size_t kMinFetchers = 2;
// Failed attempts after which one more agent asks the origin, and then one more after each further one.
constexpr uint32_t kPeerAttempts = 8;
constexpr Duration kMinPause = Milliseconds(80);
constexpr Duration kMaxPause = Milliseconds(250);

}  // namespace

ManifestSource::ManifestSource(std::vector<VmId> agents, const VmId& self) : m_agents(std::move(agents)) {
  const auto found = std::find(m_agents.begin(), m_agents.end(), self);
  // An agent that is not listed yet ranks last.
  m_rank = static_cast<size_t>(found - m_agents.begin());
}

size_t ManifestSource::CountFetchers(uint32_t failures) const {
  const size_t added = failures < kPeerAttempts ? 0 : failures - kPeerAttempts + 1;
  return kMinFetchers + added;
}

std::optional<VmId> ManifestSource::Pick(uint32_t failures, Random& random) const {
  const size_t fetchers = CountFetchers(failures);
  const bool is_fetcher = m_rank < fetchers;
  // A fetcher that failed asks a peer in turn, which may have succeeded.
  if (is_fetcher && failures % 2 == 0) return std::nullopt;
  std::vector<VmId> peers;
  for (size_t i = 0; i < std::min(fetchers, m_agents.size()); ++i) {
    if (i != m_rank) peers.push_back(m_agents[i]);
  }
  if (peers.empty()) return std::nullopt;
  return peers[random.GetBelow(peers.size())];
}

Duration ManifestSource::GetPause(uint32_t failures, Random& random) {
  const Duration base = std::min<Duration>(kMaxPause, kMinPause * (1 + failures / 4));
  return std::chrono::duration_cast<Duration>(base * (0.5 + random.GetUnit()));
}

}  // namespace plantain
