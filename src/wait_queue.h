// Queue of the requests of one pool that wait for a free slot while the offered load exceeds the pool's capacity.
// No I/O.

#ifndef PLANTAIN_WAIT_QUEUE_H_
#define PLANTAIN_WAIT_QUEUE_H_

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "core_type.h"
#include "event_rate.h"

namespace plantain {

// Identifies a queued request; tickets increase in the order of arrival.
using WaitTicket = StrongNumber<struct WaitTicketTag, uint64_t>;

struct WaitingRequest {
  WaitTicket ticket;
  // 0 is the most urgent.
  uint32_t priority = 0;
  // Whether the answer can no longer meet its latency target; requests that still can are served first.
  bool is_late = false;
  // The request is dropped from the queue at this time.
  TimePoint wait_until;
};

// Orders waiting requests: first those that can still meet their latency target, then by priority, then by arrival.
// Every few picks, the longest waiting request that can still meet its target is served regardless of its priority, so
// that no priority starves while more urgent requests fill all slots. Late requests get only the remaining capacity,
// because a slot spent on one of them makes a new request late too. Under overload a request is refused as soon as its
// turn is known to come too late, which leaves the slots to requests that can still meet their targets.
class WaitQueue {
 public:
  // Returns whether a request that arrives now can expect to be served before its `wait_until`.
  bool CanServeInTime(const WaitingRequest& request, TimePoint now) const;

  // Returns the estimated time after which a refused request can expect to be served on a retry.
  Duration EstimateWait(uint32_t priority, TimePoint now) const;

  void Add(const WaitingRequest& request);
  void Remove(WaitTicket ticket);

  // Whether a waiting request was added as late. A request that is not in the queue is not.
  bool IsLate(WaitTicket ticket) const;

  // Returns up to `count` tickets in the order in which they should be served.
  std::vector<WaitTicket> GetNext(size_t count) const;

  // Records that a slot was given to a waiting or newly arrived request.
  void RecordServed(bool is_late, TimePoint now);

  // Removes and returns the requests whose `wait_until` has passed.
  std::vector<WaitTicket> RemoveExpired(TimePoint now);

  size_t GetSize() const { return m_requests.size(); }

 private:
  static bool GoesBefore(const WaitingRequest& a, const WaitingRequest& b);
  size_t CountAhead(const WaitingRequest& request) const;
  size_t CountLate() const;
  // Time window of the service rates.
  static constexpr Duration kRateWindow = std::chrono::seconds(1);

  // In order of service; ties in order of arrival.
  std::list<WaitingRequest> m_requests;
  uint64_t m_served = 0;
  // Service rate of all requests.
  EventRate m_service_rate{kRateWindow};
  // Service rate of late requests, which get only the remaining capacity.
  EventRate m_late_service_rate{kRateWindow};
};

}  // namespace plantain

#endif  // PLANTAIN_WAIT_QUEUE_H_
