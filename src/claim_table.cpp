#include "claim_table.h"

namespace plantain {

void ClaimTable::ApplyClaim(LogOffset offset, const proto::Claim& claim, TimePoint now) {
  const OnceKey key(claim.key());
  const auto [position, is_new] = m_entries.try_emplace(key);
  if (!is_new) return;
  position->second = Entry{ClaimId(claim.claim_id()), Digest(claim.fingerprint()), offset, now, std::nullopt};
  m_claims.push_back({offset, key});
}

void ClaimTable::ApplyOutcome(const proto::Outcome& outcome) {
  const OnceKey key(outcome.key());
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  if (entry.holder.Get() != outcome.claim_id() || entry.outcome.has_value()) return;
  entry.outcome = OnceOutcome{outcome.status(), outcome.body()};
  m_outcome_bytes += outcome.body().size();
  m_outcomes.push_back({entry.claimed_at, key});
  EvictOutcomes();
}

void ClaimTable::ExpireBefore(LogOffset first_kept) {
  while (!m_claims.empty() && m_claims.front().offset < first_kept) {
    const auto found = m_entries.find(m_claims.front().key);
    if (found != m_entries.end() && found->second.outcome.has_value()) {
      m_outcome_bytes -= found->second.outcome->body.size();
    }
    if (found != m_entries.end()) m_entries.erase(found);
    m_claims.pop_front();
  }
}

void ClaimTable::Reset() {
  m_entries.clear();
  m_claims.clear();
  m_outcomes.clear();
  m_outcome_bytes = 0;
}

const ClaimTable::Entry* ClaimTable::Find(const OnceKey& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second;
}

// The claim itself is kept, so later callers of the key are told that the outcome is unknown and the call never runs
// again.
void ClaimTable::EvictOutcomes() {
  while (!m_outcomes.empty()) {
    const KeyAtOffset& oldest = m_outcomes.front();
    const auto found = m_entries.find(oldest.key);
    const bool is_current =
        found != m_entries.end() && found->second.claimed_at == oldest.offset && found->second.outcome.has_value();
    if (is_current && m_outcome_bytes <= m_max_outcome_bytes) return;
    if (is_current) {
      m_outcome_bytes -= found->second.outcome->body.size();
      found->second.outcome.reset();
    }
    m_outcomes.pop_front();
  }
}

}  // namespace plantain
