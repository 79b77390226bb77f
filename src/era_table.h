// Decides in which era of a store a record was written, and so which of two records is newer. No I/O.

#ifndef PLANTAIN_ERA_TABLE_H_
#define PLANTAIN_ERA_TABLE_H_

#include <vector>

#include "log_position.h"

namespace plantain {

// A fact about a log: records that were read in the era `view` or later, at `offset` or beyond, were written in the era
// `written` or later. The first end that is seen of an era is one, and so is an offset at which the store shows another
// record than in an earlier era.
struct EraBound {
  StoreEra view;
  StoreEra written;
  LogOffset offset;

  bool operator==(const EraBound&) const = default;

  // Whether this fact tells all that `other` tells.
  bool Implies(const EraBound& other) const {
    return view <= other.view && written >= other.written && offset <= other.offset;
  }
};

// What is known of where a store that came back from older copies continued its log. A store that comes back holds the
// copy's records and gives out the offsets after them again. Facts are true whoever found them, so that those of
// several processes combine, and a record of a copy never counts as written later than it was.
class EraTable {
 public:
  // Adds a fact. Returns whether it tells anything new.
  bool Add(const EraBound& bound);

  // Returns the earliest era in which the record at a position may have been written. Records of one such era are
  // ordered by offset, and those of a later one are newer.
  StoreEra GetWriteEra(LogPosition position) const;

  // Whether a record that was read at `position` may still be at its offset in the era `view`.
  bool IsRetained(LogPosition position, StoreEra view) const;

  const std::vector<EraBound>& GetBounds() const { return m_bounds; }

 private:
  std::vector<EraBound> m_bounds;
};

// Limits the facts that a process keeps and sends. Those of the oldest eras are forgotten first.
inline constexpr size_t kMaxEraBounds = 32;

}  // namespace plantain

#endif  // PLANTAIN_ERA_TABLE_H_
