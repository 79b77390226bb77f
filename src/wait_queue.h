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
#include "request_queue.h"

namespace plantain {

// Orders waiting requests: first those that can still meet their latency target, then by priority, then by arrival.
// Every few picks, the longest waiting request that can still meet its target is served regardless of its priority, so
// that no priority starves while more urgent requests fill all slots. Late requests get only the remaining capacity,
// because a slot spent on one of them makes a new request late too. Under overload a request is refused as soon as its
// turn is known to come too late, which leaves the slots to requests that can still meet their targets.
class WaitQueue : public RequestQueue {
 public:
  bool CanServeInTime(const WaitingRequest& request, TimePoint now) const override;
  Duration EstimateWait(uint32_t priority, TimePoint now) const override;
  void Add(const WaitingRequest& request) override;
  void Remove(WaitTicket ticket) override;
  bool IsLate(WaitTicket ticket) const override;
  bool IsDue(WaitTicket) const override { return false; }
  std::vector<WaitTicket> GetNext(size_t count) const override;

  // Records that a slot was given to a waiting or newly arrived request.
  void RecordServed(bool is_late, TimePoint now);
  void OnServed(const WaitingRequest& request, TimePoint now) override { RecordServed(request.is_late, now); }

  std::vector<WaitTicket> RemoveExpired(TimePoint now) override;
  std::vector<WaitTicket> RemoveHopeless(uint32_t, TimePoint) override { return {}; }
  std::vector<WaitingRequest> GetRequests() const override;
  size_t GetSize() const override { return m_requests.size(); }

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
