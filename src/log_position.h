// Positions in a log whose store may come back from an older copy of itself and then gives out offsets again.

#ifndef PLANTAIN_LOG_POSITION_H_
#define PLANTAIN_LOG_POSITION_H_

#include <map>

#include "core_type.h"

namespace plantain {

// Number of a store's history; it rises each time the store comes back from an older copy. 0 if the store states none.
using StoreEra = StrongNumber<struct StoreEraTag, uint64_t>;

// Where a record was read: the offset, and the era of the store at that time. The record may be older than the era.
struct LogPosition {
  StoreEra era;
  LogOffset offset;

  bool operator==(const LogPosition&) const = default;
};

// What is known of a log: for each era the offset up to which its changes are known.
class LogRevision {
 public:
  void Raise(StoreEra era, LogOffset end);
  void Raise(const LogRevision& other);

  // Returns the offset up to which an era is known; 0 if nothing is.
  LogOffset GetEnd(StoreEra era) const;

  // Whether the change at a position is known.
  bool Contains(LogPosition position) const { return position.offset < GetEnd(position.era); }

  // Whether everything that `other` knows is known.
  bool Covers(const LogRevision& other) const;

  // Whether `other` knows changes that a reader of the store who has read up to `read_to` lacks and will not find
  // there.
  bool LacksBefore(LogPosition read_to, const LogRevision& other) const;

  // Forgets what is known of an era and of later ones from an offset on.
  void LowerFrom(StoreEra era, LogOffset end);

  // Returns the newest era and the offset up to which it is known.
  LogPosition GetNewest() const;

  const std::map<StoreEra, LogOffset>& GetEnds() const { return m_ends; }

  bool operator==(const LogRevision&) const = default;

 private:
  bool IsForgotten(StoreEra era) const;

  std::map<StoreEra, LogOffset> m_ends;
};

// Number of eras that are distinguished; older ones are forgotten.
inline constexpr size_t kMaxEras = 8;

}  // namespace plantain

#endif  // PLANTAIN_LOG_POSITION_H_
