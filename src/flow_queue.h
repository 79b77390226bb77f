// Waiting requests of equal urgency, shared fairly among the flows that they belong to. No I/O.

#ifndef PLANTAIN_FLOW_QUEUE_H_
#define PLANTAIN_FLOW_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "request_queue.h"

namespace plantain {

// Start-time fair queueing. Load pattern: one workspace sends a burst on one route. Each backlogged flow gets the same
// number of slots, so that the burst delays requests of its own flow first. Each request costs one slot whatever its
// size, so that large requests are served as often as small ones of the same flow.
class FlowQueue {
 public:
  void Add(const WaitingRequest& request);
  // Returns whether the request was in the queue.
  bool Remove(WaitTicket ticket);
  // Returns the request, or null if it is not in the queue.
  const WaitingRequest* Find(WaitTicket ticket) const;
  // Charges the flow of a request that gets a slot. The request stays until it is removed.
  void OnServed(WaitTicket ticket);

  // Returns up to `count` requests in the order of service.
  std::vector<const WaitingRequest*> GetOrder(size_t count) const;

  // Returns how many requests would be served before a new one of a flow.
  size_t CountAheadOf(FlowId flow) const;

  size_t GetSize() const { return m_size; }

 private:
  struct Flow {
    std::deque<WaitingRequest> requests;
    // Virtual start time of the first request: the number of slots that each other flow gets before it.
    uint64_t start = 0;
  };

  std::map<FlowId, Flow> m_flows;
  // Virtual start time of the request served last.
  uint64_t m_virtual_time = 0;
  size_t m_size = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_FLOW_QUEUE_H_
