#include "beacon_targets.h"

#include <algorithm>

namespace plantain {

std::vector<VmId> RotatingTargets::GetNext(const std::vector<VmId>& candidates) {
  if (candidates.size() <= m_max_targets) return candidates;
  std::vector<VmId> next;
  auto position = std::upper_bound(candidates.begin(), candidates.end(), m_last);
  while (next.size() < m_max_targets) {
    if (position == candidates.end()) position = candidates.begin();
    next.push_back(*position++);
  }
  m_last = next.back();
  return next;
}

}  // namespace plantain
