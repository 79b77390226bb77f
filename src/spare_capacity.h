// Capacity of one entry in a pool that requests which can still be in time do not need. No I/O.

#ifndef PLANTAIN_SPARE_CAPACITY_H_
#define PLANTAIN_SPARE_CAPACITY_H_

#include <cstdint>
#include <map>
#include <set>

#include "core_type.h"
#include "event_rate.h"
#include "wait_queue.h"

namespace plantain {

// Load pattern: standing overload, or an outage, after which callers come back who were told to. A slot that is free
// for a moment is not spare: a late request would hold it for the time of a whole answer, in which new requests arrive
// that could be in time. If those are refused, told to return and then served late in turn, nearly all answers are late
// for as long as the load lasts. So late requests together hold no more slots than new requests leave on average: the
// slots of this entry without the product of the arrival rate of new requests and the time that a request holds a slot.
// Arrivals count whether they are served or refused, so that the estimate does not depend on what was done before.
//
// In a pool with several priorities only new requests that are at least as urgent as the late one count. Others that
// already wait go before it (PriorityWaitQueue), but no slot is kept free for those that have not arrived yet.
class SpareCapacity {
 public:
  // Records a request of a caller that can still be answered in time.
  void OnNewRequest(TimePoint now, uint32_t priority = 0);
  void OnLateSent(WaitTicket ticket) { m_late.insert(ticket); }
  // Records that an attempt has ended, and the time that a complete answer took.
  void OnEnded(WaitTicket ticket) { m_late.erase(ticket); }
  void OnAnswered(Duration held);

  // Whether one more late request may be sent, if this entry may use `slots` at endpoints that accept requests.
  bool AllowsLate(uint32_t slots, TimePoint now, uint32_t priority = 0) const;

  // Returns the mean time that a request holds a slot; 0 before the first answer.
  double GetHeldSeconds() const { return m_held_s; }

 private:
  static constexpr Duration kRateWindow = std::chrono::seconds(2);

  std::map<uint32_t, EventRate> m_new_requests;
  // Mean time that a request holds a slot; 0 before the first answer.
  double m_held_s = 0;
  // Late requests that have been sent and have not ended.
  std::set<WaitTicket> m_late;
};

}  // namespace plantain

#endif  // PLANTAIN_SPARE_CAPACITY_H_
