// Decides which entries of a zone read the platform's store. No I/O.

#ifndef PLANTAIN_STORE_READER_ELECTION_H_
#define PLANTAIN_STORE_READER_ELECTION_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "clock.h"
#include "core_type.h"
#include "store_statement.h"

namespace plantain {

enum class ReaderRole {
  // The zone is small, so that each entry reads the store.
  kDirect,
  // This entry reads the store for its zone.
  kReader,
  // Another entry reads the store, or its turn to take over comes first.
  kStandby,
};

struct ElectionResult {
  ReaderRole role = ReaderRole::kDirect;
  // Whether an entry of the zone states that it follows the store (true) or that it fails (false). Unset if neither.
  std::optional<bool> is_store_reachable;
  // The reader that a standby entry relies on; empty if there is none.
  VmId reader;
  // Number of entries that take over before this one.
  uint32_t rank = 0;
  // Whether this entry ranks first among all that have been heard lately, those that fail included.
  bool is_first = true;
  // Live entries of the zone, this one included.
  size_t entries = 1;
};

// Elects a reader for each zone with more than a given number of entries. The entries of a zone form a rendezvous
// ranking. Among those that state that they follow the store the first remains the reader; the others stand by. A
// reader that is not heard or states that it fails is replaced by the first that is left; the others wait longer by
// their rank, so that they do not all begin at once. Two readers at a time cost calls to the store and do no other
// harm.
class StoreReaderElection {
 public:
  StoreReaderElection(const Clock& clock, const VmId& self, const ZoneName& zone, size_t direct_readers);

  // Decides from the latest statements of the zone's other live entries and from what this entry itself does.
  ElectionResult Decide(const std::vector<ZoneEntry>& others, StoreReading own);

 private:
  bool IsFresh(const ZoneEntry& entry) const;
  bool IsBefore(const VmId& vm) const { return GetScore(vm) > m_own_score; }
  uint64_t GetScore(const VmId& vm) const;
  const ZoneEntry* FindFollower(const std::vector<ZoneEntry>& fresh) const;
  bool IsTurn(const std::vector<ZoneEntry>& fresh, uint32_t rank);

  const Clock& m_clock;
  const size_t m_direct_readers;
  const uint64_t m_key;
  const uint64_t m_own_score;
  // Since when no entry is known to follow the store; unset while one does.
  std::optional<TimePoint> m_vacant_since;
};

// Returns the name that logs use.
std::string_view GetReaderRoleName(ReaderRole role);

}  // namespace plantain

#endif  // PLANTAIN_STORE_READER_ELECTION_H_
