#include "wait_room.h"

#include <algorithm>
#include <utility>

namespace plantain {
namespace {

// One pick in this many serves the longest waiting request that can still meet its latency target.
constexpr uint64_t kFairPick = 4;
constexpr Duration kLongestEstimate = std::chrono::seconds(5);

}  // namespace

bool WaitRoom::GoesBefore(const WaitEntry& a, const WaitEntry& b) {
  if (a.is_late != b.is_late) return !a.is_late;
  return a.priority < b.priority;
}

size_t WaitRoom::CountLate() const {
  return static_cast<size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [](const WaitEntry& entry) { return entry.is_late; }));
}

size_t WaitRoom::CountAhead(const WaitEntry& entry) const {
  return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(),
                                           [&](const WaitEntry& other) { return !GoesBefore(entry, other); }));
}

Duration WaitRoom::EstimateTurn(uint32_t priority, TimePoint now) const {
  const std::optional<double> rate = m_rate.Get(now);
  if (!rate.has_value()) return Duration::zero();
  const WaitEntry newcomer{WaitTicket(), priority, false, now};
  const double wait_s = static_cast<double>(CountAhead(newcomer)) / std::max(*rate, 1e-3);
  const double longest_s = std::chrono::duration<double>(kLongestEstimate).count();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(wait_s, longest_s)));
}

bool WaitRoom::CanExpectTurn(const WaitEntry& entry, TimePoint now) const {
  const std::optional<double> rate = entry.is_late ? m_late_rate.Get(now) : m_rate.Get(now);
  size_t ahead = CountAhead(entry);
  if (entry.is_late) ahead = CountLate();
  // The first in the queue is always accepted, as the next answer may free a slot for it.
  if (ahead == 0 || (!rate.has_value() && !entry.is_late)) return true;
  if (!rate.has_value()) return false;
  const double allowed_s = std::chrono::duration<double>(entry.wait_until - now).count();
  return static_cast<double>(ahead) <= *rate * allowed_s;
}

void WaitRoom::Add(const WaitEntry& entry) {
  const auto place = std::find_if(m_entries.begin(), m_entries.end(),
                                  [&](const WaitEntry& other) { return GoesBefore(entry, other); });
  m_entries.insert(place, entry);
}

void WaitRoom::Remove(WaitTicket ticket) {
  m_entries.remove_if([&](const WaitEntry& entry) { return entry.ticket == ticket; });
}

std::vector<WaitTicket> WaitRoom::GetNext(size_t count) const {
  std::vector<WaitTicket> next;
  if (m_turns % kFairPick == kFairPick - 1 && !m_entries.empty()) {
    const auto is_older = [](const WaitEntry& a, const WaitEntry& b) {
      return std::pair(a.is_late, a.ticket) < std::pair(b.is_late, b.ticket);
    };
    next.push_back(std::min_element(m_entries.begin(), m_entries.end(), is_older)->ticket);
  }
  for (const WaitEntry& entry : m_entries) {
    if (next.size() >= count) break;
    if (next.empty() || next.front() != entry.ticket) next.push_back(entry.ticket);
  }
  return next;
}

void WaitRoom::OnTurn(bool is_late, TimePoint now) {
  ++m_turns;
  m_rate.Count(now);
  if (is_late) m_late_rate.Count(now);
}

std::vector<WaitTicket> WaitRoom::TakeExpired(TimePoint now) {
  std::vector<WaitTicket> expired;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    if (entry->wait_until > now) {
      ++entry;
      continue;
    }
    expired.push_back(entry->ticket);
    entry = m_entries.erase(entry);
  }
  return expired;
}

}  // namespace plantain
