// Interface of a queue of the requests of one pool that wait for a free slot. No I/O.

#ifndef PLANTAIN_REQUEST_QUEUE_H_
#define PLANTAIN_REQUEST_QUEUE_H_

#include <cstdint>
#include <vector>

#include "core_type.h"

namespace plantain {

// Identifies a queued request; tickets increase in the order of arrival.
using WaitTicket = StrongNumber<struct WaitTicketTag, uint64_t>;
// Identifies the requests of one workspace on one route.
using FlowId = StrongNumber<struct FlowIdTag, uint64_t>;

struct WaitingRequest {
  WaitTicket ticket;
  // 0 is the most urgent.
  uint32_t priority = 0;
  // Whether the answer can no longer meet its latency target; requests that still can are served first.
  bool is_late = false;
  // The request is dropped from the queue at this time.
  TimePoint wait_until;
  FlowId flow{};
};

class RequestQueue {
 public:
  virtual ~RequestQueue() = default;

  // Returns whether a request that arrives now can expect to be served before its `wait_until`.
  virtual bool CanServeInTime(const WaitingRequest& request, TimePoint now) const = 0;

  // Returns the estimated time after which a refused request can expect to be served on a retry.
  virtual Duration EstimateWait(uint32_t priority, TimePoint now) const = 0;

  virtual void Add(const WaitingRequest& request) = 0;
  virtual void Remove(WaitTicket ticket) = 0;

  // Whether a waiting request was added as late. A request that is not in the queue is not.
  virtual bool IsLate(WaitTicket ticket) const = 0;

  // Whether a waiting request is to be served next although more urgent ones wait.
  virtual bool IsDue(WaitTicket ticket) const = 0;

  // Returns up to `count` tickets in the order in which they should be served.
  virtual std::vector<WaitTicket> GetNext(size_t count) const = 0;

  // Records that a slot was given to a request that waits or has just arrived.
  virtual void OnServed(const WaitingRequest& request, TimePoint now) = 0;

  // Removes and returns the requests whose `wait_until` has passed.
  virtual std::vector<WaitTicket> RemoveExpired(TimePoint now) = 0;

  // Removes and returns the requests less urgent than `priority` that cannot be served in time any more.
  virtual std::vector<WaitTicket> RemoveHopeless(uint32_t priority, TimePoint now) = 0;

  // Returns all waiting requests in the order of arrival.
  virtual std::vector<WaitingRequest> GetRequests() const = 0;

  virtual size_t GetSize() const = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_REQUEST_QUEUE_H_
