// Requests of one pool that wait for a free place, for the load pattern in which more work is offered than endpoints
// can begin. No I/O.

#ifndef PLANTAIN_WAIT_ROOM_H_
#define PLANTAIN_WAIT_ROOM_H_

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "core_type.h"
#include "event_rate.h"

namespace plantain {

// A place in the room.
using WaitTicket = StrongNumber<struct WaitTicketTag, uint64_t>;

struct WaitEntry {
  WaitTicket ticket;
  // 0 is the most urgent.
  uint32_t priority = 0;
  // Whether the answer can no longer be in time, so that those that can go first.
  bool is_late = false;
  // From then on waiting is no use.
  TimePoint wait_until;
};

// Orders waiting requests: those that can still be in time first, then by priority, then by arrival. One pick in a few
// goes to the longest waiting one of those in time regardless of priority, so that no priority starves while more
// urgent ones fill all places. Late ones get what is left over: a place spent on one of them makes a newcomer late too.
// Under overload each request is refused as soon as it is clear that its turn comes too late, which leaves places to
// those whose answers are still in time.
class WaitRoom {
 public:
  // Returns whether a request that arrives now can expect its turn before `wait_until`.
  bool CanExpectTurn(const WaitEntry& entry, TimePoint now) const;

  // Time until a request that comes back can expect a turn.
  Duration EstimateTurn(uint32_t priority, TimePoint now) const;

  void Add(const WaitEntry& entry);
  void Remove(WaitTicket ticket);

  // Returns up to `count` tickets in the order in which they should be tried.
  std::vector<WaitTicket> GetNext(size_t count) const;

  // Tells that a waiting or arriving request got a place.
  void OnTurn(bool is_late, TimePoint now);

  // Removes and returns those whose wait is over.
  std::vector<WaitTicket> TakeExpired(TimePoint now);

  size_t GetSize() const { return m_entries.size(); }

 private:
  static bool GoesBefore(const WaitEntry& a, const WaitEntry& b);
  size_t CountAhead(const WaitEntry& entry) const;
  size_t CountLate() const;
  // Time over which turns are counted.
  static constexpr Duration kRateMemory = std::chrono::seconds(1);

  // In order of picking; equal ones in order of arrival.
  std::list<WaitEntry> m_entries;
  uint64_t m_turns = 0;
  // Turns of all requests.
  EventRate m_rate{kRateMemory};
  // What those that can be in time leave over.
  EventRate m_late_rate{kRateMemory};
};

}  // namespace plantain

#endif  // PLANTAIN_WAIT_ROOM_H_
