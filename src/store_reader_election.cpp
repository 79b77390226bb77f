#include "store_reader_election.h"

#include <algorithm>
#include <iterator>

#include "rendezvous.h"

namespace plantain {
namespace {

// Silence after which a statement no longer counts: three beacons at the usual period. In a zone with more entries than
// one beacon reaches, beacons come less often, and three of them count as well.
constexpr Duration kStatementTimeout = Milliseconds(300);
constexpr int kMaxLostStatements = 3;
// Time by which each entry waits longer than the one that ranks before it, and the longest wait.
constexpr Duration kTakeoverStep = Milliseconds(100);
constexpr Duration kMaxTakeoverWait = std::chrono::seconds(2);
// Time that an entry gets for its first answers before those that rank after it begin to read as well.
constexpr Duration kStartTime = Milliseconds(300);

bool IsFailing(const ZoneEntry& entry) { return entry.statement.reading == StoreReading::kFailing; }

}  // namespace

StoreReaderElection::StoreReaderElection(const Clock& clock, const VmId& self, const ZoneName& zone,
                                         size_t direct_readers)
    : m_clock(clock),
      m_direct_readers(direct_readers),
      m_key(HashName("store-reader/" + zone.Get())),
      m_own_score(GetScore(self)) {}

uint64_t StoreReaderElection::GetScore(const VmId& vm) const { return ScoreCandidate(m_key, HashName(vm.Get())); }

bool StoreReaderElection::IsFresh(const ZoneEntry& entry) const {
  const Duration timeout = std::max<Duration>(kStatementTimeout, kMaxLostStatements * entry.interval);
  return entry.statement.reading != StoreReading::kNotStated && m_clock.GetNow() - entry.heard_at <= timeout;
}

// Returns the first of the ranking that follows the store, or null.
const ZoneEntry* StoreReaderElection::FindFollower(const std::vector<ZoneEntry>& fresh) const {
  const ZoneEntry* first = nullptr;
  for (const ZoneEntry& entry : fresh) {
    if (entry.statement.reading != StoreReading::kFollowing) continue;
    if (first == nullptr || GetScore(entry.vm) > GetScore(first->vm)) first = &entry;
  }
  return first;
}

// Whether this entry, which stands by, has waited long enough to begin to read.
bool StoreReaderElection::IsTurn(const std::vector<ZoneEntry>& fresh, uint32_t rank) {
  const TimePoint now = m_clock.GetNow();
  if (!m_vacant_since.has_value()) m_vacant_since = now;
  const bool is_other_starting = std::any_of(fresh.begin(), fresh.end(), [&](const ZoneEntry& entry) {
    const StoreStatement& statement = entry.statement;
    const Duration age = statement.reading_age + (now - entry.heard_at);
    return statement.reading == StoreReading::kStarting && age < kStartTime && IsBefore(entry.vm);
  });
  return !is_other_starting && now - *m_vacant_since >= std::min<Duration>(rank * kTakeoverStep, kMaxTakeoverWait);
}

ElectionResult StoreReaderElection::Decide(const std::vector<ZoneEntry>& others, StoreReading own) {
  ElectionResult result;
  result.entries = others.size() + 1;
  if (result.entries <= m_direct_readers) {
    m_vacant_since.reset();
    return result;
  }
  std::vector<ZoneEntry> fresh;
  std::copy_if(others.begin(), others.end(), std::back_inserter(fresh), [this](const auto& e) { return IsFresh(e); });
  for (const ZoneEntry& entry : fresh) {
    if (!IsBefore(entry.vm)) continue;
    result.is_first = false;
    if (!IsFailing(entry)) ++result.rank;
  }
  if (const ZoneEntry* follower = FindFollower(fresh); follower != nullptr) {
    m_vacant_since.reset();
    result.is_store_reachable = true;
    const bool is_reader = own == StoreReading::kFollowing && !IsBefore(follower->vm);
    result.role = is_reader ? ReaderRole::kReader : ReaderRole::kStandby;
    if (!is_reader) result.reader = follower->vm;
    return result;
  }
  if (std::any_of(fresh.begin(), fresh.end(), IsFailing)) result.is_store_reachable = false;
  const bool is_reading = own != StoreReading::kStandby;
  result.role = is_reading || IsTurn(fresh, result.rank) ? ReaderRole::kReader : ReaderRole::kStandby;
  return result;
}

std::string_view GetReaderRoleName(ReaderRole role) {
  switch (role) {
    case ReaderRole::kDirect:
      return "direct";
    case ReaderRole::kReader:
      return "reader";
    case ReaderRole::kStandby:
      return "standby";
  }
  return "unknown";
}

}  // namespace plantain
