#include "log_position.h"

#include <algorithm>

namespace plantain {

bool LogRevision::IsForgotten(StoreEra era) const { return m_ends.size() >= kMaxEras && era < m_ends.begin()->first; }

void LogRevision::Raise(StoreEra era, LogOffset end) {
  if (IsForgotten(era)) return;
  LogOffset& known = m_ends[era];
  known = std::max(known, end);
  if (m_ends.size() > kMaxEras) m_ends.erase(m_ends.begin());
}

void LogRevision::Raise(const LogRevision& other) {
  for (const auto& [era, end] : other.m_ends) Raise(era, end);
}

LogOffset LogRevision::GetEnd(StoreEra era) const {
  const auto found = m_ends.find(era);
  return found == m_ends.end() ? LogOffset() : found->second;
}

bool LogRevision::Covers(const LogRevision& other) const {
  return std::all_of(other.m_ends.begin(), other.m_ends.end(), [this](const auto& theirs) {
    return IsForgotten(theirs.first) || theirs.second <= GetEnd(theirs.first);
  });
}

bool LogRevision::LacksBefore(LogPosition read_to, const LogRevision& other) const {
  return std::any_of(other.m_ends.begin(), other.m_ends.end(), [&](const auto& theirs) {
    const auto& [era, end] = theirs;
    const bool is_read = era < read_to.era || (era == read_to.era && end <= read_to.offset);
    return is_read && !IsForgotten(era) && end > GetEnd(era);
  });
}

void LogRevision::LowerFrom(StoreEra era, LogOffset end) {
  for (auto known = m_ends.lower_bound(era); known != m_ends.end(); ++known) {
    known->second = std::min(known->second, end);
  }
}

LogPosition LogRevision::GetNewest() const {
  return m_ends.empty() ? LogPosition() : LogPosition{m_ends.rbegin()->first, m_ends.rbegin()->second};
}

}  // namespace plantain
