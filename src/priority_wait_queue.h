// Queue of a pool whose requests have several priorities. No I/O.

#ifndef PLANTAIN_PRIORITY_WAIT_QUEUE_H_
#define PLANTAIN_PRIORITY_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "event_rate.h"
#include "flow_queue.h"
#include "request_queue.h"

namespace plantain {

// Load pattern: kinds of requests of different urgency that together need more slots than there are. Requests that can
// be in time go first, by priority; then late ones, by priority. Within both, flows share the slots.
//
// A late request of a high priority goes behind those in time of a lower one. The latency target is the caller's own
// statement of how long the answer is worth its priority: after it, serving the late request gains what is left of its
// value, and costs the other one its target too. It keeps its precedence over late requests, and over requests of a
// lower priority that have not arrived yet (SpareCapacity).
//
// Each priority that waits gets at least one slot in kFloorInterval, so that none starves. The count is kept while
// nothing of the priority waits, because a single request may give up before that many slots become free.
class PriorityWaitQueue : public RequestQueue {
 public:
  static constexpr uint64_t kFloorInterval = 8;

  bool CanServeInTime(const WaitingRequest& request, TimePoint now) const override;
  Duration EstimateWait(uint32_t priority, TimePoint now) const override;
  void Add(const WaitingRequest& request) override;
  void Remove(WaitTicket ticket) override;
  bool IsLate(WaitTicket ticket) const override;
  bool IsDue(WaitTicket ticket) const override;
  std::vector<WaitTicket> GetNext(size_t count) const override;
  void OnServed(const WaitingRequest& request, TimePoint now) override;
  std::vector<WaitTicket> RemoveExpired(TimePoint now) override;
  std::vector<WaitTicket> RemoveHopeless(uint32_t priority, TimePoint now) override;
  std::vector<WaitingRequest> GetRequests() const override;
  size_t GetSize() const override;

 private:
  // Time window of the service rates.
  static constexpr Duration kRateWindow = std::chrono::seconds(1);

  // Requests of one priority.
  struct Level {
    bool IsWaiting() const { return in_time.GetSize() + late.GetSize() > 0; }
    // Returns the request to be served first, or null.
    const WaitingRequest* GetFirst() const;

    FlowQueue in_time;
    FlowQueue late;
    // Slots that requests of other priorities got, while this one waited, since it last got one.
    uint64_t passed_over = 0;
    EventRate service_rate{kRateWindow};
  };

  // Returns the level that is owed a slot by its floor, or null.
  const Level* FindDueLevel() const;
  size_t CountInTimeAbove(uint32_t priority) const;
  size_t CountLateAhead(const WaitingRequest& request) const;
  // Returns the rate of slots that a priority gets after those above it and the floors of those below, or nothing
  // before the first slot.
  std::optional<double> GetLevelRate(uint32_t priority, TimePoint now) const;
  // Returns when a request is served that has `above` requests of higher priorities and `own` of its own before it, if
  // its priority gets slots at `rate`.
  double EstimateSeconds(size_t above, double own, double rate, TimePoint now) const;

  // By priority, the most urgent one first.
  std::map<uint32_t, Level> m_levels;
  EventRate m_service_rate{kRateWindow};
  EventRate m_late_service_rate{kRateWindow};
};

}  // namespace plantain

#endif  // PLANTAIN_PRIORITY_WAIT_QUEUE_H_
