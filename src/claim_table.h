// State of at-most-once calls (claims and outcomes per key), computed from the log stream `once`.

#ifndef PLANTAIN_CLAIM_TABLE_H_
#define PLANTAIN_CLAIM_TABLE_H_

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "core_type.h"
#include "once_type.h"
#include "record.pb.h"

namespace plantain {

// Applies OnceBatch records deterministically. The first claim of a key in log order holds the key. The log's retention
// bounds memory; above a limit on the total size of outcome bodies, the oldest outcomes are evicted.
class ClaimTable {
 public:
  struct Entry {
    ClaimId holder;
    Digest fingerprint;
    LogOffset claimed_at;
    // Time at which this process read the claim.
    TimePoint read_at;
    std::optional<OnceOutcome> outcome;
  };

  explicit ClaimTable(size_t max_outcome_bytes) : m_max_outcome_bytes(max_outcome_bytes) {}

  // Applies one claim. Ignored if the key is already held by another claim.
  void ApplyClaim(LogOffset offset, const proto::Claim& claim, TimePoint now);

  // Applies one outcome. Only the first outcome of the claim that holds the key is accepted.
  void ApplyOutcome(const proto::Outcome& outcome);

  // Removes keys whose claim has expired from the log.
  void ExpireBefore(LogOffset first_kept);

  // Removes all state. Used after records were missed.
  void Reset();

  // Returns the entry of a key, or null.
  const Entry* Find(const OnceKey& key) const;

  size_t GetSize() const { return m_entries.size(); }

 private:
  struct KeyAtOffset {
    LogOffset offset;
    OnceKey key;
  };

  void EvictOutcomes();

  const size_t m_max_outcome_bytes;
  std::unordered_map<OnceKey, Entry> m_entries;
  // In log order.
  std::deque<KeyAtOffset> m_claims;
  std::deque<KeyAtOffset> m_outcomes;
  size_t m_outcome_bytes = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_CLAIM_TABLE_H_
