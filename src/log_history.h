// Remembers what was read lately at each offset of a log, to tell where a restored copy of it ends. No I/O.

#ifndef PLANTAIN_LOG_HISTORY_H_
#define PLANTAIN_LOG_HISTORY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core_type.h"
#include "log_position.h"

namespace plantain {

struct KeyedRecord;

// Digests of the records that were read from the store. After a restore the first offset whose record differs from the
// remembered one was written after it: the copy ends there or before.
class LogHistory {
 public:
  // Remembers a record. Records may be missing, as in a listing, but come in the order of their offsets.
  void Add(const KeyedRecord& record, TimePoint now);

  // Returns the smallest offset at which one of `records` differs from what is remembered.
  std::optional<LogOffset> FindFirstDifference(const std::vector<KeyedRecord>& records) const;

  // Forgets everything from an offset on, because the store has given it out again.
  void Truncate(LogOffset from);

  // Returns the smallest offset remembered.
  std::optional<LogOffset> GetBegin() const;

  // Returns the era in which the newest record was read.
  StoreEra GetEra() const { return m_era; }

 private:
  struct Item {
    LogOffset offset;
    uint64_t digest = 0;
    TimePoint read_at;
  };

  std::deque<Item> m_items;
  StoreEra m_era;
};

}  // namespace plantain

#endif  // PLANTAIN_LOG_HISTORY_H_
